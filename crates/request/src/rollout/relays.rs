use std::collections::BTreeSet;

use dw_tables::Name;

/// How long a list of relays counts, in ms. A relay that dies holds its slot for some seconds.
const MAX_AGE: u64 = 1000;

/// Whether the leader of a rollout reaches the whole fleet, by the relays of all failure domains in the store.
///
/// It addresses a leader whose own view of the members is incomplete, as after a start without the store or while
/// it is cut off: every domain that reaches the store has a relay there, whether the leader knows it or not.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayCheck {
    hosts: BTreeSet<Name>,
    read_at: Option<u64>,
    asked_at: Option<u64>,
}

impl RelayCheck {
    /// Takes in the hosts that hold a relay slot.
    pub(crate) fn set_hosts(&mut self, hosts: BTreeSet<Name>, now: u64) {
        (self.hosts, self.read_at) = (hosts, Some(now));
    }

    /// Whether a recent list is known and `reached` holds for each relay. An empty list proves nothing: no slot has
    /// a holder after the store was away for longer than the leases.
    pub(crate) fn is_covered(&self, now: u64, reached: impl Fn(&Name) -> bool) -> bool {
        let recent = self.read_at.is_some_and(|at| now < at + MAX_AGE);
        recent && !self.hosts.is_empty() && self.hosts.iter().all(reached)
    }

    /// Whether to read the list now; at most once per `retry` ms.
    pub(crate) fn is_due(&mut self, now: u64, retry: u64) -> bool {
        let due = self.asked_at.is_none_or(|at| now >= at + retry);
        if due {
            self.asked_at = Some(now);
        }
        due
    }
}
