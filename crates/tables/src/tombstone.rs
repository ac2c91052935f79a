use serde::{Deserialize, Serialize};

use crate::Name;

/// Records that a target takes no more requests. It outlives the process that was told, so that the next one ignores
/// reports which the target sent before and which arrive late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tombstone {
    /// Name of the incarnation of the target.
    pub name: Name,
    /// When the incarnation started, in ms since the Unix epoch.
    pub started: u64,
    /// Sequence number of the last report that is void; [`u64::MAX`] if the incarnation has left.
    pub sequence: u64,
}

impl Tombstone {
    /// A tombstone of an incarnation that has left.
    #[must_use]
    pub const fn of_departed(name: Name, started: u64) -> Self {
        Self { name, started, sequence: u64::MAX }
    }

    /// Whether this report of a target is void, because it comes from an earlier incarnation of the same name or
    /// was sent before.
    #[must_use]
    pub fn covers(&self, name: &Name, started: u64, sequence: u64) -> bool {
        self.name == *name && (started, sequence) <= (self.started, self.sequence)
    }
}
