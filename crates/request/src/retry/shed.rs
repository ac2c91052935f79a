use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Minimum share of shed requests among recent outcomes.
const MIN_SHED_SHARE: f64 = 0.1;

/// Minimum number of recent shed requests, so that one busy target among many does not count as
/// shedding by the pool.
const MIN_SHED_COUNT: f64 = 3.0;

/// Detects that a pool is shedding load, from exponentially decaying counts of outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShedDetector {
    total: f64,
    shed: f64,
    last: Option<Instant>,
}

impl ShedDetector {
    /// Counts the outcome of a request.
    pub(crate) fn record(&mut self, shed: bool, now: Instant) {
        self.decay(now);
        self.total += 1.0;
        if shed {
            self.shed += 1.0;
        }
    }

    /// Whether the pool is shedding load.
    pub(crate) fn is_shedding(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.shed >= MIN_SHED_COUNT && self.shed > MIN_SHED_SHARE * self.total
    }

    fn decay(&mut self, now: Instant) {
        let age = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.total *= factor;
        self.shed *= factor;
        self.last = Some(now);
    }
}
