//! At-most-once records and their transfer between keepers.

mod support;

use std::collections::HashMap;

use bytes::Bytes;
use dw_request::{
    CedeReply, Claim, Keeper, KeeperConfig, KeyOutcome, Member, MemberState, Outcome,
    RECORD_WINDOW, Ranking, Reason, StoredAnswer, home_domain,
};
use dw_tables::Name;
use googletest::prelude::*;
use support::ms;
use tokio::time::Instant;

fn keeper(host: &str) -> Keeper {
    Keeper::new(KeeperConfig { host: host.into(), domain: "d".into(), ..KeeperConfig::default() })
}

fn member(host: &str, state: MemberState, started: Instant, changed: Instant) -> Member {
    Member { host: host.into(), domain: "d".into(), state, started, changed }
}

fn alive(host: &str, started: Instant) -> Member {
    member(host, MemberState::Alive, started, started)
}

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer { status: 201, body: Bytes::from(vec![7; size]), ..StoredAnswer::default() }
}

/// Keys whose keeper is `first` if both hosts are candidates.
fn keys_of(first: &'static str, other: &str) -> impl Iterator<Item = Name> {
    let ranking = Ranking::new([first.into(), other.into()]);
    let keys = (0..).map(|i| Name::from(format!("key-{i}")));
    keys.filter(move |key| ranking.first(key).is_some_and(|n| n.as_str() == first))
}

fn key_of(first: &'static str, other: &str) -> Name {
    keys_of(first, other).next().unwrap_or_default()
}

/// A keeper that started alone a day ago, its start time and the current time.
fn settled(host: &str) -> (Keeper, Instant, Instant) {
    let start = Instant::now();
    let now = start + ms(86_400_000);
    let mut keeper = keeper(host);
    keeper.set_members(&[alive(host, start)], now);
    (keeper, start, now)
}

/// Guards against running a repeat (P6) and against a wrong outcome reported for the first request.
#[gtest]
fn a_repeat_gets_the_outcome_of_the_first_request() {
    let (mut k, _, now) = settled("a");
    let large = 64 * 1024;
    for (idx, (outcome, claim, reason)) in [
        (KeyOutcome::Answered(answer(9)), Claim::Answered(answer(9).into()), None),
        (KeyOutcome::Answered(answer(large)), Claim::Answered(answer(large).into()), None),
        (KeyOutcome::Answered(answer(large + 1)), Claim::NotKept, Some(Reason::AnswerNotKept)),
        (KeyOutcome::NotKept, Claim::NotKept, Some(Reason::AnswerNotKept)),
        (KeyOutcome::Unknown, Claim::Unknown, Some(Reason::RecordUnknown)),
        (KeyOutcome::NotRun, Claim::New, None),
    ]
    .into_iter()
    .enumerate()
    {
        let key = Name::from(format!("key-{idx}"));
        expect_that!(k.claim(&key, Some(now), now), eq(&Claim::New));
        let open = k.claim(&key, Some(now), now);
        expect_that!(
            open.refusal().map(|r| (r.status, r.outcome)),
            some(eq((409, Outcome::Unknown)))
        );
        k.settle(&key, outcome, now);
        let again = k.claim(&key, Some(now), now + ms(1000));
        expect_that!(again, eq(&claim));
        expect_that!(again.refusal().map(|r| r.reason), eq(reason));
        if !matches!(claim, Claim::New) {
            k.settle(&key, KeyOutcome::NotRun, now);
            expect_that!(k.claim(&key, Some(now), now + ms(1000)), eq(&claim));
        }
    }
}

/// Guards against unbounded memory, and against dropping records within the window to make room.
#[gtest]
fn records_are_bounded_and_expire() {
    let config = KeeperConfig {
        host: "a".into(),
        domain: "d".into(),
        max_records: 2,
        max_bytes: 100,
        ..KeeperConfig::default()
    };
    let mut k = Keeper::new(config);
    let start = Instant::now();
    let now = start + ms(86_400_000);
    k.set_members(&[alive("a", start)], now);
    let [one, two, three] = ["1", "2", "3"].map(Name::new);
    for key in [&one, &two] {
        expect_that!(k.claim(key, None, now), eq(&Claim::New));
        k.settle(key, KeyOutcome::Answered(answer(60)), now);
    }
    expect_that!(k.claim(&one, None, now), eq(&Claim::Answered(answer(60).into())));
    expect_that!(k.claim(&two, None, now), eq(&Claim::NotKept));
    let full = k.claim(&three, None, now);
    expect_that!(
        full.refusal().map(|r| (r.reason, r.outcome)),
        some(eq((Reason::KeeperFull, Outcome::NotRun)))
    );
    let later = now + RECORD_WINDOW;
    // A request that may be older than its record must not run.
    expect_that!(k.claim(&one, Some(now), later), eq(&Claim::Lost));
    expect_that!(k.is_empty(), eq(true));
    expect_that!(k.claim(&three, None, later), eq(&Claim::New));
}

/// Guards against running a repeat after the keeper died with its records, and against refusing keys
/// that the dead keeper cannot have seen.
#[gtest]
fn keys_of_a_dead_keeper_are_lost() {
    let (mut k, start, now) = settled("b");
    let key = key_of("a", "b");
    let set = |k: &mut Keeper, state, at| {
        k.set_members(&[alive("b", start), member("a", state, start, at)], at);
    };
    for state in [MemberState::Alive, MemberState::Suspect] {
        set(&mut k, state, now);
        expect_that!(k.claim(&key, Some(now), now), eq(&Claim::Elsewhere("a".into())));
    }
    set(&mut k, MemberState::Dead, now);
    for (sent, at, lost) in [
        (Some(now - ms(1000)), now, true),
        (Some(now - ms(1000)), now + ms(500_000), true),
        (Some(now + ms(499)), now + ms(2000), true),
        (Some(now + ms(501)), now + ms(2000), false),
        (None, now + ms(29_999), true),
        (None, now + ms(30_000), false),
    ] {
        let wanted = if lost { Claim::Lost } else { Claim::New };
        expect_that!(k.claim(&key, sent, at), eq(&wanted), "{sent:?} {at:?}");
        k.settle(&key, KeyOutcome::NotRun, at);
        // A key that this keeper has held all the time is not affected.
        expect_that!(k.claim(&key_of("b", "a"), Some(now), at), eq(&Claim::New));
        k.settle(&key_of("b", "a"), KeyOutcome::NotRun, at);
    }
}

/// Guards against a repeat that runs at a new keeper because the record is with the previous one, and
/// against a repeat that runs at the previous keeper after the new one took over.
#[gtest]
fn a_new_keeper_asks_the_previous_one() {
    let (mut old, start, now) = settled("b");
    let mut new = keeper("a");
    let mut keys = keys_of("a", "b");
    let [seen, one, two, three] = [(); 4].map(|()| keys.next().unwrap_or_default());
    expect_that!(old.claim(&seen, Some(now), now), eq(&Claim::New));
    old.settle(&seen, KeyOutcome::Answered(answer(3)), now);
    let view = [alive("b", start), alive("a", now)];
    new.set_members(&view, now);
    let sent = Some(now + ms(1));
    let t = now + ms(1000);

    expect_that!(new.claim(&seen, sent, t), eq(&Claim::Ask("b".into())));
    expect_that!(new.claim(&seen, sent, t), eq(&Claim::InProgress));
    let reply = old.cede(&seen, sent, &"a".into(), &[], ms(1000), t);
    expect_that!(new.resume(&seen, Some(reply), t), eq(&Claim::Answered(answer(3).into())));

    expect_that!(new.claim(&one, sent, t), eq(&Claim::Ask("b".into())));
    let reply = old.cede(&one, sent, &"a".into(), &[], ms(1000), t);
    expect_that!(reply, eq(&CedeReply::Free));
    expect_that!(new.resume(&one, Some(reply), t), eq(&Claim::New));
    // The old keeper does not know of the new one yet, and cannot tell whether it is still alive.
    expect_that!(old.claim(&one, sent, t), eq(&Claim::Lost));
    old.set_members(&view, t);
    expect_that!(old.claim(&one, sent, t), eq(&Claim::Elsewhere("a".into())));

    expect_that!(new.claim(&two, sent, t), eq(&Claim::Ask("b".into())));
    expect_that!(new.resume(&two, None, t), eq(&Claim::Lost));
    let late = now + RECORD_WINDOW;
    expect_that!(new.claim(&three, Some(late), late), eq(&Claim::New));
}

/// Guards against a repeat that runs again at the same host because a restart of its daemon lost the
/// record.
#[gtest]
fn a_restarted_keeper_has_lost_its_records() {
    let (mut other, start, now) = settled("b");
    other.set_members(&[alive("b", start), alive("a", start)], now);
    let key = key_of("a", "b");
    let mut again = keeper("a");
    again.set_members(&[alive("b", start), alive("a", now)], now);
    let sent = Some(now - ms(3000));
    expect_that!(again.claim(&key, sent, now + ms(10)), eq(&Claim::Ask("b".into())));
    let reply = other.cede(&key, sent, &"a".into(), &[], ms(10), now + ms(10));
    expect_that!(reply, eq(&CedeReply::Lost));
    expect_that!(again.resume(&key, Some(reply), now + ms(10)), eq(&Claim::Lost));

    // The only daemon of its failure domain has no earlier keeper to ask.
    let mut alone = keeper("a");
    alone.set_members(&[alive("a", now)], now);
    for (sent, at, lost) in [
        (Some(now - ms(1)), now, true),
        (Some(now + ms(1000)), now + ms(1000), false),
        (None, now, true),
        (None, now + ms(30_000), false),
    ] {
        let wanted = if lost { Claim::Lost } else { Claim::New };
        expect_that!(alone.claim(&key, sent, at), eq(&wanted), "{sent:?}");
        alone.settle(&key, KeyOutcome::NotRun, at);
    }
}

/// Guards against daemons that started together and refer to each other until a new key counts as lost,
/// because each of them may have held the key before it knew of the others.
#[gtest]
fn keepers_that_started_together_run_new_keys() {
    let start = Instant::now();
    let hosts = ["a", "b", "c", "d", "e"];
    let view: Vec<Member> = (0..).zip(hosts).map(|(i, h)| alive(h, start + ms(i * 50))).collect();
    let now = start + ms(2000);
    let mut keepers: HashMap<Name, Keeper> =
        hosts.iter().map(|host| (Name::new(host), keeper(host))).collect();
    keepers.values_mut().for_each(|keeper| keeper.set_members(&view, now));
    let ranking = Ranking::new(hosts.map(Name::new));
    for i in 0..50 {
        let key = Name::from(format!("key-{i}"));
        let owner = ranking.first(&key).cloned().unwrap_or_default();
        let Some(mut own) = keepers.remove(&owner) else { continue };
        let mut claim = own.claim(&key, Some(now), now);
        while let Claim::Ask(host) = claim {
            let asked = own.asked(&key).to_vec();
            let other = keepers.get_mut(&host);
            let reply = other.map(|k| k.cede(&key, Some(now), &owner, &asked, ms(2000), now));
            claim = own.resume(&key, reply, now);
        }
        expect_that!(claim, eq(&Claim::New), "{key}");
        // The others no longer run it, even one that does not know of the owner.
        for (host, other) in &mut keepers {
            expect_that!(other.claim(&key, Some(now), now), not(eq(&Claim::New)), "{key} {host}");
        }
        keepers.insert(owner, own);
    }
}

/// Guards against records that are lost in a planned stop.
#[gtest]
fn a_leaving_keeper_hands_over() {
    let (mut old, start, now) = settled("a");
    let mut successor = keeper("b");
    let view = |state, at| [alive("b", start), member("a", state, start, at)];
    old.set_members(&view(MemberState::Alive, start), now);
    successor.set_members(&view(MemberState::Alive, start), now);
    let key = key_of("a", "b");
    let sent = Some(now);
    expect_that!(old.claim(&key, sent, now), eq(&Claim::New));
    old.settle(&key, KeyOutcome::Answered(answer(3)), now);
    old.leave();
    let t = now + ms(1000);
    successor.set_members(&view(MemberState::Leaving, now), t);
    let other = Name::new("k-other");
    expect_that!(old.claim(&other, sent, t), eq(&Claim::Elsewhere("b".into())));
    expect_that!(successor.claim(&key, sent, t), eq(&Claim::Ask("a".into())));
    let reply = old.cede(&key, sent, &"b".into(), &[], ms(86_000_000), t);
    expect_that!(successor.resume(&key, Some(reply), t), eq(&Claim::Answered(answer(3).into())));

    let parts = old.hand_over(t);
    let shape = parts.iter().map(|p| (p.records.len(), p.last)).collect::<Vec<_>>();
    expect_that!(shape, elements_are![eq(&(1, false)), eq(&(0, true))]);
    let mut without = keeper("b");
    for k in [&mut successor, &mut without] {
        k.set_members(&view(MemberState::Leaving, now), t);
    }
    for part in parts {
        expect_that!(successor.take_over(&"a".into(), part, t), eq(true));
    }
    let next = keys_of("a", "b").nth(1).unwrap_or_default();
    for (k, wanted) in [(&mut successor, Claim::New), (&mut without, Claim::Lost)] {
        k.set_members(&view(MemberState::Left, t), t);
        expect_that!(k.claim(&next, sent, t + ms(100)), eq(&wanted));
    }
    expect_that!(successor.claim(&key, sent, t), eq(&Claim::Answered(answer(3).into())));
}

/// Guards against faults that random schedules found: a key ceded to an earlier process of the asking
/// host, a leaving keeper with two successors for one key, a late reply, and daemons that disagree about
/// the successor.
#[gtest]
fn faults_found_by_random_schedules() {
    let (mut b, start, now) = settled("b");
    let key = key_of("a", "b");
    b.set_members(&[alive("b", start), alive("a", now)], now);
    let (first, again) = (ms(1000), ms(10));
    expect_that!(b.cede(&key, None, &"a".into(), &[], first, now + first), eq(&CedeReply::Free));
    expect_that!(
        b.cede(&key, None, &"a".into(), &[], first * 2, now + first * 2),
        eq(&CedeReply::Free)
    );
    expect_that!(b.cede(&key, None, &"a".into(), &[], again, now + ms(3000)), eq(&CedeReply::Lost));

    // "b" knows of "c" and "d"; for the key, the ranking is "c", "d", "b".
    let rank = |names: [&str; 2]| Ranking::new(names.map(Name::new));
    let is = |r: &Ranking, key: &Name, n: &str| r.first(key).is_some_and(|f| f.as_str() == n);
    let (cd, db) = (rank(["c", "d"]), rank(["d", "b"]));
    let mut keys = (0..).map(|i| Name::from(format!("key-{i}")));
    let key = keys.find(|k| is(&cd, k, "c") && is(&db, k, "d")).unwrap_or_default();
    let leaving = member("c", MemberState::Leaving, start, now);
    b.set_members(&[alive("b", start), alive("d", start), leaving.clone()], now);
    expect_that!(b.claim(&key, Some(now), now), eq(&Claim::Elsewhere("d".into())));

    let key = keys_of("c", "b").next().unwrap_or_default();
    let (mut b, _, _) = settled("b");
    b.set_members(&[alive("b", start), leaving.clone()], now);
    expect_that!(b.claim(&key, None, now), eq(&Claim::Ask("c".into())));
    expect_that!(b.resume(&key, Some(CedeReply::Free), now + ms(2001)), eq(&Claim::Lost));

    for (unknown, wanted) in [(None, Claim::New), (Some("d"), Claim::Lost)] {
        let mut c = keeper("c");
        let mut view = vec![leaving.clone(), alive("b", start)];
        view.extend(unknown.map(|host| alive(host, start)));
        c.set_members(&view, now);
        c.leave();
        let (mut b, _, _) = settled("b");
        b.set_members(&[alive("b", start), alive("c", start)], now);
        let last = c.hand_over(now).into_iter().find(|part| part.to.as_str() == "b");
        expect_that!(last.map(|part| b.take_over(&"c".into(), part, now)), some(eq(true)));
        let left = member("c", MemberState::Left, start, now);
        b.set_members(&[alive("b", start), left], now);
        expect_that!(b.claim(&key, Some(now), now), eq(&wanted), "{unknown:?}");
    }
}

/// Guards against a home failure domain that depends on the view of the daemon that chooses it.
#[gtest]
fn home_is_stable() {
    let known = Ranking::new(["gva-a", "gva-b", "lau-a"].map(Name::new));
    let reversed = Ranking::new(["lau-a", "gva-b", "gva-a"].map(Name::new));
    let (stated, local) = (Name::new("lau-a"), Name::new("gva-b"));
    let mut seen = std::collections::HashSet::new();
    for i in 0..100 {
        let key = format!("key-{i}");
        let chosen = home_domain(&key, None, None, &known);
        expect_that!(chosen, eq(home_domain(&key, None, None, &reversed)));
        seen.insert(chosen);
        expect_that!(home_domain(&key, Some(&stated), Some(&local), &known), some(eq(&stated)));
        expect_that!(home_domain(&key, None, Some(&local), &known), some(eq(&local)));
    }
    expect_that!(seen.len(), eq(3));
}
