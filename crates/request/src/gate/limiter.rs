use std::time::Duration;

use tokio::time::Instant;

/// Factor by which the limit is multiplied when a request is shed.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases, so that a burst of shed requests lowers the limit only once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Adaptive concurrency limit: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    min: u32,
    max: u32,
    limit: f64,
    last_decrease: Option<Instant>,
}

impl ConcurrencyLimiter {
    /// A limiter that starts at `max` and never goes below `min`.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        let min = min.min(max);
        Self { min, max, limit: f64::from(max), last_decrease: None }
    }

    /// Sets a new maximum. A limit that was at the old maximum follows it.
    pub fn set_max(&mut self, max: u32) {
        let full = self.limit >= f64::from(self.max);
        self.max = max;
        self.min = self.min.min(max);
        self.limit = if full { f64::from(max) } else { self.limit.min(f64::from(max)) };
    }

    /// Requests that may be in flight.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "0 to max")]
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit is below its maximum.
    #[must_use]
    pub fn is_lowered(&self) -> bool {
        self.limit() < self.max
    }

    /// Records a success while `in_flight` requests were in flight, including this one. The limit
    /// grows by about one per `limit` successes, and only while it is fully used.
    pub fn succeeded(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.max));
        }
    }

    /// Records that a request was shed while `in_flight` were in flight, including this one.
    pub fn shed(&mut self, in_flight: u32, now: Instant) {
        if self
            .last_decrease
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease = Some(now);
        // One more than in use; otherwise each decrease would also drop the fraction of the limit.
        let used = self.limit.min(f64::from(in_flight) + 1.0);
        self.limit = (used * DECREASE_FACTOR).max(f64::from(self.min));
    }
}
