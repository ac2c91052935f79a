use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{Member, MemberState, MemberTable, RELAY_CANDIDATES, convert::member_to_wire, hash};

/// Number of buckets over which the hosts of a domain are spread for its digests. A sync transfers
/// only the buckets that differ.
pub(crate) const BUCKETS: usize = 16;

/// Digests and indices of a domain, updated with each change of a member record.
#[derive(Debug, Default)]
struct DomainInfo {
    buckets: [u64; BUCKETS],
    digest: u64,
    processes: u64,
    live: usize,
    relays: BTreeSet<Name>,
    ranked: Vec<Name>,
}

/// The member table with its indices and incremental digests.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    table: MemberTable,
    domain_infos: BTreeMap<Name, DomainInfo>,
    host_domains: BTreeMap<Name, Name>,
    addr_hosts: BTreeMap<SocketAddr, Name>,
    digest: u64,
    /// The dead and left members, each with the time since which it is gone.
    pub(crate) gone: BTreeMap<Name, Instant>,
}

impl Roster {
    /// Returns the table for publication.
    pub(crate) const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the member on a host.
    pub(crate) fn get(&self, host: &str) -> Option<&Arc<Member>> {
        self.table.domains.get(self.host_domains.get(host)?)?.get(host)
    }

    /// Returns the live member that listens at an address.
    pub(crate) fn by_addr(&self, addr: SocketAddr) -> Option<&Arc<Member>> {
        self.get(self.addr_hosts.get(&addr)?)
    }

    /// Returns the digest of all live members.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of the live members of a domain.
    pub(crate) fn domain_digest(&self, domain: &str) -> u64 {
        self.domain_infos.get(domain).map_or(0, |info| info.digest)
    }

    /// Returns the digest of the processes of all live members of a domain.
    pub(crate) fn processes(&self, domain: &str) -> u64 {
        self.domain_infos.get(domain).map_or(0, |info| info.processes)
    }

    /// Encodes a member for the wire, including how long ago it died or left.
    pub(crate) fn record(&self, member: &Member, now: Instant) -> dw_wire::Member {
        let gone = self.gone.get(&member.host).map(|at| now.saturating_duration_since(*at));
        let gone_ms = gone.map_or(0, |gone| u64::try_from(gone.as_millis()).unwrap_or(u64::MAX));
        dw_wire::Member { gone_ms, ..member_to_wire(member) }
    }

    /// Appends records until the next one exceeds the remaining `room` in bytes.
    pub(crate) fn collect<'a>(
        &self,
        out: &mut Vec<dw_wire::Member>,
        room: &mut usize,
        members: impl Iterator<Item = &'a Arc<Member>>,
        now: Instant,
    ) {
        for member in members {
            let wire = self.record(member, now);
            let size = wire.size();
            if size > *room {
                return;
            }
            *room -= size;
            out.push(wire);
        }
    }

    /// Returns the bucket digests of a domain.
    pub(crate) fn buckets(&self, domain: &str) -> [u64; BUCKETS] {
        self.domain_infos.get(domain).map_or([0; BUCKETS], |info| info.buckets)
    }

    /// Returns the number of live members of a domain.
    pub(crate) fn live_count(&self, domain: &str) -> usize {
        self.domain_infos.get(domain).map_or(0, |info| info.live)
    }

    /// Returns the domains, ordered by name.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &Name> {
        self.table.domains.keys()
    }

    /// Returns all members of a domain, including dead and left ones.
    pub(crate) fn members(&self, domain: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.table.domains.get(domain).into_iter().flat_map(|hosts| hosts.values())
    }

    /// Returns the live members of a domain.
    pub(crate) fn live(&self, domain: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.members(domain).filter(|member| member.state.is_live())
    }

    /// Returns the hosts of a domain's relays.
    pub(crate) fn relays(&self, domain: &str) -> impl Iterator<Item = &Name> {
        self.domain_infos.get(domain).into_iter().flat_map(|info| info.relays.iter())
    }

    /// Returns the relay candidates of a domain: the alive members with the fastest links, ordered
    /// by rendezvous hash within a link class. Cached until the domain changes. See [`relay_rank`].
    pub(crate) fn candidates(&mut self, domain: &Name) -> &[Name] {
        let Some(info) = self.domain_infos.get_mut(domain) else { return &[] };
        if info.ranked.is_empty()
            && let Some(hosts) = self.table.domains.get(domain)
        {
            let mut ranked: Vec<_> = hosts
                .values()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| (relay_rank(member), &member.host))
                .collect();
            ranked.sort_unstable();
            info.ranked =
                ranked.into_iter().take(RELAY_CANDIDATES).map(|(_, host)| host.clone()).collect();
        }
        &info.ranked
    }

    /// Stores a record, replacing the earlier one of the host.
    pub(crate) fn put(&mut self, member: Member, now: Instant) {
        let host = member.host.clone();
        if let Some(old) = self.get(&host).cloned() {
            self.index(&old, false);
            if old.domain != member.domain {
                self.remove_member(&old);
            }
        }
        if member.state.is_live() {
            self.gone.remove(&host);
        } else {
            self.gone.entry(host.clone()).or_insert(now);
        }
        self.host_domains.insert(host.clone(), member.domain.clone());
        let member = Arc::new(member);
        self.index(&member, true);
        let members = self.table.domains.entry(member.domain.clone()).or_default();
        Arc::make_mut(members).insert(host, member);
    }

    /// Removes the record of a host.
    pub(crate) fn forget(&mut self, host: &str) {
        self.gone.remove(host);
        let Some(old) = self.get(host).cloned() else { return };
        self.index(&old, false);
        self.remove_member(&old);
        self.host_domains.remove(host);
    }

    fn remove_member(&mut self, old: &Member) {
        if let Some(members) = self.table.domains.get_mut(&old.domain) {
            Arc::make_mut(members).remove(&old.host);
            if members.is_empty() {
                self.table.domains.remove(&old.domain);
                self.domain_infos.remove(&old.domain);
            }
        }
    }

    /// Adds a record to the indices and digests, or removes it from them.
    fn index(&mut self, member: &Member, add: bool) {
        if !member.state.is_live() {
            return;
        }
        let info = self.domain_infos.entry(member.domain.clone()).or_default();
        let digest = hash::record(&member.host, member.incarnation);
        info.buckets[bucket_of(&member.host)] ^= digest;
        info.digest ^= digest;
        self.digest ^= digest;
        info.processes ^= hash::process(&member.host, member.started);
        info.ranked.clear();
        if add {
            info.live += 1;
            self.addr_hosts.insert(member.peer, member.host.clone());
        } else {
            info.live -= 1;
            if self.addr_hosts.get(&member.peer) == Some(&member.host) {
                self.addr_hosts.remove(&member.peer);
            }
        }
        if add && member.relay {
            info.relays.insert(member.host.clone());
        } else {
            info.relays.remove(&member.host);
        }
    }
}

/// Returns the sort key of a member as a relay candidate: the fastest links come first.
pub(crate) fn relay_rank(member: &Member) -> (Reverse<u32>, u64) {
    (Reverse(member.link_class()), hash::rank(member.domain.as_bytes(), &member.host))
}

/// Returns the digest bucket of a host.
pub(crate) fn bucket_of(host: &str) -> usize {
    let digest = hash::hash64(&[b"bucket", host.as_bytes()]);
    usize::try_from(digest % BUCKETS as u64).unwrap_or(0)
}
