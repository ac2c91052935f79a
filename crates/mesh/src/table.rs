use std::{collections::BTreeMap, sync::Arc};

use dw_tables::Name;

use crate::Member;

/// The members of one failure domain by host.
pub type DomainMembers = BTreeMap<Name, Arc<Member>>;

/// An immutable view of all members, by failure domain and host.
///
/// Domains are shared between successive views, so that a change copies the pointers of one domain
/// only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberTable {
    /// The members of each domain.
    pub domains: BTreeMap<Name, Arc<DomainMembers>>,
}

impl MemberTable {
    /// All members, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.domains.values().flat_map(|hosts| hosts.values())
    }

    /// The member on the given host of the given domain.
    #[must_use]
    pub fn get(&self, domain: &str, host: &str) -> Option<&Arc<Member>> {
        self.domains.get(domain)?.get(host)
    }

    /// Number of members, dead ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.domains.values().map(|hosts| hosts.len()).sum()
    }

    /// Whether there is no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
