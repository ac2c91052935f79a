//! Choice of the target of a request.

mod support;

use std::collections::HashMap;

use dw_request::{Decision, Dispatcher, EndpointState, Outcome, Reason};
use dw_tables::Name;
use googletest::prelude::*;
use support::{
    answered, answered_with_load, dispatcher, endpoint, forwarded, get, ms, not_run, refused,
    retried, targets, two_routes, unknown, version,
};
use tokio::time::Instant;

const REGION: &str = "new-england";

/// Sends requests one after the other and counts them by host.
fn count_by_host(d: &mut Dispatcher, count: usize, now: Instant) -> HashMap<Name, usize> {
    let mut hosts = HashMap::new();
    for _ in 0..count {
        let attempt = forwarded(d.begin(get("/lookup"), now));
        *hosts.entry(attempt.endpoint.host.clone()).or_default() += 1;
        d.settle(attempt.id, answered(200), now);
    }
    hosts
}

fn share(hosts: &HashMap<Name, usize>, prefix: &str) -> usize {
    hosts.iter().filter(|(host, _)| host.starts_with(prefix)).map(|(_, n)| n).sum()
}

/// Guards against requests that leave the failure domain needlessly, and against an abrupt instead of a
/// gradual spillover when local slots fill up.
#[gtest]
fn spill_grows_gradually_with_local_load() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut away = Vec::new();
    for in_flight in [0, 8, 10, 11, 12] {
        let mut all = targets(4, "portland", REGION, start);
        all.extend(targets(4, "worcester", REGION, start));
        let mut d = dispatcher(1, two_routes(), all);
        // One response from each local target reports its load.
        for _ in 0..64 {
            let attempt = forwarded(d.begin(get("/lookup"), now));
            let local = attempt.endpoint.domain.as_str() == "portland";
            d.settle(attempt.id, answered_with_load(if local { in_flight } else { 0 }), now);
        }
        let mut count = 0;
        for _ in 0..1000 {
            let attempt = forwarded(d.begin(get("/lookup"), now));
            count += usize::from(attempt.endpoint.domain.as_str() != "portland");
            d.settle(attempt.id, dw_request::AttemptOutcome::Cancelled, now);
        }
        away.push(count);
    }
    expect_that!(away[..2], elements_are![eq(&0), eq(&0)]);
    expect_that!(away[2], all!(gt(200), lt(470)));
    expect_that!(away[3], all!(gt(550), lt(800)));
    expect_that!(away[4], eq(1000));
}

/// Guards against choosing a far target while a nearer one is usable, and against refusing requests
/// when only far targets are left.
#[gtest]
fn nearest_usable_tier() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut all = vec![
        endpoint("near", "portland", REGION, start),
        endpoint("mid", "hartford", REGION, start),
        endpoint("far", "gva-a", "ch-west", start),
    ];
    for (idx, wanted) in ["near", "mid", "far"].into_iter().enumerate() {
        let mut d = dispatcher(1, two_routes(), all.clone());
        expect_that!(count_by_host(&mut d, 50, now), eq(&HashMap::from([(wanted.into(), 50)])));
        all[idx].state = EndpointState::Leaving;
    }
    let mut d = dispatcher(1, two_routes(), all);
    let refusal = refused(d.begin(get("/lookup"), now));
    expect_that!(refusal.reason, eq(Reason::NoTarget));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(refusal.retry_after, gt(ms(0)));
}

/// Guards against load that piles up at one target, and against ignoring the load that targets report.
#[gtest]
fn two_choices_prefer_the_less_busy() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut d = dispatcher(3, two_routes(), targets(5, "portland", REGION, start));
    let mut open: HashMap<Name, u32> = HashMap::new();
    for _ in 0..25 {
        let attempt = forwarded(d.begin(get("/lookup"), now));
        *open.entry(attempt.endpoint.host.clone()).or_default() += 1;
    }
    expect_that!(open.values().max(), some(le(&8)));

    let mut d = dispatcher(3, two_routes(), targets(5, "portland", REGION, start));
    for _ in 0..100 {
        let attempt = forwarded(d.begin(get("/lookup"), now));
        let load = if attempt.endpoint.host.as_str() == "portland-0" { 9 } else { 1 };
        d.settle(attempt.id, answered_with_load(load), now);
    }
    let hosts = count_by_host(&mut d, 500, now);
    expect_that!(share(&hosts, "portland-0"), lt(20));
}

/// Guards against a cold target that gets its full share immediately, and against one that gets nothing.
#[gtest]
fn slow_start_of_cold_targets() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut all = targets(4, "portland", REGION, start);
    all.push(endpoint("cold", "portland", REGION, now));
    let mut d = dispatcher(5, two_routes(), all);
    let mut counts = Vec::new();
    for age in [0, 5_000, 20_000] {
        counts.push(share(&count_by_host(&mut d, 2000, now + ms(age)), "cold"));
    }
    expect_that!(counts[0], all!(gt(0), lt(80)));
    expect_that!(counts[1], gt(counts[0]));
    expect_that!(counts[2], all!(gt(counts[1]), gt(200)));
}

/// Guards against sending requests to a target that keeps failing, against ejecting too large a share of
/// the targets, and against ejecting a target forever.
#[gtest]
fn ejection_is_limited_and_ends() {
    let start = Instant::now();
    let mut now = start + ms(60_000);
    let mut d = dispatcher(7, two_routes(), targets(6, "portland", REGION, start));
    for _ in 0..600 {
        let attempt = forwarded(d.begin(get("/credit"), now));
        // Four of six fail; at 33% only one may be ejected.
        let bad = attempt.endpoint.host.as_str() < "portland-4";
        d.settle(attempt.id, answered(if bad { 500 } else { 200 }), now);
        expect_that!(d.ejected("tally").map_or(9, |e| e.0), le(1));
    }
    expect_that!(d.ejected("tally"), some(eq((1, 6))));
    now += ms(25_000);
    let hosts = count_by_host(&mut d, 600, now);
    expect_that!(hosts.len(), eq(6));
    expect_that!(d.ejected("tally"), some(eq((0, 6))));
}

/// Guards against exceeding the share of ejected targets after healthy targets have left.
#[gtest]
fn ejection_is_undone_when_the_pool_shrinks() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let all = targets(6, "portland", REGION, start);
    let routes = r#"{"name": "r", "match": {"path": "/"}, "pool": "tally"}"#;
    let pool = r#"{"name": "tally", "service": "tally", "balance": "round-robin"}"#;
    let mut d = dispatcher(7, version(1, routes, pool), all.clone());
    for _ in 0..60 {
        let attempt = forwarded(d.begin(get("/credit"), now));
        let bad = attempt.endpoint.host.as_str() == "portland-0";
        d.settle(
            attempt.id,
            if bad { unknown(Reason::ConnectionLost) } else { answered(200) },
            now,
        );
    }
    expect_that!(d.ejected("tally"), some(eq((1, 6))));
    d.set_endpoints(all[..2].to_vec());
    expect_that!(d.ejected("tally"), some(eq((0, 2))));
}

/// Guards against new requests to a target that refused one because it is leaving, while membership
/// still lists it (P7).
#[gtest]
fn a_draining_target_is_left_out_at_once() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut d = dispatcher(9, two_routes(), targets(3, "portland", REGION, start));
    let attempt = forwarded(d.begin(get("/credit"), now));
    let gone = attempt.endpoint.host.clone();
    d.settle(attempt.id, not_run(Reason::Draining), now);
    expect_that!(count_by_host(&mut d, 200, now).get(&gone), none());
}

/// Guards against an unbounded number of requests in flight on the caller's side.
#[gtest]
fn pool_limit_refuses_as_not_run() {
    let start = Instant::now();
    let limits = r#"{"name": "tally", "service": "tally", "limits": {"in_flight": 7}}"#;
    let routes = r#"{"name": "r", "match": {"path": "/"}, "pool": "tally"}"#;
    let all = targets(3, "portland", REGION, start);
    let mut d = dispatcher(1, version(1, routes, limits), all);
    let open: Vec<_> = (0..7).map(|_| forwarded(d.begin(get("/"), start))).collect();
    let refusal = refused(d.begin(get("/"), start));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::PoolLimit, Outcome::NotRun)));
    d.settle(open[0].id, answered(200), start);
    expect_that!(matches!(d.begin(get("/"), start), Decision::Forward(_)), eq(true));
}

/// Guards against a request that is retried at another service because its pool was edited meanwhile.
#[gtest]
fn requests_in_flight_keep_their_version() {
    let start = Instant::now();
    let mut other = targets(3, "portland", REGION, start);
    other.iter_mut().for_each(|e| e.service = "other".into());
    let mut all = targets(3, "worcester", REGION, start);
    all.extend(other);
    let mut d = dispatcher(1, two_routes(), all);
    let attempt = forwarded(d.begin(get("/lookup"), start));
    let routes = r#"{"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally"}"#;
    d.set_version(version(2, routes, r#"{"name": "tally", "service": "other"}"#));
    let (_, retry) = retried(d.settle(attempt.id, not_run(Reason::QueueFull), start));
    expect_that!(retry.endpoint.service.as_str(), eq("tally"));
    d.settle(retry.id, answered(200), start);
    let next = forwarded(d.begin(get("/lookup"), start));
    expect_that!(next.endpoint.service.as_str(), eq("other"));
}
