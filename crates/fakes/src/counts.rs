use serde::Serialize;

/// What a stand-in of the platform has been asked since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformCounts {
    /// Range calls.
    pub ranges: u64,
    /// Transactions that succeeded.
    pub txns: u64,
    /// Transactions whose compares did not hold.
    pub conflicts: u64,
    /// Lease grants.
    pub grants: u64,
    /// Lease renewals.
    pub keepalives: u64,
    /// Lease revocations.
    pub revokes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub waiting: u64,
    /// Leases that expired.
    pub expired: u64,
    /// Calls refused because of the rate.
    pub overloaded: u64,
    /// Calls refused for another reason.
    pub refused: u64,
    /// Answers lost on purpose after the call took effect.
    pub lost: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies, watches included.
    pub bytes_out: u64,
}

impl PlatformCounts {
    /// Calls of every kind, admitted or not.
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
