use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::{DEFAULT_RETRY_AFTER, Goal, Reason, retry::verdict::is_overload};

/// Retry delay, as a share of the time that the caller has left, if the objective is missed in any case
/// or the cause of the refusal will not pass within the objective. Callers honor `retry-after` only up to
/// a third of their time.
const TIME_LEFT_SHARE: std::ops::Range<f64> = 0.2..0.33;

/// Retry delay, as a share of the objective, while the caller can still be served within it: long
/// enough for the queue that refused the request to empty.
const OBJECTIVE_SHARE: std::ops::Range<f64> = 0.05..0.15;

/// How the `retry-after` time of a refusal is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfterPolicy {
    /// A few seconds, for callers whose remaining time is unknown.
    #[default]
    Spread,
    /// A share of the time that the caller has left.
    Deadline,
}

/// Chooses a random `retry-after` time from the time that the caller has left.
pub(crate) fn within_time_left(
    reason: Reason,
    left: Option<Duration>,
    goal: Option<Goal>,
    now: Instant,
    rng: &mut impl Rng,
) -> Duration {
    let Some(left) = left else { return DEFAULT_RETRY_AFTER };
    let reachable_goal = goal.filter(|goal| is_overload(reason) && goal.late_at > now);
    match reachable_goal {
        Some(goal) => goal.objective.mul_f64(rng.random_range(OBJECTIVE_SHARE)).min(left / 3),
        None => left.mul_f64(rng.random_range(TIME_LEFT_SHARE)),
    }
}
