//! What a daemon that is stopping still accepts.

use std::time::Duration;

use dw_request::StopLimit;
use googletest::prelude::*;
use tokio::time::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that are refused, or cut short, by a daemon that is not stopping.
#[gtest]
fn without_a_stop_nothing_is_limited() {
    let now = Instant::now();
    let limit = StopLimit::default();
    expect_that!(limit.admits(Duration::from_secs(3600), now), eq(true));
    expect_that!(limit.outlasts(now + ms(30_000)), eq(true));
    expect_that!(limit.limit(now + ms(30_000)), eq(now + ms(30_000)));
}

/// Guards against requests that are passed on and outlive the process, and against refusals of requests that end in
/// time.
#[gtest]
fn requests_are_accepted_while_their_objective_fits_into_the_grace() {
    let now = Instant::now();
    let limit = StopLimit::new(now + ms(5000));
    for (objective, age, wanted) in [
        (400, 0, true),
        (400, 4600, true),
        (400, 4601, false),
        (5000, 0, true),
        (5000, 1, false),
        (1, 5000, false),
        (0, 6000, false),
    ] {
        let admitted = limit.admits(ms(objective), now + ms(age));
        expect_that!(admitted, eq(wanted), "{objective} ms after {age} ms");
    }
    expect_that!(limit.outlasts(now + ms(5000)), eq(true));
    expect_that!(limit.outlasts(now + ms(5001)), eq(false));
    expect_that!(limit.limit(now + ms(1200)), eq(now + ms(1200)));
    expect_that!(limit.limit(now + ms(8000)), eq(now + ms(5000)));
}
