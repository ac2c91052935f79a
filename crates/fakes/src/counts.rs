use serde::Serialize;

/// Call counts of the platform's stand-in since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformCounts {
    /// Range calls.
    pub ranges: u64,
    /// Transactions that succeeded.
    pub txns: u64,
    /// Transactions whose comparisons failed.
    pub conflicts: u64,
    /// Lease grants.
    pub grants: u64,
    /// Lease renewals.
    pub keepalives: u64,
    /// Lease revocations.
    pub revokes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that are currently open.
    pub waiting: u64,
    /// Leases that expired.
    pub expired: u64,
    /// Calls refused by the rate limit.
    pub overloaded: u64,
    /// Calls refused for another reason.
    pub refused: u64,
    /// Answers dropped deliberately after the call took effect.
    pub lost: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies, including watches.
    pub bytes_out: u64,
}

impl PlatformCounts {
    /// All calls, whether admitted or refused.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.reads() + self.writes() + self.overloaded + self.refused
    }

    /// Admitted reads: ranges and watches.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.ranges + self.watches
    }

    /// Admitted writes: transactions and lease calls.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.txns + self.conflicts + self.grants + self.keepalives + self.revokes
    }
}
