//! The decisions about quotas: the bucket at the owner, the credit of a daemon, and the owner's choice.

#![allow(clippy::expect_used)]

use std::time::Duration;

use dw_request::{
    Allotment, CreditAsk, CreditHolder, CreditOwner, Electorate, Lease, Member, MemberState, Take,
};
use dw_tables::{Name, RequestRate};
use googletest::prelude::*;
use tokio::time::Instant;

const QUOTA: Allotment = quota(100);

const fn quota(rate: u32) -> Allotment {
    Allotment { rate: RequestRate::new(rate), burst: rate }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn ask(id: u64, want: u32, spent: u64) -> CreditAsk {
    CreditAsk { id, want, spent }
}

/// An owner with a full bucket.
fn full_owner(now: Instant) -> CreditOwner {
    CreditOwner::new(QUOTA, now - Duration::from_secs(60))
}

fn tokens(lease: Lease) -> u32 {
    match lease {
        Lease::Granted { tokens, .. } => tokens,
        _ => 0,
    }
}

fn members(states: &[MemberState], now: Instant) -> Vec<Member> {
    let member = |(index, state): (usize, &MemberState)| Member {
        host: format!("host{index}").into(),
        domain: "d".into(),
        state: *state,
        started: now,
        changed: now,
    };
    states.iter().enumerate().map(member).collect()
}

/// Guards against a lease before the predecessor's leases have ended, and against a bucket that is not
/// empty then.
#[gtest]
fn a_new_owner_leases_nothing_at_first() {
    let now = Instant::now();
    let host = Name::from("a");
    let mut owner = CreditOwner::new(QUOTA, now + ms(1500));
    expect_that!(owner.lease(&host, ask(1, 1, 0), now), eq(Lease::WarmingUp));
    expect_that!(owner.lease(&host, ask(2, 1, 0), now + ms(1499)), eq(Lease::WarmingUp));
    expect_that!(
        owner.lease(&host, ask(3, 1, 0), now + ms(1500)),
        matches_pattern!(Lease::Denied { .. })
    );
    expect_that!(tokens(owner.lease(&host, ask(4, 1, 0), now + ms(1520))), eq(1));
}

/// Guards against a bucket that leases more than its size and the rate, whatever holders report.
#[gtest]
fn an_owner_leases_at_most_its_size_and_rate() {
    for (name, reports) in [("every lease is spent", true), ("nothing is reported", false)] {
        let start = Instant::now() + Duration::from_secs(100);
        let mut owner = full_owner(start);
        let (mut leased, mut spent) = (0, [0_u64; 20]);
        for step in 0..5_000_u64 {
            let holder = (step % 20) as usize;
            let id = step + 1;
            let now = start + ms(step);
            let reported = if reports { spent[holder] } else { 0 };
            let granted =
                tokens(owner.lease(&format!("h{holder}").into(), ask(id, 50, reported), now));
            spent[holder] += u64::from(granted);
            leased += granted;
        }
        // 5 s of the rate, the burst, and the four tokens above it.
        expect_that!(leased, le(500 + 100 + 4), "{name}");
        expect_that!(leased, ge(400), "{name}");
    }
}

/// Guards against a repeated credit request that takes tokens twice, and against one that arrives late.
#[gtest]
fn a_credit_request_is_answered_once() {
    let now = Instant::now() + Duration::from_secs(100);
    let host = Name::from("a");
    let mut owner = full_owner(now);
    let first = owner.lease(&host, ask(7, 8, 0), now);
    expect_that!(tokens(first), eq(8));
    let level = owner.level();
    expect_that!(owner.lease(&host, ask(7, 8, 0), now), eq(first));
    expect_that!(owner.lease(&host, ask(6, 8, 0), now), eq(Lease::Stale));
    expect_that!(owner.level(), eq(level));
}

/// Guards against a burst that is lost because the tokens leased count as used up for longer than needed,
/// and against requests admitted without a lease that are not charged.
#[gtest]
fn reports_of_spent_tokens_are_applied() {
    for (name, want, spent, expected) in [
        ("all spent", 10, 10, 94.0),
        ("nothing spent", 10, 0, 94.0),
        ("more spent than leased", 10, 30, 74.0),
    ] {
        let now = Instant::now() + Duration::from_secs(100);
        let host = Name::from("a");
        let mut owner = full_owner(now);
        expect_that!(tokens(owner.lease(&host, ask(1, want, 0), now)), eq(10));
        // The second credit request takes nothing but one token.
        owner.lease(&host, ask(2, 1, spent), now);
        expect_that!(owner.level(), near(expected - 1.0, 0.01), "{name}");
    }
}

/// Guards against a lowered limit that leaves tokens of the higher one in the bucket.
#[gtest]
fn a_lowered_limit_reduces_the_bucket_at_once() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut owner = full_owner(now);
    owner.set_members(1.0, now);
    expect_that!(owner.level(), eq(104.0));
    owner.set_allotment(quota(10), now);
    expect_that!(owner.level(), eq(14.0));
}

/// Guards against partitions that together lease more than the rate.
#[gtest]
fn an_owner_refills_in_proportion_to_the_live_members() {
    use MemberState::{Alive, Dead, Leaving, Left, Suspect};
    for (state, known, fraction) in [
        (Alive, 3, 1.0),
        (Leaving, 3, 1.0),
        (Suspect, 3, 2.0 / 3.0),
        (Dead, 3, 2.0 / 3.0),
        (Left, 2, 1.0),
    ] {
        let now = Instant::now();
        let mut electorate = Electorate::default();
        electorate.set_members(&members(&[Alive, Alive, Alive], now), now);
        electorate.set_members(&members(&[Alive, Alive, state], now), now);
        expect_that!(electorate.known(now), eq(known), "{state:?}");
        expect_that!(electorate.fraction(now), near(fraction, 1e-9), "{state:?}");
        // A host that is gone for a minute is assumed not to serve.
        let later = now + Duration::from_secs(60);
        expect_that!(electorate.fraction(later), eq(1.0), "{state:?}");
    }
    // A member that was never seen alive does not count.
    let now = Instant::now();
    let mut electorate = Electorate::default();
    electorate.set_members(&members(&[Alive, Dead], now), now);
    expect_that!(electorate.fraction(now), eq(1.0));
}

/// Guards against two owners that lease at once after a change of members, and against an outage that is
/// longer than needed.
#[gtest]
fn a_successor_waits_until_leases_have_ended() {
    use MemberState::{Alive, Dead, Suspect};
    let start = Instant::now();
    let mut electorate = Electorate::default();
    electorate.set_members(&members(&[Alive, Alive], start), start);
    let workspace = "w";
    let owner = electorate.owner(workspace).expect("an owner").clone();
    let (first, other) = match owner.as_str() {
        "host0" => (0, "host1"),
        _ => (1, "host0"),
    };
    let states = |state| if first == 0 { [state, Alive] } else { [Alive, state] };
    expect_that!(electorate.leases_from(workspace, &owner), some(eq(start + ms(1500))));
    expect_that!(electorate.leases_from(workspace, other), none());
    let suspected = start + ms(10_000);
    electorate.set_members(&members(&states(Suspect), start), suspected);
    expect_that!(electorate.owner(workspace), some(eq(&owner)));
    let dead = suspected + ms(1000);
    electorate.set_members(&members(&states(Dead), start), dead);
    expect_that!(electorate.leases_from(workspace, other), some(eq(suspected + ms(1500))));
    // The predecessor is back, and again the owner, before its successor has leased for long.
    let back = dead + ms(2000);
    electorate.set_members(&members(&states(Alive), start), back);
    expect_that!(electorate.leases_from(workspace, other), none());
    expect_that!(electorate.leases_from(workspace, &owner), some(eq(back + ms(1500))));
}

/// A holder whose first request waits for the answer to the credit request 1.
fn asking_holder(now: Instant) -> CreditHolder {
    let mut holder = CreditHolder::new(QUOTA, 1, 0.0, now);
    holder.set_members(10);
    assert_eq!(holder.take(now), Take::Ask);
    assert_eq!(holder.poll(now), Some(ask(1, 1, 0)));
    holder
}

/// Guards against a credit request for each request that waits.
#[gtest]
fn waiting_requests_share_one_credit_request() {
    let now = Instant::now();
    let mut holder = asking_holder(now);
    expect_that!(holder.take(now), eq(Take::Ask));
    expect_that!(holder.poll(now), none());
    holder.granted(1, 1, ms(100), 5.0, now + ms(1));
    expect_that!(holder.take_again(now + ms(1)), eq(Take::Granted));
    expect_that!(holder.take_again(now + ms(1)), eq(Take::Ask));
    expect_that!(holder.poll(now + ms(1)), some(matches_pattern!(CreditAsk { id: eq(2), .. })));
}

/// Guards against tokens that are spent after they expired at the owner, and against an answer to another
/// credit request.
#[gtest]
fn tokens_expire_after_the_first_attempt() {
    for (name, id, answered, taken, expected) in [
        ("in time", 1, 2, 99, Take::Granted),
        ("taken too late", 1, 2, 100, Take::Ask),
        ("another id", 2, 2, 3, Take::Ask),
    ] {
        let now = Instant::now();
        let mut holder = asking_holder(now);
        holder.granted(id, 1, ms(100), 5.0, now + ms(answered));
        expect_that!(holder.take_again(now + ms(taken)), eq(expected), "{name}");
    }
}

/// Guards against a flood over the limit that costs messages, and against a denial that does not end.
#[gtest]
fn a_denial_is_kept_until_its_time() {
    let now = Instant::now();
    let mut holder = asking_holder(now);
    holder.denied(1, ms(100), 5.0, now + ms(1));
    for _ in 0..1_000 {
        expect_that!(holder.take(now + ms(2)), eq(Take::Denied { after: ms(99) }));
        expect_that!(holder.poll(now + ms(2)), none());
    }
    expect_that!(holder.take(now + ms(101)), eq(Take::Ask));
}

/// Guards against a message for each request of a workspace that is used often and far below its limit.
#[gtest]
fn frequent_requests_share_credit() {
    let start = Instant::now() + Duration::from_secs(100);
    let mut owner = CreditOwner::new(quota(1000), start - ms(60_000));
    let mut holder = CreditHolder::new(owner.allotment(), 1, 0.0, start);
    let (mut asks, mut waits) = (0, 0);
    // 50 requests per second for 20 s.
    for step in 0..1_000 {
        let now = start + ms(20 * step);
        let take = holder.take(now);
        if let Some(ask) = holder.poll(now) {
            asks += 1;
            match owner.lease(&"a".into(), ask, now) {
                Lease::Granted { tokens, ttl, share } => {
                    holder.granted(ask.id, tokens, ttl, share, now);
                }
                lease => panic!("{lease:?}"),
            }
        }
        if take == Take::Ask {
            waits += 1;
            expect_that!(holder.take_again(now), eq(Take::Granted));
        }
    }
    expect_that!(asks, lt(150));
    expect_that!(waits, lt(50));
}

/// Guards against requests that wait longer than 80 ms or without end, and against a daemon that admits
/// nothing or too much while the owner does not answer.
#[gtest]
fn an_owner_that_does_not_answer_is_replaced_by_the_local_bucket() {
    let now = Instant::now();
    let mut holder = asking_holder(now);
    expect_that!(holder.deadline(), some(eq(now + ms(40))));
    expect_that!(holder.poll(now + ms(39)), none());
    expect_that!(holder.poll(now + ms(40)), some(eq(ask(1, 1, 0))));
    expect_that!(holder.take_again(now + ms(79)), eq(Take::Ask));
    expect_that!(holder.poll(now + ms(80)), none());
    expect_that!(holder.is_alone(), eq(true));
    let mut admitted = 0;
    for step in 80..1_080 {
        admitted += u32::from(holder.take_again(now + ms(step)) == Take::Granted);
        holder.poll(now + ms(step));
    }
    // Its part of the rate among 10 daemons, because no owner has answered it before.
    expect_that!(admitted, all!(ge(8), le(13)));
}

/// Guards against a share that does not limit the local bucket, or is used for too long.
#[gtest]
fn the_last_share_limits_the_local_bucket() {
    for (name, share, from, low, high) in [
        ("share", 10.0, 0, 6, 9),
        ("no share", 0.0, 0, 0, 2),
        ("a share above 1.5 equal ones", 90.0, 0, 10, 14),
        ("after 10 s", 0.0, 10_000, 9, 12),
    ] {
        let start = Instant::now();
        let mut holder = asking_holder(start);
        holder.granted(1, 1, ms(100), share, start);
        holder.unanswered(start);
        let from = start + ms(from);
        expect_that!(holder.take(from), not(eq(Take::Denied { after: ms(0) })));
        holder.unanswered(from);
        let mut admitted = 0;
        for step in 0..1_000 {
            let now = from + ms(step);
            admitted += u32::from(holder.take(now) == Take::Granted);
            holder.poll(now);
        }
        expect_that!(admitted, all!(ge(low), le(high)), "{name}");
    }
}

/// Guards against a token that is lost although its request was not run.
#[gtest]
fn a_refund_returns_the_token() {
    let now = Instant::now();
    let mut holder = asking_holder(now);
    holder.granted(1, 1, ms(100), 5.0, now);
    expect_that!(holder.take_again(now), eq(Take::Granted));
    holder.refund(now);
    expect_that!(holder.take_again(now), eq(Take::Granted));
    expect_that!(holder.take_again(now), eq(Take::Ask));
    // The refunded token counts once.
    expect_that!(holder.poll(now), some(matches_pattern!(CreditAsk { spent: eq(1), .. })));
}

/// Guards against requests that are refused as over the quota, or that wait twice as long, because the
/// daemon was stalled and sent no credit request within the longest wait.
#[gtest]
fn a_request_is_decided_after_the_longest_wait_although_none_was_sent() {
    let start = Instant::now();
    let mut holder = CreditHolder::new(QUOTA, 1, 1.0, start);
    let now = start + ms(2000);
    expect_that!(holder.take(now), eq(Take::Ask));
    holder.unanswered(now + ms(80));
    expect_that!(holder.take_again(now + ms(80)), eq(Take::Granted));
    expect_that!(holder.poll(now + ms(80)), some(anything()));
}

/// Guards against requests that are woken without end while they wait for an owner that did not answer
/// before, which takes all processor time of a small host for 80 ms in each second.
#[gtest]
fn a_retried_owner_is_waited_for() {
    let start = Instant::now();
    let mut holder = asking_holder(start);
    holder.poll(start + ms(40));
    holder.poll(start + ms(80));
    expect_that!(holder.is_deciding_locally(), eq(true));
    let now = start + ms(1200);
    expect_that!(holder.take(now), eq(Take::Ask));
    expect_that!(holder.poll(now), some(anything()));
    expect_that!(holder.is_deciding_locally(), eq(false));
    expect_that!(holder.poll(now + ms(40)), some(anything()));
    expect_that!(holder.is_deciding_locally(), eq(false));
    expect_that!(holder.poll(now + ms(80)), none());
    expect_that!(holder.is_deciding_locally(), eq(true));
}

/// Guards against a `Retry-After` that is too early for workspaces with a low rate, and against a denial
/// that is kept for as long although another owner or a refund may have tokens by then.
#[gtest]
fn a_denial_states_the_time_until_a_token_and_is_kept_for_less() {
    let now = Instant::now();
    let slow = Allotment { rate: RequestRate::try_from(0.1).expect("a rate"), burst: 1 };
    let mut owner = CreditOwner::new(slow, now);
    let wait = match owner.lease(&"a".into(), ask(1, 1, 0), now) {
        Lease::Denied { wait, .. } => wait,
        _ => Duration::ZERO,
    };
    expect_that!(wait, eq(Duration::from_secs(10)));
    let mut holder = asking_holder(now);
    holder.denied(1, wait, 0.0, now);
    expect_that!(holder.take_again(now), eq(Take::Denied { after: wait }));
    let later = now + ms(1499);
    expect_that!(holder.take_again(later), eq(Take::Denied { after: wait - ms(1499) }));
    expect_that!(holder.take_again(now + ms(1500)), eq(Take::Ask));
}

/// Guards against requests that are refused by a limit which is no longer in force.
#[gtest]
fn a_changed_limit_ends_a_denial() {
    let now = Instant::now();
    let mut holder = asking_holder(now);
    holder.denied(1, ms(1000), 0.0, now);
    holder.set_allotment(QUOTA);
    expect_that!(holder.take_again(now), eq(Take::Denied { after: ms(1000) }));
    holder.set_allotment(quota(200));
    expect_that!(holder.take_again(now), eq(Take::Ask));
}

/// Guards against daemons that each use the whole rate, because they have just started and don't know the
/// others yet or are cut off from them.
#[gtest]
fn configured_members_count_until_a_minute_after_the_start() {
    let now = Instant::now();
    let mut electorate = Electorate::default().with_configured(10);
    expect_that!(electorate.known(now), eq(10));
    electorate.set_members(&members(&[], now), now);
    expect_that!(electorate.known(now), eq(10));
    electorate.set_members(&members(&[MemberState::Alive], now), now + ms(100));
    expect_that!(electorate.known(now + ms(100)), eq(10));
    expect_that!(electorate.fraction(now + ms(100)), near(0.1, 1e-9));
    electorate.set_members(&members(&[MemberState::Alive; 12], now), now + ms(200));
    expect_that!(electorate.known(now + ms(200)), eq(12));
    expect_that!(electorate.fraction(now + ms(200)), eq(1.0));
    // After a minute, configured hosts that were never seen are assumed not to serve.
    let mut alone = Electorate::default().with_configured(10);
    alone.set_members(&members(&[MemberState::Alive], now), now);
    expect_that!(alone.fraction(now + Duration::from_secs(60)), eq(1.0));
}

/// Guards against a restarted owner that joins late and leases a full bucket beside its successor, because
/// it counts the time in which it knew no other daemon.
#[gtest]
fn a_late_join_begins_the_warm_up() {
    let start = Instant::now();
    let all = members(&[MemberState::Alive; 2], start);
    let mut electorate = Electorate::default().with_configured(2);
    electorate.set_members(&all, start);
    let owner = electorate.owner("w").expect("an owner").clone();
    let only: Vec<_> = all.iter().filter(|member| member.host == owner).cloned().collect();
    let mut electorate = Electorate::default().with_configured(2);
    electorate.set_members(&only, start);
    expect_that!(electorate.leases_from("w", &owner), some(eq(start + ms(1500))));
    let joined = start + ms(5000);
    electorate.set_members(&all, joined);
    expect_that!(electorate.leases_from("w", &owner), some(eq(joined + ms(1500))));
    // Later views don't begin it again.
    electorate.set_members(&only, joined + ms(2000));
    electorate.set_members(&all, joined + ms(4000));
    expect_that!(electorate.leases_from("w", &owner), some(eq(joined + ms(1500))));
}
