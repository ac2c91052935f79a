use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
};

use dw_tables::Name;
use dw_wire::{Broadcast, FrameBody};
use rand::Rng;
use tokio::time::Instant;

use crate::{
    Action, Fingerprint, Member, MemberState, Node, bucket::TokenBucket, hash, timer::Timer,
};

/// Broadcasts per second that a node starts. Events beyond that travel by gossip.
const CAST_RATE: f64 = 2.0;

/// Broadcasts that a node starts at once.
const CAST_BURST: f64 = 4.0;

/// Bytes of member records in one broadcast.
const CAST_BYTES: usize = 16 << 10;

/// Broadcasts that are remembered so that repetitions are dropped.
const SEEN_LIMIT: usize = 1_024;

/// Fingerprints in one broadcast.
const POISON_LIMIT: usize = 64;

/// Events to be sent down the domain's tree.
#[derive(Debug)]
pub(crate) struct BroadcastQueue {
    hosts: BTreeSet<Name>,
    poison: Vec<u64>,
    bucket: TokenBucket,
    seen: VecDeque<u64>,
    routed: VecDeque<(u64, u64)>,
}

impl BroadcastQueue {
    /// Nothing to be sent.
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            hosts: BTreeSet::new(),
            poison: Vec::new(),
            bucket: TokenBucket::new(CAST_RATE, CAST_BURST, now),
            seen: VecDeque::new(),
            routed: VecDeque::new(),
        }
    }
}

/// Appends to a list of limited length; returns false if the item is already there.
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

/// One node of a tree level: a member and the ranks that it is responsible for.
#[derive(Debug)]
pub(crate) struct Branch {
    /// The host.
    pub(crate) host: Name,
    /// Its address.
    pub(crate) peer: SocketAddr,
    /// The lowest rank.
    pub(crate) lo: u64,
    /// The highest rank.
    pub(crate) hi: u64,
}

impl Node {
    /// Queues the newest record of a host for a broadcast in the domain.
    pub(crate) fn queue_broadcast(&mut self, host: &Name) {
        self.broadcasts.hosts.insert(host.clone());
        self.timers.set_no_later(Timer::Urgent, self.now + self.cfg.preset.batch_delay);
    }

    /// Tells the fleet a fingerprint.
    pub(crate) fn broadcast_poison(&mut self, fingerprint: Fingerprint) {
        if self.broadcasts.poison.len() < POISON_LIMIT {
            self.broadcasts.poison.push(fingerprint.0);
            self.timers.set_no_later(Timer::Urgent, self.now + self.cfg.preset.batch_delay);
        }
    }

    /// Starts a broadcast of all queued events.
    pub(crate) fn run_broadcasts(&mut self) {
        if self.broadcasts.hosts.is_empty() && self.broadcasts.poison.is_empty() {
            return;
        }
        let leaving = self.me.state == MemberState::Left;
        if let Err(wait) = self.broadcasts.bucket.take(self.now)
            && !leaving
        {
            self.timers.set(Timer::Urgent, self.now + wait);
            return;
        }
        let hosts = std::mem::take(&mut self.broadcasts.hosts);
        let rows = hosts.iter().filter_map(|host| self.roster.get(host));
        let (mut members, mut room) = (Vec::new(), CAST_BYTES);
        self.roster.collect(&mut members, &mut room, rows, self.now);
        let cast = Broadcast {
            id: self.rng.random(),
            root: self.me.host.to_string(),
            domain: self.me.domain.to_string(),
            lo: 0,
            hi: u64::MAX,
            members,
            poison: std::mem::take(&mut self.broadcasts.poison),
        };
        remember(&mut self.broadcasts.seen, cast.id);
        self.route(&cast);
        // A domain without a relay, such as one that was restarted and whose slots have not lapsed
        // yet, would stay unknown to the others for seconds.
        if self.acts_as_relay() || self.roster.relays(&self.me.domain).next().is_none() {
            self.cross(cast);
        }
    }

    pub(crate) fn on_broadcast(&mut self, mut cast: Broadcast) {
        if cast.root.is_empty() {
            cast.root = self.me.host.to_string();
        }
        let first = remember(&mut self.broadcasts.seen, cast.id);
        self.route(&cast);
        if !first {
            return;
        }
        for wire in &cast.members {
            self.merge_wire_record(wire);
        }
        for fingerprint in cast.poison.iter().take(POISON_LIMIT) {
            self.out.push(Action::Poison(Fingerprint(*fingerprint)));
        }
        if self.acts_as_relay() && *cast.domain == **self.me.domain {
            self.cross(cast);
        }
    }

    /// Passes a broadcast on to the members of its range. Each tree is followed once: two relays
    /// may start a tree each for one broadcast, and a member may be a leaf in one and an inner node
    /// in the other.
    fn route(&mut self, cast: &Broadcast) {
        let root = hash::hash64(&[cast.root.as_bytes()]);
        if !remember(&mut self.broadcasts.routed, (cast.id, root)) {
            return;
        }
        let key = [cast.id.to_be_bytes(), root.to_be_bytes()].concat();
        for branch in self.branches(&key, cast.lo, cast.hi, &BTreeSet::new()) {
            let part = Broadcast { lo: branch.lo, hi: branch.hi, ..cast.clone() };
            self.send(branch.peer, FrameBody::Broadcast(part));
        }
    }

    /// Passes a broadcast of the own domain on to one relay of each other domain.
    fn cross(&mut self, cast: Broadcast) {
        let cast = Broadcast { root: String::new(), lo: 0, hi: u64::MAX, ..cast };
        let domains: Vec<_> =
            self.roster.domains().filter(|domain| **domain != self.me.domain).cloned().collect();
        for domain in domains {
            if let Some(peer) = self.relay_of(&domain) {
                self.send(peer, FrameBody::Broadcast(cast.clone()));
            }
        }
    }

    /// Splits the live members of the domain with ranks in `lo..=hi` into `fan_out` ranges of about
    /// equal size. The ranges cover `lo..=hi` without gap, so that members known only further down
    /// are reached too. Each range is headed by its first member that is not suspect.
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
