//! The delays between attempts.

use std::time::Duration;

use dw_platform::Backoff;
use googletest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

/// Guards against delays without jitter, which make a fleet retry in lockstep, and against
/// delays above the cap.
#[gtest]
fn delays_are_spread_below_a_growing_ceiling() {
    let mut random = StdRng::seed_from_u64(1);
    let cap = Duration::from_secs(5);
    let mut backoff = Backoff::new(Duration::from_millis(100), cap);
    let mut sum = Duration::ZERO;
    for attempt in 0..1_000_u32 {
        let ceiling = (Duration::from_millis(100) * 2_u32.pow(attempt.min(10))).min(cap);
        assert_that!(backoff.ceiling(), eq(ceiling));
        let delay = backoff.delay(&mut random);
        assert_that!(delay, le(ceiling));
        sum += delay;
    }
    // The mean of a uniform delay is half the ceiling; with 1,000 draws the mean has a standard
    // deviation of about 46 ms.
    let mean = sum / 1_000;
    assert_that!(mean, gt(Duration::from_millis(2_200)));
    assert_that!(mean, lt(Duration::from_millis(2_800)));
    backoff.reset();
    assert_that!(backoff.ceiling(), eq(Duration::from_millis(100)));
}
