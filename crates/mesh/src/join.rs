use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use dw_wire::{FrameBody, Join, JoinReply};
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::time::Instant;

use crate::{
    Action, Counter, LogEvent, MemberState, Node, NodeConfig, PlatformCall, RelayRecord,
    bucket::{TokenBucket, backoff},
    convert::{
        member_from_wire, member_to_wire, tombstones_from_wire, tombstones_to_wire,
        version_id_to_wire,
    },
    records::RECORDS_BYTES,
    timer::Timer,
};

/// Contacts that are asked in parallel, because relay records may name hosts that have failed.
const PARALLEL_JOINS: usize = 3;

/// How long the answer of a contact is awaited before the next ones are tried.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the platform's relay records are awaited after the latest time at which they are
/// requested.
const RELAY_RECORDS_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the floors of further peers are awaited after the first.
const FLOOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are asked for the floor in addition to the one that admitted the node. Two are too
/// few: a host that acknowledged a version just before it crashed may then ask no peer that
/// received the acknowledgement (seed 1021 of the random faults).
const FLOOR_PEERS: usize = 8;

/// How many times peers that did not report the floor are asked again, together with others.
const FLOOR_ROUNDS: u32 = 5;

/// How many times peers are asked again for the floor on a durable platform, where failed peers
/// must not keep a host from serving for seconds.
const FLOOR_ROUNDS_DURABLE: u32 = 1;

/// Joins that a peer admits per second; each costs it up to 1 MiB of records.
const JOINS_PER_SECOND: f64 = 4.0;

/// Joins that a peer admits in a burst.
const JOIN_BURST: f64 = 16.0;

/// Peers named to a joining node whose join is deferred.
const HINTED_PEERS: usize = 8;

/// The most contacts that are kept.
const CONTACTS_LIMIT: usize = 64;

/// The state of finding the first peers and the floor, the lowest version number that the node may
/// serve after a restart.
#[derive(Debug)]
pub(crate) struct Joining {
    contacts: Vec<SocketAddr>,
    next_contact: usize,
    failures: u32,
    asked_relays: bool,
    bucket: TokenBucket,
    /// Peers whose floor is still awaited.
    floor_pending: BTreeSet<SocketAddr>,
    /// Peers that have been asked for the floor.
    floor_asked: BTreeSet<SocketAddr>,
    floor_rounds: u32,
    /// Whether a peer that serves a version has sent the floor.
    floor_learned: bool,
    /// Peers that were asked because a message of theirs arrived, since the last pass over the
    /// contacts.
    asked_senders: BTreeSet<SocketAddr>,
    /// Addresses from the configuration and from relay records whose member is not known: a daemon
    /// there may be serving.
    pub(crate) unknown_addrs: BTreeSet<SocketAddr>,
    /// Whether a peer or the platform has named the members.
    pub(crate) members_known: bool,
    /// When the node started.
    pub(crate) started_at: Instant,
    /// Whether a peer has admitted the node.
    pub(crate) admitted: bool,
    /// Whether the node may act on its view of the members: it was admitted, or no peer could be
    /// reached.
    pub(crate) settled: bool,
}

impl Joining {
    /// Creates the state of a node that joins through the configured addresses.
    pub(crate) fn new(cfg: &NodeConfig, now: Instant) -> Self {
        let contacts: Vec<_> = cfg.join.iter().copied().filter(|addr| *addr != cfg.peer).collect();
        Self {
            unknown_addrs: contacts.iter().copied().collect(),
            members_known: false,
            started_at: now,
            contacts,
            next_contact: 0,
            failures: 0,
            asked_relays: false,
            bucket: TokenBucket::new(JOINS_PER_SECOND, JOIN_BURST, now),
            floor_pending: BTreeSet::new(),
            floor_asked: BTreeSet::new(),
            floor_rounds: 0,
            floor_learned: false,
            asked_senders: BTreeSet::new(),
            admitted: false,
            settled: false,
        }
    }

    fn add(&mut self, addr: SocketAddr) {
        if !self.contacts.contains(&addr) && self.contacts.len() < CONTACTS_LIMIT {
            self.contacts.push(addr);
        }
    }
}

impl Node {
    /// Tries the next contacts; after the last ones, reads the relay records and then starts over.
    pub(crate) fn run_join(&mut self) {
        if self.join.admitted {
            return;
        }
        let contacts: Vec<_> = self
            .join
            .contacts
            .iter()
            .skip(self.join.next_contact)
            .take(PARALLEL_JOINS)
            .copied()
            .collect();
        if !contacts.is_empty() {
            self.join.next_contact += contacts.len();
            contacts.into_iter().for_each(|addr| self.send_join(addr));
            let wait = JOIN_TIMEOUT + self.jitter(JOIN_TIMEOUT);
            self.timers.set(Timer::Join, self.now + wait);
        } else if self.join.asked_relays {
            self.proceed_alone();
        } else {
            self.join.asked_relays = true;
            let spread = self.cfg.preset.join_spread;
            let jitter = self.jitter(spread);
            self.timers.set(Timer::Relays, self.now + jitter);
            self.timers.set(Timer::Join, self.now + spread + RELAY_RECORDS_TIMEOUT);
        }
    }

    /// Lets the node act without peers, since none can be reached, and schedules the next attempt.
    fn proceed_alone(&mut self) {
        if !self.join.settled {
            self.log_event(LogEvent::NoPeers);
            self.join.settled = true;
            self.timers.set(Timer::Claim, self.now);
            self.set_floor_unavailable();
        }
        self.join.asked_relays = false;
        self.join.asked_senders.clear();
        self.join.next_contact = 0;
        self.join.failures += 1;
        let wait = backoff(&mut self.rng, self.join.failures) + JOIN_TIMEOUT;
        self.timers.set(Timer::Join, self.now + wait);
    }

    /// Asks the sender of a message to admit the node, unless a peer already has.
    pub(crate) fn join_through_sender(&mut self, from: SocketAddr) {
        let wanted = !self.join.admitted && from != self.me.peer;
        if wanted
            && self.join.asked_senders.len() < PARALLEL_JOINS
            && self.join.asked_senders.insert(from)
        {
            self.join.add(from);
            self.send_join(from);
        }
    }

    /// Asks a peer for the members and the floor.
    pub(crate) fn send_join(&mut self, to: SocketAddr) {
        let member = Some(member_to_wire(&self.me));
        self.send(to, FrameBody::Join(Join { member, floor_only: false }));
    }

    /// Takes contacts from the platform's relay records.
    pub(crate) fn on_relay_records(&mut self, records: Vec<RelayRecord>) {
        let me = self.me.peer;
        let mut records = records;
        // Peers of the same domain know it best. The shuffle keeps joining nodes from all asking
        // the same ones.
        records.shuffle(&mut self.rng);
        records.sort_by_key(|record| record.domain != self.me.domain);
        for record in records.into_iter().filter(|r| r.peer != me) {
            let known = self.roster.by_addr(record.peer).is_some();
            if !known && self.join.unknown_addrs.len() < CONTACTS_LIMIT {
                self.join.unknown_addrs.insert(record.peer);
            }
            if !self.join.admitted {
                self.join.add(record.peer);
            } else if self.roster.live_count(&record.domain) == 0 {
                self.sync_with(record.peer, None);
            }
        }
        if !self.join.admitted {
            self.timers.set(Timer::Join, self.now);
        }
    }

    /// Admits a joining node, or defers its join and names other peers.
    pub(crate) fn on_join(&mut self, from: SocketAddr, join: &Join) {
        let Some(member) = join.member.as_ref().and_then(member_from_wire) else {
            self.count(Counter::BadMessage);
            return;
        };
        if member.host == self.me.host {
            return;
        }
        let known = self.roster.get(&member.host).filter(|m| m.started != member.started);
        let version_id = self.store.served_id();
        let mut reply = JoinReply {
            admitted: true,
            floor: self.acks.floor(&member.host).max(version_id.number),
            version_id: (version_id.number > 0).then(|| version_id_to_wire(version_id)),
            floor_only: join.floor_only,
            incarnation: known.map_or(0, |m| m.incarnation),
            has_version: version_id.number > 0,
            knows_former: known.is_some(),
            tombstones: known.map_or_else(Vec::new, |m| tombstones_to_wire(&m.tombstones)),
            poison: self.poison.to_wire(self.now),
            ..JoinReply::default()
        };
        let room = &mut RECORDS_BYTES.to_owned();
        if join.floor_only {
            self.send(from, FrameBody::JoinReply(reply));
            return;
        }
        if let Err(wait) = self.join.bucket.take(self.now) {
            self.count(Counter::JoinDeferred);
            let jitter = self.jitter(Duration::from_secs(1));
            reply.admitted = false;
            reply.retry_ms = u32::try_from((wait + jitter).as_millis()).unwrap_or(u32::MAX);
            let live = self.roster.live(&member.domain);
            let hints: Vec<_> = live.cloned().choose_multiple(&mut self.rng, HINTED_PEERS);
            self.roster.collect(&mut reply.members, room, hints.iter(), self.now);
            self.send(from, FrameBody::JoinReply(reply));
            return;
        }
        self.count(Counter::JoinAdmitted);
        let host = member.host.clone();
        if self.merge_record(member, Duration::ZERO) {
            self.queue_broadcast(&host);
        }
        let own = std::iter::once(&self.me.domain);
        let others = self.roster.domains().filter(|domain| **domain != self.me.domain);
        for domain in own.chain(others) {
            // A relay has to know dead members too, because they may still be serving.
            let records = self.roster.members(domain).filter(|m| m.state != MemberState::Left);
            self.roster.collect(&mut reply.members, room, records, self.now);
        }
        self.send(from, FrameBody::JoinReply(reply));
    }

    pub(crate) fn on_join_reply(&mut self, from: SocketAddr, reply: &JoinReply) {
        self.store.floor = self.store.floor.max(reply.floor);
        self.join.floor_learned |= reply.has_version;
        if reply.incarnation >= self.me.incarnation {
            // The wall clock went backwards, and the record of the earlier process would supersede
            // this one.
            self.me.incarnation = reply.incarnation + 1;
            if !self.join.admitted {
                self.me.started = self.me.incarnation;
            }
            self.update_own_record(self.me.clone());
        }
        if reply.knows_former {
            let tombstones = tombstones_from_wire(&reply.tombstones);
            self.out.push(Action::FormerTargets(tombstones));
        }
        self.learn_poison(&reply.poison);
        for wire in &reply.members {
            // The domain already has these records. Gossiping them would fill the probes of a
            // joining node for minutes.
            if self.merge_wire_record(wire) {
                self.gossip.withdraw(&wire.host.as_str().into());
            }
        }
        if let Some(version_id) = &reply.version_id {
            self.compare_number(from, version_id.number);
        }
        if reply.floor_only {
            self.join.floor_pending.remove(&from);
            if self.join.floor_pending.is_empty() {
                self.run_floor();
            }
        } else if reply.admitted {
            self.on_admitted(from);
        } else {
            self.on_deferred(reply);
        }
    }

    fn on_deferred(&mut self, reply: &JoinReply) {
        let hints: Vec<_> = reply.members.iter().filter_map(|m| m.peer.parse().ok()).collect();
        hints.into_iter().filter(|addr| *addr != self.me.peer).for_each(|addr| self.join.add(addr));
        if !self.join.admitted {
            if self.join.next_contact >= self.join.contacts.len() {
                self.join.next_contact = 0;
            }
            let wait = Duration::from_millis(u64::from(reply.retry_ms));
            self.timers.set(Timer::Join, self.now + wait);
        }
    }

    /// Ends the join and asks further peers for the floor, first the relays and candidates, which have
    /// received most acknowledgements as relays or as inner nodes of the trees.
    fn on_admitted(&mut self, from: SocketAddr) {
        if self.join.admitted {
            return;
        }
        self.join.admitted = true;
        self.join.members_known = true;
        self.join.settled = true;
        self.timers.clear(Timer::Join);
        self.timers.set_no_later(Timer::Claim, self.now + Duration::from_millis(200));
        self.log_event(LogEvent::Joined { through: from });
        self.queue_broadcast(&self.me.host.clone());
        let mut hosts: Vec<_> = self.roster.relays(&self.me.domain).cloned().collect();
        let domain = self.me.domain.clone();
        hosts.extend(self.roster.candidates(&domain).iter().cloned());
        let live = self.roster.live(&domain);
        let some = live.choose_multiple(&mut self.rng, FLOOR_PEERS);
        hosts.extend(some.into_iter().map(|m| m.host.clone()));
        let peers: Vec<_> =
            hosts.iter().filter_map(|h| self.roster.get(h)).map(|m| m.peer).collect();
        self.join.floor_asked.insert(from);
        self.ask_floor(peers);
    }

    fn ask_floor(&mut self, mut peers: Vec<SocketAddr>) {
        let asked = &self.join.floor_asked;
        peers.retain(|peer| *peer != self.me.peer && !asked.contains(peer));
        let mut seen = BTreeSet::new();
        peers.retain(|peer| seen.insert(*peer));
        peers.truncate(FLOOR_PEERS);
        self.join.floor_pending.clear();
        for peer in peers {
            self.join.floor_asked.insert(peer);
            self.join.floor_pending.insert(peer);
            let member = Some(member_to_wire(&self.me));
            self.send(peer, FrameBody::Join(Join { member, floor_only: true }));
        }
        let wait = if self.join.floor_pending.is_empty() { Duration::ZERO } else { FLOOR_TIMEOUT };
        self.timers.set(Timer::Floor, self.now + wait);
    }

    /// Stops waiting for floors, or asks further peers and those that did not answer.
    pub(crate) fn run_floor(&mut self) {
        self.timers.clear(Timer::Floor);
        if !self.join.admitted || self.store.floor_known {
            return;
        }
        // On a durable platform, only a node that cannot read the platform relies on the floor.
        let rounds = if self.cfg.preset.durable { FLOOR_ROUNDS_DURABLE } else { FLOOR_ROUNDS };
        let over = self.join.floor_pending.is_empty() || self.join.floor_rounds >= rounds;
        if over && self.join.floor_learned {
            self.set_floor_known();
            return;
        }
        self.join.floor_rounds += 1;
        if over && !self.join.floor_asked.is_empty() {
            // The whole domain has restarted, and no peer knows a floor until one of them has read
            // the platform.
            self.set_floor_unavailable();
            self.join.floor_asked.clear();
            self.join.failures += 1;
            let wait = backoff(&mut self.rng, self.join.failures) + FLOOR_TIMEOUT / 2;
            self.join.floor_rounds = 0;
            self.timers.set(Timer::Floor, self.now + wait);
            return;
        }
        // Peers that did not answer may be asked again: their answers may have been lost.
        for peer in std::mem::take(&mut self.join.floor_pending) {
            self.join.floor_asked.remove(&peer);
        }
        let live = self.roster.live(&self.me.domain).filter(|m| m.host != self.me.host);
        let mut peers: Vec<_> = live.map(|m| m.peer).collect();
        if peers.is_empty() {
            // The first host of its domain can learn the floor only from other domains.
            let domains: Vec<_> = self.roster.domains().cloned().collect();
            peers = domains.iter().flat_map(|d| self.roster.live(d)).map(|m| m.peer).collect();
        }
        peers.shuffle(&mut self.rng);
        self.ask_floor(peers);
    }

    /// Requests the relay records from the platform.
    pub(crate) fn run_relays(&mut self) {
        self.call(PlatformCall::ReadRelays);
    }
}
