use std::time::Duration;

use rand::Rng;

/// Upper bound of the delay before the first retry. It can be short because the retry usually goes
/// to another target.
const BASE_DELAY: Duration = Duration::from_millis(5);

/// Upper bound of the delay before any retry.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Range in seconds from which the `retry-after` time is drawn at random, so that callers refused at
/// the same time do not all retry at the same time.
const RETRY_AFTER_SECS: std::ops::RangeInclusive<u64> = 1..=3;

/// Exponential backoff with full jitter: a random delay between zero and an upper bound that doubles
/// with each retry.
pub(crate) fn delay(retry: u32, rng: &mut impl Rng) -> Duration {
    let upper = BASE_DELAY.saturating_mul(1 << retry.saturating_sub(1).min(16)).min(MAX_DELAY);
    upper.mul_f64(rng.random())
}

/// The time after which a refused caller may retry.
pub(crate) fn retry_after(rng: &mut impl Rng) -> Duration {
    Duration::from_secs(rng.random_range(RETRY_AFTER_SECS))
}
