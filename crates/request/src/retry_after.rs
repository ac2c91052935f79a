use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::{DEFAULT_RETRY_AFTER, Goal, Reason, verdict::is_overload};

/// Shares of the time left after which a caller is asked to return if its objective is missed in
/// any case, or if what refused it does not pass within the objective. Callers heed a request to
/// wait for up to a third of their time.
const LATER: std::ops::Range<f64> = 0.2..0.33;

/// Shares of the objective after which a caller is asked to return while it can still be served
/// within it: long enough for the queue that refused it to empty.
const SOON: std::ops::Range<f64> = 0.05..0.15;

/// How the time is chosen after which a refused caller is asked to return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfterPolicy {
    /// Some seconds, for callers whose patience is not known.
    #[default]
    Spread,
    /// A part of the time that the caller has left.
    Deadline,
}

/// The time after which a refused caller returns, of the time that it has left.
pub(crate) fn within_time_left(
    reason: Reason,
    left: Option<Duration>,
    goal: Option<Goal>,
    now: Instant,
    rng: &mut impl Rng,
) -> Duration {
    let Some(left) = left else { return DEFAULT_RETRY_AFTER };
    let timely = goal.filter(|goal| is_overload(reason) && goal.late_at > now);
    match timely {
        Some(goal) => goal.objective.mul_f64(rng.random_range(SOON)).min(left / 3),
        None => left.mul_f64(rng.random_range(LATER)),
    }
}
