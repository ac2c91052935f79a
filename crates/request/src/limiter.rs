use std::time::Duration;

use tokio::time::Instant;

/// Factor by which load shedding lowers the limit.
const DECREASE: f64 = 0.8;

/// Shortest time between two decreases, so that one burst of sheds counts once.
const PAUSE: Duration = Duration::from_millis(100);

/// Adaptive concurrency limit: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    min: u32,
    max: u32,
    limit: f64,
    cut: Option<Instant>,
}

impl ConcurrencyLimiter {
    /// A limiter that starts at `max` and never goes below `min`.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        let min = min.min(max);
        Self { min, max, limit: f64::from(max), cut: None }
    }

    /// Takes over another upper end.
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

    /// Whether the limit is lower than its upper end.
    #[must_use]
    pub fn is_lowered(&self) -> bool {
        self.limit() < self.max
    }

    /// A request succeeded while `in_flight` were in flight, itself included. The limit grows by
    /// one for each round of requests, and only while it is in use.
    pub fn succeeded(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.max));
        }
    }

    /// A request was shed while `in_flight` were in flight, itself included.
    pub fn shed(&mut self, in_flight: u32, now: Instant) {
        if self.cut.is_some_and(|cut| now.saturating_duration_since(cut) < PAUSE) {
            return;
        }
        self.cut = Some(now);
        // One more than in use, so that the fraction of the limit is not lost each time.
        let used = self.limit.min(f64::from(in_flight) + 1.0);
        self.limit = (used * DECREASE).max(f64::from(self.min));
    }
}
