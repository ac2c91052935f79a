//! Recovery of wrong estimates. Each test makes an estimate wrong, and expects it to become right again
//! within a given time although the estimate itself determines which samples are taken.

mod support;

use std::{collections::VecDeque, time::Duration};

use dw_request::{AttemptOutcome, Decision, Dispatcher, Next, Reason, RequestInfo};
use googletest::prelude::*;
use support::{answered, dispatcher, forwarded, get, ms, not_run, targets, two_routes};
use tokio::time::Instant;

/// A dispatcher with two targets that were started at `start`.
fn two_targets(start: Instant) -> Dispatcher {
    dispatcher(7, two_routes(), targets(2, "portland", "new-england", start))
}

/// Sends 60 requests, each of which is settled before the next one.
fn settle_all(d: &mut Dispatcher, now: Instant, outcome: impl Fn(&str) -> AttemptOutcome) {
    for _ in 0..60 {
        let attempt = forwarded(d.begin(get("/credit"), now));
        d.settle(attempt.id, outcome(&attempt.endpoint.host), now);
    }
}

/// Share of requests that go to the first target while ten are in flight at any time.
fn share_of_first(d: &mut Dispatcher, now: Instant) -> f64 {
    let mut open = Vec::new();
    let mut first = 0;
    for _ in 0..400 {
        let attempt = forwarded(d.begin(get("/credit"), now));
        first += u32::from(attempt.endpoint.host.as_str() == "portland-0");
        open.push(attempt.id);
        if open.len() == 10 {
            let id = open.remove(0);
            d.settle(id, slow(ms(30)), now);
        }
    }
    for id in open {
        d.settle(id, slow(ms(30)), now);
    }
    f64::from(first) / 400.0
}

fn slow(latency: Duration) -> AttemptOutcome {
    AttemptOutcome::Answered { status: 200, load: None, latency }
}

/// Guards against avoiding a target forever because it was slow once.
#[gtest]
fn a_target_that_was_slow_gets_requests_again() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut d = two_targets(start);
    settle_all(&mut d, now, |host| slow(if host == "portland-0" { ms(3000) } else { ms(30) }));
    let later = now + ms(10_000);
    // Under load the target is tried again, and each fast response corrects its mean latency.
    share_of_first(&mut d, later);
    expect_that!(share_of_first(&mut d, later + ms(1000)), ge(0.25));
}

/// Guards against avoiding a target forever because it shed load for a while.
#[gtest]
fn a_target_that_shed_load_gets_requests_again() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut d = two_targets(start);
    settle_all(&mut d, now, |host| match host {
        "portland-0" => not_run(Reason::QueueFull),
        _ => answered(200),
    });
    let later = now + ms(10_000);
    share_of_first(&mut d, later);
    expect_that!(share_of_first(&mut d, later + ms(1000)), ge(0.25));
}

/// Guards against a pool limit that stays low after the targets accept requests again.
#[gtest]
fn the_limit_of_a_pool_that_shed_load_grows_again() {
    let start = Instant::now();
    let mut now = start + ms(60_000);
    let mut d = two_targets(start);
    for _ in 0..100 {
        now += ms(20);
        let open: Vec<_> = (0..20).filter_map(|_| begin(&mut d, now)).collect();
        open.into_iter().for_each(|id| {
            let _: Next = d.settle(id, not_run(Reason::TargetRefused), now);
        });
    }
    let low = (0..200).filter_map(|_| begin(&mut d, now)).collect::<Vec<_>>();
    expect_that!(low.len(), lt(40));
    low.into_iter().for_each(|id| {
        d.settle(id, answered(200), now);
    });
    // For ten seconds, callers send more requests than the limit allows, and one of the requests in
    // flight is answered each millisecond.
    let mut open = VecDeque::new();
    for _ in 0..10_000 {
        now += ms(1);
        open.extend(std::iter::from_fn(|| begin(&mut d, now)));
        if let Some(id) = open.pop_front() {
            d.settle(id, answered(200), now);
        }
    }
    expect_that!(open.len(), ge(100));
}

fn begin(d: &mut Dispatcher, now: Instant) -> Option<dw_request::AttemptId> {
    match d.begin(get("/credit"), now) {
        Decision::Forward(attempt) => Some(attempt.id),
        Decision::Refuse(_) => None,
    }
}

/// Guards against mistaking all callers for ones that retry, and so counting their responses as late,
/// because other callers had longer timeouts before.
#[gtest]
fn callers_with_shorter_timeouts_than_others_had_are_not_late() {
    let start = Instant::now();
    let now = start + ms(60_000);
    let mut d = two_targets(start);
    let mut left_of = |stated: Duration| {
        let info =
            RequestInfo { timeout: Some(stated), stated_timeout: Some(stated), ..get("/lookup") };
        let attempt = forwarded(d.begin(info, now));
        d.settle(attempt.id, answered(200), now);
        attempt.goal.late_at.saturating_duration_since(now)
    };
    for _ in 0..400 {
        left_of(ms(5000));
    }
    // 16 s at 50 requests per second.
    for _ in 0..800 {
        left_of(ms(1200));
    }
    // The objective of a route without one is 1 s.
    expect_that!(left_of(ms(1200)), eq(ms(1000)));
}
