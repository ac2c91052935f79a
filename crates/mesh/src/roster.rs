use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{CANDIDATES, Member, MemberState, MemberTable, convert::member_to_wire, hash};

/// Buckets of hosts in a domain's digests; a sync moves only the buckets that differ.
pub(crate) const BUCKETS: usize = 16;

/// What is kept of a domain beside its members, updated with each change of a record.
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
    infos: BTreeMap<Name, DomainInfo>,
    homes: BTreeMap<Name, Name>,
    hosts: BTreeMap<SocketAddr, Name>,
    digest: u64,
    /// Members that are dead or left, and since when.
    pub(crate) gone: BTreeMap<Name, Instant>,
}

impl Roster {
    /// The table, for publication.
    pub(crate) const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The member on a host.
    pub(crate) fn get(&self, host: &str) -> Option<&Arc<Member>> {
        self.table.domains.get(self.homes.get(host)?)?.get(host)
    }

    /// The member that listens at an address.
    pub(crate) fn by_addr(&self, addr: SocketAddr) -> Option<&Arc<Member>> {
        self.get(self.hosts.get(&addr)?)
    }

    /// Digest of all live members.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Digest of the live members of a domain.
    pub(crate) fn domain_digest(&self, domain: &str) -> u64 {
        self.infos.get(domain).map_or(0, |info| info.digest)
    }

    /// Digest of the processes that are live members of a domain.
    pub(crate) fn processes(&self, domain: &str) -> u64 {
        self.infos.get(domain).map_or(0, |info| info.processes)
    }

    /// The wire form of a member, with the time since it is gone.
    pub(crate) fn record(&self, member: &Member, now: Instant) -> dw_wire::Member {
        let gone = self.gone.get(&member.host).map(|at| now.saturating_duration_since(*at));
        let dead_ms = gone.map_or(0, |gone| u64::try_from(gone.as_millis()).unwrap_or(u64::MAX));
        dw_wire::Member { dead_ms, ..member_to_wire(member) }
    }

    /// Appends records as long as there is room for them.
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

    /// Bucket digests of a domain.
    pub(crate) fn buckets(&self, domain: &str) -> [u64; BUCKETS] {
        self.infos.get(domain).map_or([0; BUCKETS], |info| info.buckets)
    }

    /// Number of live members of a domain.
    pub(crate) fn live_count(&self, domain: &str) -> usize {
        self.infos.get(domain).map_or(0, |info| info.live)
    }

    /// The domains, by name.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &Name> {
        self.table.domains.keys()
    }

    /// All members of a domain, those that are gone included.
    pub(crate) fn members(&self, domain: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.table.domains.get(domain).into_iter().flat_map(|hosts| hosts.values())
    }

    /// The live members of a domain.
    pub(crate) fn live(&self, domain: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.members(domain).filter(|member| member.state.is_live())
    }

    /// The members of a domain that act as relays.
    pub(crate) fn relays(&self, domain: &str) -> impl Iterator<Item = &Name> {
        self.infos.get(domain).into_iter().flat_map(|info| info.relays.iter())
    }

    /// The alive members of a domain that distribute best: those with the fastest links, by rendezvous
    /// hash among equal ones. Cached until the domain changes. See [`relay_rank`].
    pub(crate) fn candidates(&mut self, domain: &Name) -> &[Name] {
        let Some(info) = self.infos.get_mut(domain) else { return &[] };
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
                ranked.into_iter().take(CANDIDATES).map(|(_, host)| host.clone()).collect();
        }
        &info.ranked
    }

    /// Stores a record in place of the host's earlier one.
    pub(crate) fn put(&mut self, member: Member, now: Instant) {
        let host = member.host.clone();
        if let Some(old) = self.get(&host).cloned() {
            self.index(&old, false);
            if old.domain != member.domain {
                self.drop_row(&old);
            }
        }
        if member.state.is_live() {
            self.gone.remove(&host);
        } else {
            self.gone.entry(host.clone()).or_insert(now);
        }
        self.homes.insert(host.clone(), member.domain.clone());
        let member = Arc::new(member);
        self.index(&member, true);
        let rows = self.table.domains.entry(member.domain.clone()).or_default();
        Arc::make_mut(rows).insert(host, member);
    }

    /// Removes a host's record.
    pub(crate) fn forget(&mut self, host: &str) {
        self.gone.remove(host);
        let Some(old) = self.get(host).cloned() else { return };
        self.index(&old, false);
        self.drop_row(&old);
        self.homes.remove(host);
    }

    fn drop_row(&mut self, old: &Member) {
        if let Some(rows) = self.table.domains.get_mut(&old.domain) {
            Arc::make_mut(rows).remove(&old.host);
            if rows.is_empty() {
                self.table.domains.remove(&old.domain);
                self.infos.remove(&old.domain);
            }
        }
    }

    /// Adds a record to the indices and digests, or takes it out.
    fn index(&mut self, member: &Member, add: bool) {
        if !member.state.is_live() {
            return;
        }
        let info = self.infos.entry(member.domain.clone()).or_default();
        let digest = hash::record(&member.host, member.incarnation);
        info.buckets[bucket_of(&member.host)] ^= digest;
        info.digest ^= digest;
        self.digest ^= digest;
        info.processes ^= hash::process(&member.host, member.started);
        info.ranked.clear();
        if add {
            info.live += 1;
            self.hosts.insert(member.peer, member.host.clone());
        } else {
            info.live -= 1;
            if self.hosts.get(&member.peer) == Some(&member.host) {
                self.hosts.remove(&member.peer);
            }
        }
        if add && member.relay {
            info.relays.insert(member.host.clone());
        } else {
            info.relays.remove(&member.host);
        }
    }
}

/// Orders the members of a domain by how well they distribute, best first.
pub(crate) fn relay_rank(member: &Member) -> (Reverse<u32>, u64) {
    (Reverse(member.link_class()), hash::rank(member.domain.as_bytes(), &member.host))
}

/// The digest bucket of a host.
pub(crate) fn bucket_of(host: &str) -> usize {
    let digest = hash::hash64(&[b"bucket", host.as_bytes()]);
    usize::try_from(digest % BUCKETS as u64).unwrap_or(0)
}
