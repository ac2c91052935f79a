use std::time::Duration;

use rand::Rng;

/// Upper end of the delay before the first retry. Another target is tried, so a short delay does.
const BASE_DELAY: Duration = Duration::from_millis(5);

/// Upper end of the delay before any retry.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Seconds from which the time after which a caller may retry is drawn, so that callers refused
/// together do not come back together.
const RETRY_AFTER_SECS: std::ops::RangeInclusive<u64> = 1..=3;

/// Full jitter: a delay from zero to an upper end that doubles with each retry.
pub(crate) fn delay(retry: u32, rng: &mut impl Rng) -> Duration {
    let upper = BASE_DELAY.saturating_mul(1 << retry.saturating_sub(1).min(16)).min(MAX_DELAY);
    upper.mul_f64(rng.random())
}

/// The time after which a refused caller may retry.
pub(crate) fn retry_after(rng: &mut impl Rng) -> Duration {
    Duration::from_secs(rng.random_range(RETRY_AFTER_SECS))
}
