use std::time::Duration;

use tokio::time::Instant;

/// How much later the objective of a request is assumed to end for each step of its route's priority,
/// when requests of several routes wait for one target.
const PRIORITY_STEP: Duration = Duration::from_millis(100);

/// Latency goal of a request: by when its response should arrive, and its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Latency objective of the route.
    pub objective: Duration,
    /// When the response begins to count as late. Earlier than the arrival plus the objective if the
    /// caller was refused before and has already waited.
    pub late_at: Instant,
    /// Priority of the request's workspace or else of its route; 0 is served first.
    pub priority: u32,
}

impl Goal {
    /// Sort key of waiting requests; the smallest is served first.
    pub(crate) fn urgency(&self) -> Instant {
        self.late_at + PRIORITY_STEP * self.priority
    }
}
