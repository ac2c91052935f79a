use std::time::Duration;

use tokio::time::Instant;

use crate::gate::Kind;

/// Weight of a new report in the estimate of its target. The gate has already averaged over many
/// requests, and a daemon gets a report of a given target only every few seconds.
const TARGET_WEIGHT: f64 = 0.5;

/// Weight of a new report in the typical time of its kind in the whole pool.
const KIND_WEIGHT: f64 = 0.05;

/// Age at which the deviation of a target from the others has lost half its weight. A target that was
/// slow gets hardly any requests, so its estimate must decay or no response would ever correct it.
const HALF_WEIGHT_AGE: Duration = Duration::from_secs(10);

/// Maximum number of kinds of requests that are distinguished in one pool.
const MAX_KINDS: usize = 64;

/// Largest deviation of a target, as a factor. Speeds differ by a factor of 3, and a target that slowed
/// to a fifth must still get the occasional request that shows its recovery.
const MAX_FACTOR: f64 = 10.0;

/// Typical service times in a pool by kind of request, as a caller's daemon knows them from the reports
/// of the targets. They make the reports on different kinds comparable: the logarithm of a reported time
/// is modelled as the sum of one term for the kind and one for the target.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSpeeds {
    /// Logarithm of the seconds that each kind takes, and when it was last reported.
    kinds: Vec<(Kind, f64, Instant)>,
}

/// How much longer requests take at one target than at the others of its pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelativeSpeed {
    /// Logarithm of the factor by which its service times are longer, and when it was last reported.
    excess: Option<(f64, Instant)>,
}

impl PoolSpeeds {
    /// Whether no target has reported a service time.
    pub(crate) const fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Applies the typical service time of a kind that a target reported.
    pub(crate) fn record(
        &mut self,
        target: &mut RelativeSpeed,
        kind: Kind,
        typical: Duration,
        now: Instant,
    ) {
        let seconds = typical.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let reported = seconds.ln();
        let usual = match self.kinds.iter_mut().find(|(known, ..)| *known == kind) {
            Some((_, usual, at)) => {
                let error = reported - *usual - target.log_factor(now);
                *usual += KIND_WEIGHT * error;
                *at = now;
                *usual
            }
            None => {
                if self.kinds.len() >= MAX_KINDS {
                    let oldest = (0..self.kinds.len()).min_by_key(|idx| self.kinds[*idx].2);
                    self.kinds.swap_remove(oldest.unwrap_or_default());
                }
                let usual = reported - target.log_factor(now);
                self.kinds.push((kind, usual, now));
                usual
            }
        };
        let (new, bound) = (reported - usual, MAX_FACTOR.ln());
        let excess = target.excess.map_or(new, |(old, _)| old + TARGET_WEIGHT * (new - old));
        target.excess = Some((excess.clamp(-bound, bound), now));
    }
}

impl RelativeSpeed {
    /// The speed of a target without reports.
    pub(crate) const NEUTRAL: Self = Self { excess: None };

    /// Factor by which requests take longer than at a typical target of the pool.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        self.log_factor(now).exp()
    }

    fn log_factor(&self, now: Instant) -> f64 {
        let Some((excess, at)) = self.excess else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        excess / (1.0 + age / HALF_WEIGHT_AGE.as_secs_f64())
    }
}
