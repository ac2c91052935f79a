use dw_tables::{RequestRate, Workspace};
use serde::{Deserialize, Serialize};

/// The quota of a workspace over all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Requests per second; 0 means no limit.
    pub rate: RequestRate,
    /// Requests that may be run at once after a pause; 0 means one.
    pub burst: u32,
}

impl Allotment {
    /// The quota of a row of the table of workspaces.
    #[must_use]
    pub const fn new(row: &Workspace) -> Self {
        Self { rate: row.rate, burst: row.burst }
    }

    /// Whether the workspace has a limit.
    #[must_use]
    pub const fn is_limited(self) -> bool {
        !self.rate.is_unlimited()
    }

    /// The rate in requests per second.
    pub(super) fn per_second(self) -> f64 {
        self.rate.per_second()
    }

    /// The burst in requests, at least one.
    pub(super) fn size(self) -> f64 {
        f64::from(self.burst.max(1))
    }
}
