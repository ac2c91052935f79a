use std::time::Duration;

use crate::{Outcome, Reason};

/// Retry delay of a refusal if there is no better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The final response to a request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Why the request is refused, for the header `damaskwick-reason`.
    pub reason: Reason,
    /// Whether the request was run, for the header `damaskwick-outcome`.
    pub outcome: Outcome,
    /// When the caller may try again, for the header `retry-after`.
    pub retry_after: Duration,
    /// Why the request was not retried, for the metrics.
    pub no_retry: Option<Reason>,
}

impl Refusal {
    /// Creates a refusal with the status and outcome that the reason implies.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Self {
            status: reason.status(),
            reason,
            outcome: reason.outcome(),
            retry_after: DEFAULT_RETRY_AFTER,
            no_retry: None,
        }
    }

    /// Replaces the time after which the caller may try again.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// Marks the outcome as unknown if an earlier attempt of the request may have run.
    #[must_use]
    pub const fn with_unknown_outcome(mut self) -> Self {
        if matches!(self.outcome, Outcome::NotRun) {
            self.outcome = Outcome::Unknown;
            self.status = 502;
        }
        self
    }
}
