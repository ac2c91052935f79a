use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
};

use dw_tables::Name;
use dw_wire::{Broadcast, FrameBody, PoisonLeft};
use rand::Rng;
use tokio::time::Instant;

use crate::{Fingerprint, Member, MemberState, Node, bucket::TokenBucket, hash, timer::Timer};

/// Rate at which a node may start broadcasts. Events beyond that rate spread by gossip.
const BROADCASTS_PER_SECOND: f64 = 2.0;

/// Number of broadcasts that a node may start in a burst.
const BROADCAST_BURST: f64 = 4.0;

/// Maximum size of the member records in one broadcast, in bytes.
const BROADCAST_BYTES: usize = 16 << 10;

/// Number of broadcasts that are remembered to drop duplicates.
const SEEN_LIMIT: usize = 1_024;

/// Maximum number of fingerprints in one broadcast.
const POISON_LIMIT: usize = 64;

/// Events waiting to be broadcast, and the broadcasts that were handled recently.
#[derive(Debug)]
pub(crate) struct BroadcastQueue {
    /// Hosts whose member records are to be broadcast.
    hosts: BTreeSet<Name>,
    /// Fingerprints to be broadcast.
    poison: Vec<u64>,
    /// Fingerprints that another part of the fleet found while it was cut off.
    pub(crate) earlier_poison: Vec<PoisonLeft>,
    /// Fingerprints that were taken for poison and are to be withdrawn.
    pub(crate) withdrawn_poison: Vec<u64>,
    bucket: TokenBucket,
    /// Ids of broadcasts whose events were processed.
    seen: VecDeque<u64>,
    /// Ids of broadcasts that were forwarded, each with the hash of its tree's root.
    forwarded: VecDeque<(u64, u64)>,
}

impl BroadcastQueue {
    /// Creates an empty queue.
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            hosts: BTreeSet::new(),
            poison: Vec::new(),
            earlier_poison: Vec::new(),
            withdrawn_poison: Vec::new(),
            bucket: TokenBucket::new(BROADCASTS_PER_SECOND, BROADCAST_BURST, now),
            seen: VecDeque::new(),
            forwarded: VecDeque::new(),
        }
    }
}

/// Appends to a list of limited length. Returns false if the item is already in it.
fn remember<T: PartialEq>(list: &mut VecDeque<T>, item: T) -> bool {
    if list.contains(&item) {
        return false;
    }
    if list.len() == SEEN_LIMIT {
        list.pop_front();
    }
    list.push_back(item);
    true
}

/// A child in a tree: a member and the range of ranks that it forwards to.
#[derive(Debug)]
pub(crate) struct Branch {
    /// The host of the member.
    pub(crate) host: Name,
    /// The address of the member.
    pub(crate) peer: SocketAddr,
    /// The lowest rank of the range.
    pub(crate) lo: u64,
    /// The highest rank of the range, inclusive.
    pub(crate) hi: u64,
}

impl Node {
    /// Queues the newest member record of a host for the next broadcast.
    pub(crate) fn queue_broadcast(&mut self, host: &Name) {
        self.broadcasts.hosts.insert(host.clone());
        self.timers.set_no_later(Timer::Broadcast, self.now + self.cfg.preset.batch_delay);
    }

    /// Queues a fingerprint for the next broadcast.
    pub(crate) fn broadcast_poison(&mut self, fingerprint: Fingerprint) {
        self.keep_poison(fingerprint);
        if self.broadcasts.poison.len() < POISON_LIMIT {
            self.broadcasts.poison.push(fingerprint.0);
            self.timers.set_no_later(Timer::Broadcast, self.now + self.cfg.preset.batch_delay);
        }
    }

    /// Starts a broadcast of all queued events.
    pub(crate) fn run_broadcasts(&mut self) {
        let BroadcastQueue { hosts, poison, earlier_poison, withdrawn_poison, .. } =
            &self.broadcasts;
        let told = !(poison.is_empty() && earlier_poison.is_empty() && withdrawn_poison.is_empty());
        if hosts.is_empty() && !told {
            return;
        }
        let leaving = self.me.state == MemberState::Left;
        if let Err(wait) = self.broadcasts.bucket.take(self.now)
            && !leaving
        {
            self.timers.set(Timer::Broadcast, self.now + wait);
            return;
        }
        let hosts = std::mem::take(&mut self.broadcasts.hosts);
        let records = hosts.iter().filter_map(|host| self.roster.get(host));
        let (mut members, mut room) = (Vec::new(), BROADCAST_BYTES);
        self.roster.collect(&mut members, &mut room, records, self.now);
        let broadcast = Broadcast {
            id: self.rng.random(),
            root: self.me.host.to_string(),
            domain: self.me.domain.to_string(),
            lo: 0,
            hi: u64::MAX,
            members,
            poison: std::mem::take(&mut self.broadcasts.poison),
            earlier_poison: std::mem::take(&mut self.broadcasts.earlier_poison),
            withdrawn_poison: std::mem::take(&mut self.broadcasts.withdrawn_poison),
        };
        remember(&mut self.broadcasts.seen, broadcast.id);
        self.forward_broadcast(&broadcast);
        // Without this, the other domains would for seconds not learn of a domain that has no relay, such as
        // one that was restarted while the leases of its slots had not expired yet.
        if self.acts_as_relay() || self.roster.relays(&self.me.domain).next().is_none() {
            self.forward_to_domains(broadcast);
        }
    }

    pub(crate) fn on_broadcast(&mut self, mut broadcast: Broadcast) {
        if broadcast.root.is_empty() {
            broadcast.root = self.me.host.to_string();
        }
        let first = remember(&mut self.broadcasts.seen, broadcast.id);
        self.forward_broadcast(&broadcast);
        if !first {
            return;
        }
        for wire in &broadcast.members {
            self.merge_wire_record(wire);
        }
        for fingerprint in broadcast.poison.iter().take(POISON_LIMIT) {
            self.learn_broadcast_poison(Fingerprint(*fingerprint));
        }
        self.learn_poison(&broadcast.earlier_poison);
        for fingerprint in broadcast.withdrawn_poison.iter().take(POISON_LIMIT) {
            self.learn_withdrawn_poison(Fingerprint(*fingerprint));
        }
        if self.acts_as_relay() && *broadcast.domain == **self.me.domain {
            self.forward_to_domains(broadcast);
        }
    }

    /// Forwards a broadcast to the members of its range, once per tree. Two relays may each start a tree for
    /// the same broadcast, and a member may be a leaf in one of them and an inner node in the other.
    fn forward_broadcast(&mut self, broadcast: &Broadcast) {
        let root = hash::hash64(&[broadcast.root.as_bytes()]);
        if !remember(&mut self.broadcasts.forwarded, (broadcast.id, root)) {
            return;
        }
        let key = [broadcast.id.to_be_bytes(), root.to_be_bytes()].concat();
        for branch in self.branches(&key, broadcast.lo, broadcast.hi, &BTreeSet::new()) {
            let part = Broadcast { lo: branch.lo, hi: branch.hi, ..broadcast.clone() };
            self.send(branch.peer, FrameBody::Broadcast(part));
        }
    }

    /// Forwards a broadcast of this domain to one relay of each other domain.
    fn forward_to_domains(&mut self, broadcast: Broadcast) {
        let broadcast = Broadcast { root: String::new(), lo: 0, hi: u64::MAX, ..broadcast };
        let domains: Vec<_> =
            self.roster.domains().filter(|domain| **domain != self.me.domain).cloned().collect();
        for domain in domains {
            if let Some(peer) = self.relay_of(&domain) {
                self.send(peer, FrameBody::Broadcast(broadcast.clone()));
            }
        }
    }

    /// Splits the live members of the domain with ranks in `lo..=hi` into up to `fan_out` ranges of about equal
    /// size. The ranges cover `lo..=hi` without gaps, so that members are reached of which only nodes further
    /// down the tree know. The head of each range is its first member that is not suspected.
    pub(crate) fn branches(
        &self,
        key: &[u8],
        lo: u64,
        hi: u64,
        skip: &BTreeSet<Name>,
    ) -> Vec<Branch> {
        if self.cfg.preset.fan_out == 0 {
            return Vec::new();
        }
        let mut ranked: Vec<(u64, &Member)> = self
            .roster
            .live(&self.me.domain)
            .filter(|m| m.host != self.me.host && !skip.contains(&m.host))
            .map(|m| (hash::rank(key, &m.host), &**m))
            .filter(|(rank, _)| (lo..=hi).contains(rank))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let size = ranked.len().div_ceil(self.cfg.preset.fan_out).max(1);
        let mut out: Vec<Branch> = Vec::new();
        let mut start = lo;
        for part in ranked.chunks(size) {
            let fit = part.iter().find(|(_, m)| m.state != MemberState::Suspect);
            let Some((_, head)) = fit.or(part.first()) else { continue };
            let end = part.last().map_or(hi, |(rank, _)| *rank);
            out.push(Branch { host: head.host.clone(), peer: head.peer, lo: start, hi: end });
            start = end.saturating_add(1);
        }
        if let Some(last) = out.last_mut() {
            last.hi = hi;
        }
        out
    }
}
