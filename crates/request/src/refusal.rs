use std::time::Duration;

use crate::{Outcome, Reason};

/// Time after which to retry where no better estimate is at hand.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The final response to a request that the system gives up on.
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
    /// Why the system did not retry by itself, for the metrics.
    pub no_retry: Option<Reason>,
}

impl Refusal {
    /// A refusal with the status and outcome that the reason implies.
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

    /// The same refusal with another time after which to retry.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// The same refusal for a request of which an earlier attempt may have run.
    #[must_use]
    pub const fn with_unknown_outcome(mut self) -> Self {
        if matches!(self.outcome, Outcome::NotRun) {
            self.outcome = Outcome::Unknown;
            self.status = 502;
        }
        self
    }
}
