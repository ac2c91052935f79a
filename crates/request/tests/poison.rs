//! Detection and refusal of requests that crash the targets that run them.

mod support;

use dw_request::{
    Death, Decision, Fingerprint, Outcome, POISON_DURATION, PoisonList, Reason, RequestInfo,
    Suspects,
};
use dw_tables::Name;
use googletest::prelude::*;
use support::{answered, dispatcher, endpoint, forwarded, get, ms, refused, two_routes, unknown};
use tokio::time::Instant;

fn death(host: &str, start: u64) -> Death {
    Death { host: host.into(), target: 0, start }
}

fn fingerprint(number: usize) -> Fingerprint {
    Fingerprint::of_key(&format!("key-{number}"))
}

fn report(host: &str, start: u64, fingerprints: impl IntoIterator<Item = usize>) -> Suspects {
    Suspects {
        death: death(host, start),
        fingerprints: fingerprints.into_iter().map(fingerprint).collect(),
        too_many: false,
    }
}

/// Guards against a request that keeps crashing targets, and against refusing one on weak evidence: one
/// death, the same death reported twice, one faulty target, or too many suspects.
#[gtest]
fn two_deaths_of_different_targets_poison_a_request() {
    let now = Instant::now();
    for (reports, refused) in [
        (vec![report("a", 1, [7])], false),
        (vec![report("a", 1, [7]), report("a", 1, [7])], false),
        (vec![report("a", 1, [7]), report("a", 2, [7])], false),
        (vec![report("a", 1, [7]), report("b", 1, [8])], false),
        (vec![report("a", 1, [7]), report("b", 1, [7])], true),
        (vec![report("a", 1, 0..32), report("b", 1, 0..32)], true),
        (vec![report("a", 1, 0..33), report("b", 1, 0..32)], false),
        // The reports of one death together contain more than 32 requests.
        (vec![report("a", 1, 0..20), report("a", 1, 20..40), report("b", 1, [7])], false),
        // The excess is reported only after the request has been refused.
        (vec![report("a", 1, [7]), report("b", 1, [7]), report("a", 1, 20..60)], false),
    ] {
        let mut poison = PoisonList::default();
        for report in &reports {
            poison.merge(report, now);
        }
        expect_that!(poison.refuses(fingerprint(7), now), eq(refused), "{reports:?}");
        expect_that!(poison.refuses(fingerprint(99), now), eq(false));
    }
}

/// Guards against refusing a request forever, against a newly joined daemon that does not know the list,
/// and against unbounded growth.
#[gtest]
fn refusals_expire_and_are_bounded() {
    let now = Instant::now();
    let (mut poison, mut newcomer) = (PoisonList::default(), PoisonList::default());
    poison.merge(&report("a", 1, [1, 2]), now);
    let new = poison.merge(&report("b", 1, [2, 3]), now);
    expect_that!(new, elements_are![eq(&fingerprint(2))]);
    newcomer.merge_list(&poison.list(now + ms(1000)), now + ms(1000));
    for (list, at, refused) in [
        (&poison, POISON_DURATION - ms(1), true),
        (&newcomer, POISON_DURATION - ms(1), true),
        (&poison, POISON_DURATION, false),
        (&newcomer, POISON_DURATION, false),
    ] {
        expect_that!(list.refuses(fingerprint(2), now + at), eq(refused), "{at:?}");
    }
    for host in 0..400 {
        let fingerprints = (host / 2 * 32..host / 2 * 32 + 32).map(fingerprint);
        poison.report(death(&host.to_string(), 1), fingerprints, now);
    }
    expect_that!(poison.list(now).len(), all!(gt(1000), le(4096)));
}

/// Guards against a report that misses requests whose connections broke before the death was noticed, or
/// that contains requests that had succeeded.
#[gtest]
fn callers_report_what_was_lost_at_a_dead_target() {
    let now = Instant::now();
    let only = vec![endpoint("only", "portland", "new-england", now)];
    let mut d = dispatcher(1, two_routes(), only);
    let keys: Vec<Name> = ["open", "lost", "fine"].map(Name::new).to_vec();
    let mut attempts = Vec::new();
    for key in &keys {
        let info = RequestInfo { key: Some(key), ..get("/credit") };
        attempts.push(forwarded(d.begin(info, now)));
    }
    d.settle(attempts[1].id, unknown(Reason::ConnectionLost), now);
    d.settle(attempts[2].id, answered(200), now);
    let lost = d.target_died(&"only".into(), 0, now + ms(3000));
    let wanted = [Fingerprint::of_key("open"), Fingerprint::of_key("lost")];
    expect_that!(lost, unordered_elements_are![eq(&wanted[0]), eq(&wanted[1])]);
    expect_that!(d.target_died(&"other".into(), 0, now), is_empty());

    let suspects = d.poison_mut().report(death("only", 1), lost, now);
    expect_that!(suspects.map(|s| s.fingerprints.len()), some(eq(2)));
    d.poison_mut().merge(
        &Suspects { death: death("b", 1), fingerprints: wanted[..1].to_vec(), too_many: false },
        now,
    );
    let repeat = RequestInfo { key: Some(&keys[0]), ..get("/credit") };
    let refusal = refused(d.begin(repeat, now));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::Poisoned, Outcome::Unknown)));
    let other = RequestInfo { key: Some(&keys[1]), ..get("/credit") };
    expect_that!(matches!(d.begin(other, now), Decision::Forward(_)), eq(true));
}

/// Guards against different requests with the same fingerprint, and one request with different ones.
#[gtest]
fn fingerprints_identify_requests() {
    let (body, other) = ([1; 32], [2; 32]);
    let of = |method, path, body| Fingerprint::of_request(method, path, body);
    expect_that!(of("PUT", "/a", &body), eq(of("PUT", "/a", &body)));
    for differs in [of("PUT", "/a", &other), of("POST", "/a", &body), of("PU", "T/a", &body)] {
        expect_that!(of("PUT", "/a", &body), not(eq(differs)));
    }
    let fingerprint = of("PUT", "/a", &body);
    expect_that!(Fingerprint::from_bytes(fingerprint.to_bytes()), eq(fingerprint));
    expect_that!(get("/lookup").fingerprint(), none());
}

/// Guards against refusing a popular request for ten minutes because two targets crashed while it was in
/// flight, although other targets answered it in between.
#[gtest]
fn a_request_that_targets_answer_is_not_refused() {
    let start = Instant::now();
    let hosts = ["a", "b", "c"].map(|host| endpoint(host, "portland", "new-england", start));
    let mut d = dispatcher(1, two_routes(), hosts.to_vec());
    let popular = RequestInfo { body_hash: Some(&[7; 32]), ..get("/lookup") };
    let fingerprint = popular.fingerprint();
    for round in 0..4 {
        let now = start + ms(60_000 + round * 5_000);
        let attempt = forwarded(d.begin(popular, now));
        d.settle(attempt.id, unknown(Reason::TargetDied), now);
        let host = if round % 2 == 0 { "a" } else { "b" };
        d.poison_mut().report(death(host, round), fingerprint, now);
        let attempt = forwarded(d.begin(popular, now));
        d.settle(attempt.id, answered(200), now);
    }
    // Two crashes without an answer in between still count.
    let now = start + ms(90_000);
    for host in ["a", "b"] {
        d.poison_mut().report(death(host, 9), fingerprint, now);
    }
    expect_that!(refused(d.begin(popular, now)).reason, eq(Reason::Poisoned));
}

/// Guards against refusing a request that many callers send for ten minutes, because two targets crashed at once while
/// it was in flight there.
#[gtest]
fn a_popular_request_at_targets_that_crash_at_once_is_not_refused() {
    let start = Instant::now();
    let hosts = ["a", "b", "c"].map(|host| endpoint(host, "portland", "new-england", start));
    let mut d = dispatcher(1, two_routes(), hosts.to_vec());
    let popular = RequestInfo { body_hash: Some(&[7; 32]), ..get("/lookup") };
    let attempt = forwarded(d.begin(popular, start));
    d.settle(attempt.id, answered(200), start + ms(350));
    for (after, refused) in [(1_000, false), (5_000, false), (20_000, true)] {
        let now = start + ms(after);
        for host in ["a", "b"] {
            let attempt = forwarded(d.begin(popular, now));
            d.settle(attempt.id, unknown(Reason::TargetDied), now);
            d.poison_mut().report(death(host, after), popular.fingerprint(), now);
        }
        let decision = d.begin(popular, now + ms(1));
        // Without an answer for longer, two deaths count.
        expect_that!(matches!(decision, Decision::Refuse(_)), eq(refused), "{after} ms");
    }
}

/// Guards against a refusal that stands although a target answers the request, which was in flight there when the
/// others died, and against one that is taken over from a daemon that does not know of the answer.
#[gtest]
fn an_answer_withdraws_the_refusal() {
    let now = Instant::now();
    let suspect = fingerprint(7);
    let mut poison = PoisonList::default();
    for host in ["a", "b"] {
        poison.merge(&report(host, 1, [7, 8]), now);
    }
    expect_that!(poison.refuses(suspect, now), eq(true));
    expect_that!(poison.was_answered(suspect.short(), now), eq(false));
    poison.record_answer(suspect, now + ms(300));
    expect_that!(poison.refuses(suspect, now + ms(300)), eq(false));
    expect_that!(poison.refuses(fingerprint(8), now + ms(300)), eq(true));
    expect_that!(poison.was_answered(suspect.short(), now + ms(10_299)), eq(true));
    expect_that!(poison.was_answered(suspect.short(), now + ms(10_300)), eq(false));

    let mut other = PoisonList::default();
    for host in ["a", "b"] {
        other.merge(&report(host, 1, [7]), now);
    }
    other.withdraw(suspect.short(), now + ms(400));
    expect_that!(other.refuses(suspect, now + ms(400)), eq(false));
}

/// Guards against answers that are remembered without a bound.
#[gtest]
fn only_the_latest_answers_are_remembered() {
    let now = Instant::now();
    let mut poison = PoisonList::default();
    (0..5000).for_each(|number| poison.record_answer(fingerprint(number), now));
    let known = |number| poison.was_answered(fingerprint(number).short(), now);
    expect_that!([known(0), known(903), known(904), known(4999)], eq([false, false, true, true]));
}
