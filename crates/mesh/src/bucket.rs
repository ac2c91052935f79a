use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// The longest wait between two attempts.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// The wait after the first failure, before jitter.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// A token bucket that fills at a constant rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    burst: f64,
    rate: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that gains `rate` tokens per second.
    pub(crate) const fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { tokens: burst, burst, rate, filled: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is there.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.saturating_duration_since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = now;
        if self.tokens < 1.0 {
            // Rounding may leave less than a clock step, which would wake the node at once.
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.rate);
            return Err(wait.max(Duration::from_millis(1)));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// Full-jitter backoff after the given number of failures: uniform between zero and a bound that
/// doubles up to `BACKOFF_CAP`.
pub(crate) fn backoff(rng: &mut impl Rng, failures: u32) -> Duration {
    let bound = BACKOFF_BASE.saturating_mul(1 << failures.min(10)).min(BACKOFF_CAP);
    bound.mul_f64(rng.random::<f64>())
}
