use std::time::Duration;

use tokio::time::Instant;

/// Time constant after which an outcome has lost most of its weight.
const MEMORY: Duration = Duration::from_secs(1);

/// Share of recent outcomes that must be load shedding.
const SHARE: f64 = 0.1;

/// Recent occurrences below which nothing is concluded, so that one busy target among many does
/// not count as shedding by the pool.
const MINIMUM: f64 = 3.0;

/// Recognizes that a pool sheds load, from exponentially decaying counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShedDetector {
    total: f64,
    shed: f64,
    last: Option<Instant>,
}

impl ShedDetector {
    /// Counts an outcome.
    pub(crate) fn record(&mut self, shed: bool, now: Instant) {
        self.fade(now);
        self.total += 1.0;
        if shed {
            self.shed += 1.0;
        }
    }

    /// Whether load is being shed.
    pub(crate) fn is_shedding(&mut self, now: Instant) -> bool {
        self.fade(now);
        self.shed >= MINIMUM && self.shed > SHARE * self.total
    }

    fn fade(&mut self, now: Instant) {
        let age = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let keep = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.total *= keep;
        self.shed *= keep;
        self.last = Some(now);
    }
}
