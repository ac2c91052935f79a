use std::{collections::BTreeMap, sync::Arc};

use dw_tables::Name;

use crate::Member;

/// The members of one failure domain, keyed by host.
pub type DomainMembers = BTreeMap<Name, Arc<Member>>;

/// An immutable snapshot of all members, keyed by failure domain and host.
///
/// Successive snapshots share the domains that did not change, so a change to a member copies only the
/// pointers of its own domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberTable {
    /// The members of each failure domain.
    pub domains: BTreeMap<Name, Arc<DomainMembers>>,
}

impl MemberTable {
    /// All members, including dead ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.domains.values().flat_map(|hosts| hosts.values())
    }

    /// The member on the given host of the given domain.
    #[must_use]
    pub fn get(&self, domain: &str, host: &str) -> Option<&Arc<Member>> {
        self.domains.get(domain)?.get(host)
    }

    /// The number of members, including dead ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.domains.values().map(|hosts| hosts.len()).sum()
    }

    /// Whether the table has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
