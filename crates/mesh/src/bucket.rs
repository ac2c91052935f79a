use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Upper bound of the backoff between two attempts.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Base of the exponential backoff, before jitter.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// A token bucket that is refilled at a constant rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    burst: f64,
    rate: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that is refilled with `rate` tokens per second.
    pub(crate) const fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { tokens: burst, burst, rate, refilled: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// Returns the time until a token is available.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.saturating_duration_since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled = now;
        if self.tokens < 1.0 {
            // Rounding may leave a wait shorter than a clock step, with which the node would wake up at once.
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.rate);
            return Err(wait.max(Duration::from_millis(1)));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// Exponential backoff with full jitter after the given number of failures: uniformly distributed between
/// zero and a bound that doubles with each failure, up to `BACKOFF_CAP`.
pub(crate) fn backoff(rng: &mut impl Rng, failures: u32) -> Duration {
    let bound = BACKOFF_BASE.saturating_mul(1 << failures.min(10)).min(BACKOFF_CAP);
    bound.mul_f64(rng.random::<f64>())
}
