use std::time::Duration;

use tokio::time::Instant;

/// How much later the objective of a request counts for each step of its route's priority, when
/// requests of several routes wait for one target.
const PRIORITY_STEP: Duration = Duration::from_millis(100);

/// What a request is worth at which time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Time within which its route's answers are worth most.
    pub objective: Duration,
    /// When this request's answer begins to be worth less; earlier than its arrival plus the
    /// objective if its caller has been refused before.
    pub late_at: Instant,
    /// Rank of its route; 0 is served first.
    pub priority: u32,
}

impl Goal {
    /// Orders requests that wait; the smallest is served first.
    pub(crate) fn urgency(&self) -> Instant {
        self.late_at + PRIORITY_STEP * self.priority
    }
}
