//! Retries and refusals after failed attempts.

mod support;

use dw_request::{
    AttemptOutcome, Decision, Dispatcher, Load, Next, Outcome, Reason, RequestInfo, RetryBudget,
};
use googletest::prelude::*;
use support::{
    answered, dispatcher, endpoint, forwarded, get, given_up, ms, not_run, refused, retried,
    targets, two_routes, unknown, version,
};
use tokio::time::Instant;

fn eight_targets(start: Instant) -> Dispatcher {
    dispatcher(11, two_routes(), targets(8, "portland", "new-england", start))
}

/// Guards against running a non-idempotent request twice (P6), and against giving up on a request
/// that may be retried.
#[gtest]
fn only_safe_attempts_are_repeated() {
    let now = Instant::now();
    for (path, outcome, retry) in [
        ("/lookup", unknown(Reason::ConnectionLost), true),
        ("/lookup", unknown(Reason::TimedOut), true),
        ("/lookup", not_run(Reason::QueueFull), true),
        ("/lookup", answered(503), true),
        ("/lookup", answered(500), false),
        ("/lookup", unknown(Reason::Poisoned), false),
        ("/lookup", AttemptOutcome::Cancelled, false),
        ("/credit", unknown(Reason::ConnectionLost), false),
        ("/credit", unknown(Reason::QueueFull), false),
        ("/credit", answered(503), false),
        ("/credit", not_run(Reason::QueueFull), true),
        ("/credit", not_run(Reason::ConnectFailed), true),
        ("/credit", not_run(Reason::DeadlinePassed), false),
    ] {
        let mut d = eight_targets(now);
        let first = forwarded(d.begin(get(path), now));
        match d.settle(first.id, outcome, now) {
            Next::Retry { after, attempt } => {
                expect_that!(retry, eq(true), "{path} {outcome:?}");
                expect_that!(after, le(ms(5)));
                expect_that!(attempt.endpoint.host, not(eq(&first.endpoint.host)));
                expect_that!((attempt.retried, attempt.cause.is_some()), eq((true, true)));
            }
            _ => expect_that!(retry, eq(false), "{path} {outcome:?}"),
        }
        expect_that!(d.in_flight(), eq(usize::from(retry)));
    }
}

/// Guards against a wrong "not run" (P5): after an attempt that may have run, the final refusal is
/// unknown, regardless of the outcome of the last attempt.
#[gtest]
fn an_earlier_unknown_attempt_is_remembered() {
    let now = Instant::now();
    for first in [unknown(Reason::ConnectionLost), answered(503)] {
        let mut d = eight_targets(now);
        let attempt = forwarded(d.begin(get("/lookup"), now));
        let (_, attempt) = retried(d.settle(attempt.id, first, now));
        let (_, attempt) = retried(d.settle(attempt.id, not_run(Reason::Draining), now));
        let refusal = given_up(d.settle(attempt.id, not_run(Reason::Draining), now));
        expect_that!((refusal.status, refusal.outcome), eq((502, Outcome::Unknown)));
        expect_that!(refusal.no_retry, some(eq(Reason::RetryLimit)));
    }
    let mut d = eight_targets(now);
    let attempt = forwarded(d.begin(get("/credit"), now));
    let refusal = given_up(d.settle(attempt.id, unknown(Reason::QueueFull), now));
    expect_that!((refusal.status, refusal.outcome), eq((502, Outcome::Unknown)));
    expect_that!(refusal.no_retry, some(eq(Reason::RetryUnsafe)));
}

/// Guards against a burst of retries that grows with the fleet: each daemon accumulates some budget in
/// quiet periods, and when a service begins to fail, all daemons spend it at the same moment.
#[gtest]
fn the_burst_of_a_fleet_does_not_grow_with_its_daemons() {
    let start = Instant::now();
    for (daemons, limit) in [(13, 260), (60, 260), (260, 260), (295, 295)] {
        let targets = targets(daemons, "portland", "new-england", start);
        let mut d = dispatcher(11, two_routes(), targets);
        let mut now = start;
        // Enough requests to accumulate the maximum budget of a daemon.
        for _ in 0..400 {
            now += ms(1);
            let attempt = forwarded(d.begin(get("/lookup"), now));
            d.settle(attempt.id, answered(200), now);
        }
        let mut retries = 0;
        for _ in 0..40 {
            let attempt = forwarded(d.begin(get("/lookup"), now));
            let next = d.settle(attempt.id, unknown(Reason::ConnectionLost), now);
            retries += usize::from(matches!(next, Next::Retry { .. }));
        }
        // Another 39 requests earn three more retries.
        expect_that!(retries, ge(4));
        expect_that!((retries - 3) * daemons, le(limit), "{daemons} daemons");
    }
}

/// Guards against retries that multiply the load at each level of a call chain.
#[gtest]
fn one_level_retries() {
    let now = Instant::now();
    let mut d = eight_targets(now);
    let nested = RequestInfo { retried: true, depth: 2, ..get("/lookup") };
    let attempt = forwarded(d.begin(nested, now));
    expect_that!((attempt.retried, attempt.depth), eq((true, 3)));
    let refusal = given_up(d.settle(attempt.id, not_run(Reason::QueueFull), now));
    expect_that!(refusal.no_retry, some(eq(Reason::RetryLevel)));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    let looping = RequestInfo { depth: 200, ..get("/lookup") };
    expect_that!(refused(d.begin(looping, now)).reason, eq(Reason::DepthLimit));
}

/// Guards against retries that make an overload worse: the budget limits them while few attempts are
/// shed, and there are none while the pool sheds load.
#[gtest]
fn budget_and_shedding_bound_retries() {
    let mut now = Instant::now();
    let mut d = eight_targets(now);
    let (mut retries, mut denied) = (0, 0);
    for _ in 0..1000 {
        now += ms(1);
        let mut next = forwarded(d.begin(get("/lookup"), now));
        while let Next::Retry { attempt, .. } =
            d.settle(next.id, not_run(Reason::ConnectFailed), now)
        {
            retries += 1;
            next = attempt;
        }
    }
    expect_that!(retries, all!(gt(50), le(RetryBudget::bound(1000))));

    let mut d = eight_targets(now);
    for _ in 0..100 {
        now += ms(1);
        let attempt = forwarded(d.begin(get("/lookup"), now));
        match d.settle(attempt.id, not_run(Reason::QueueFull), now) {
            Next::Retry { attempt, .. } => {
                d.settle(attempt.id, not_run(Reason::QueueFull), now);
            }
            next => denied += u32::from(given_up(next).no_retry == Some(Reason::RetryShedding)),
        }
    }
    expect_that!(denied, ge(97));
    // After a quiet period, requests are retried again.
    now += ms(10_000);
    let attempt = forwarded(d.begin(get("/lookup"), now));
    retried(d.settle(attempt.id, not_run(Reason::QueueFull), now));
}

/// Guards against refusals of targets that have room being taken for an overload of their pool: requests
/// were not retried, and the lowered limit of the pool refused requests for seconds afterwards.
#[gtest]
fn a_target_that_declines_requests_without_load_does_not_stop_retries() {
    let start = Instant::now();
    for (queued, shed) in [(0, false), (3, true)] {
        let mut d = eight_targets(start);
        let load = Load { in_flight: 2, slots: 10, queued, ..Load::default() };
        let outcome = AttemptOutcome::NotRun {
            reason: Reason::TargetRefused,
            retry_after: None,
            load: Some(load),
        };
        let (mut now, mut retries, mut shedding) = (start, 0, 0);
        // Half of the requests are declined at every target, for four seconds.
        for number in 0..2000 {
            now += ms(2);
            let mut open = forwarded(d.begin(get("/credit"), now));
            let mut declined = number % 2 == 0;
            while declined {
                match d.settle(open.id, outcome, now) {
                    Next::Retry { attempt, .. } => (retries, open) = (retries + 1, attempt),
                    Next::Refuse(refusal) => {
                        shedding += u32::from(refusal.no_retry == Some(Reason::RetryShedding));
                        declined = false;
                    }
                    Next::Deliver => declined = false,
                }
            }
            d.settle(open.id, answered(200), now);
        }
        expect_that!(shedding > 900, eq(shed), "{shedding} of 1000");
        expect_that!(retries, le(RetryBudget::bound(2000)));
        expect_that!(retries >= 190, not(eq(shed)), "{retries} retries");
        // Callers on this daemon may have as many requests in flight as before.
        let open =
            (0..200).filter(|_| matches!(d.begin(get("/credit"), now), Decision::Forward(_)));
        expect_that!(open.count() == 200, not(eq(shed)));
    }
}

/// Guards against attempts for a caller that no longer waits.
#[gtest]
fn deadlines_shrink_and_end() {
    let start = Instant::now();
    let mut d = eight_targets(start);
    let done = RequestInfo { timeout: Some(ms(0)), ..get("/lookup") };
    let refusal = refused(d.begin(done, start));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::DeadlinePassed, Outcome::NotRun)));
    let long = RequestInfo { timeout: Some(ms(60_000)), ..get("/lookup") };
    let attempt = forwarded(d.begin(long, start));
    expect_that!(attempt.deadline, eq(start + ms(2000)));
    let (_, attempt) = retried(d.settle(attempt.id, unknown(Reason::TimedOut), start + ms(1500)));
    expect_that!(attempt.deadline, eq(start + ms(2000)));
    let late = given_up(d.settle(attempt.id, unknown(Reason::TimedOut), start + ms(2000)));
    expect_that!(late.no_retry, some(eq(Reason::RetryDeadline)));
    expect_that!(late.status, eq(504));
}

/// Guards against a retry that reaches the only target before the time that it asked for.
#[gtest]
fn the_only_target_is_not_tried_again_too_early() {
    let now = Instant::now();
    let only = vec![endpoint("only", "portland", "new-england", now)];
    for (hint, wanted) in [(ms(700), true), (ms(5000), false)] {
        let mut d = dispatcher(1, two_routes(), only.clone());
        let attempt = forwarded(d.begin(get("/lookup"), now));
        let refusal = AttemptOutcome::NotRun {
            reason: Reason::QueueFull,
            retry_after: Some(hint),
            load: None,
        };
        match d.settle(attempt.id, refusal, now) {
            Next::Retry { after, .. } => expect_that!((wanted, after), eq((true, hint))),
            next => {
                expect_that!(wanted, eq(false));
                expect_that!(given_up(next).retry_after, ge(hint));
                expect_that!(d.in_flight(), eq(0));
            }
        }
    }
}

/// Guards against a retry that waits as long as another target asked for.
#[gtest]
fn a_retry_waits_for_the_target_that_it_goes_to() {
    let now = Instant::now();
    // Two retries, of which the second goes to a target that was tried before.
    for seed in 0..20 {
        let mut d = dispatcher(seed, two_routes(), targets(2, "portland", "new-england", now));
        let refused_for = |hint| AttemptOutcome::NotRun {
            reason: Reason::QueueFull,
            retry_after: Some(hint),
            load: None,
        };
        let first = forwarded(d.begin(get("/lookup"), now));
        let (_, second) = retried(d.settle(first.id, refused_for(ms(400)), now));
        expect_that!(second.endpoint.host, not(eq(&first.endpoint.host)));
        let (after, third) = retried(d.settle(second.id, refused_for(ms(900)), now));
        let hint = if third.endpoint.host == first.endpoint.host { ms(400) } else { ms(900) };
        expect_that!(after, eq(hint), "seed {seed}");
    }
}

/// Guards against accepting new requests in a daemon that is stopping, and against attempts that are
/// counted forever or settled twice.
#[gtest]
fn drain_and_double_settle() {
    let now = Instant::now();
    let mut d = eight_targets(now);
    let attempt = forwarded(d.begin(get("/lookup"), now));
    d.drain();
    let refusal = refused(d.begin(get("/lookup"), now));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::Draining, Outcome::NotRun)));
    let (_, retry) = retried(d.settle(attempt.id, not_run(Reason::Draining), now));
    expect_that!(matches!(d.settle(attempt.id, answered(200), now), Next::Deliver), eq(true));
    d.settle(retry.id, answered(200), now);
    expect_that!(d.in_flight(), eq(0));
}

/// Guards against forwarding requests before the first configuration version, and requests that no route
/// matches.
#[gtest]
fn without_configuration_nothing_is_forwarded() {
    let now = Instant::now();
    let mut d = dispatcher(1, version(0, "", ""), targets(1, "portland", "new-england", now));
    expect_that!(refused(d.begin(get("/lookup"), now)).reason, eq(Reason::NotReady));
    d.set_version(two_routes());
    let refusal = refused(d.begin(get("/other"), now));
    expect_that!((refusal.reason, refusal.status), eq((Reason::NoRoute, 404)));
}
