use std::time::Duration;

use rand::Rng;

/// Exponential backoff with full jitter: each delay is drawn uniformly between zero and a ceiling
/// that doubles with each attempt up to the cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    attempt: u32,
}

impl Backoff {
    /// `base` is the ceiling of the first delay, `cap` the upper bound of all ceilings.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, attempt: 0 }
    }

    /// The ceiling of the next delay.
    #[must_use]
    pub fn ceiling(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.attempt);
        self.base.saturating_mul(factor).min(self.cap)
    }

    /// Draws the next delay and raises the ceiling.
    pub fn delay(&mut self, random: &mut impl Rng) -> Duration {
        let delay = self.ceiling().mul_f64(random.random::<f64>());
        self.attempt = self.attempt.saturating_add(1);
        delay
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

impl Default for Backoff {
    /// A ceiling of 100 ms that doubles up to 5 s.
    fn default() -> Self {
        Self::new(Duration::from_millis(100), Duration::from_secs(5))
    }
}
