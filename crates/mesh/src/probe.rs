use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dw_tables::Name;
use dw_wire::{Ack, DomainDigest, FrameBody, Packet, PacketBody, Ping, PingReq, SyncMembers};
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use tokio::time::Instant;

use crate::{Counter, Member, MemberState, Node, timer::Timer};

/// Members that are asked to probe a member indirectly.
const INDIRECT_PROBERS: usize = 3;

/// The most indirect probes that a node has in progress on behalf of others.
const INDIRECT_PROBES_LIMIT: usize = 64;

/// Probe periods between probes of a dead member and of a join address, which make two parts of a
/// domain that declared each other dead merge again after a partition.
const HEAL_PERIODS: u64 = 4;

/// How long after its end a member may still be probed, one such member in each period. It may be
/// restarting: a process that is stopped or killed is back within seconds.
const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// How long after its start a node compares member tables at once when they differ: it may have
/// joined through a peer that knew hardly any members.
const STARTUP_WINDOW: Duration = Duration::from_secs(10);

/// The shortest time between two immediate comparisons of member tables within `STARTUP_WINDOW`.
const EARLY_SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// The most immediate comparisons of member tables within `STARTUP_WINDOW`.
const EARLY_SYNCS_LIMIT: u32 = 5;

/// Probe periods for which member tables have to differ before they are compared in full.
/// Broadcasts, and in a small domain gossip, resolve most differences sooner.
const SYNC_PERIODS: u32 = 3;

/// The probe whose answer is awaited.
#[derive(Debug)]
struct PendingProbe {
    host: Name,
    seq: u64,
}

/// A suspicion that the member has not refuted yet.
#[derive(Debug)]
struct Suspicion {
    until: Instant,
    incarnation: u64,
    /// Whether this node raised the suspicion and so announces the death to the domain.
    own: bool,
}

/// An indirect probe on behalf of another member.
#[derive(Debug)]
struct IndirectProbe {
    to: SocketAddr,
    seq: u64,
    host: Name,
    until: Instant,
}

/// Failure detection within the domain.
#[derive(Debug, Default)]
pub(crate) struct Probe {
    order: Vec<Name>,
    current: Option<PendingProbe>,
    indirect_probes: BTreeMap<u64, IndirectProbe>,
    suspicions: BTreeMap<Name, Suspicion>,
    seq: u64,
    periods: u64,
    /// Since when the table digests of peers have differed from that of this node.
    pub(crate) differs_since: Option<Instant>,
    /// The number of early comparisons after the start, and the time of the last one.
    early_syncs: (u32, Option<Instant>),
}

impl Probe {
    /// Extends the suspicions by the length of a pause of the process, and drops the probe whose answer
    /// was awaited.
    pub(crate) fn shift(&mut self, late: Duration) {
        self.current = None;
        self.differs_since = None;
        for suspicion in self.suspicions.values_mut() {
            suspicion.until += late;
        }
    }
}

impl Node {
    /// Ends the current probe period and starts the next one.
    pub(crate) fn run_probe(&mut self) {
        self.timers.set(Timer::Probe, self.now + self.cfg.preset.probe_period);
        if let Some(missed) = self.probe.current.take() {
            self.suspect(&missed.host);
        }
        self.probe.periods += 1;
        self.probe_gone();
        if self.probe.periods.is_multiple_of(HEAL_PERIODS) {
            self.retry_join_addr();
        }
        let Some(member) = self.next_probe() else {
            self.probe_other_domain();
            return;
        };
        let seq = self.next_seq();
        self.probe.current = Some(PendingProbe { host: member.host.clone(), seq });
        self.ping(&member, seq);
        self.timers.set(Timer::Indirect, self.now + self.cfg.preset.probe_period / 3);
    }

    /// Returns the next live member of this node's domain in a random order, reshuffled each round.
    fn next_probe(&mut self) -> Option<Arc<Member>> {
        for _ in 0..2 {
            while let Some(host) = self.probe.order.pop() {
                if let Some(member) = self.roster.get(&host)
                    && member.state.is_live()
                    && member.domain == self.me.domain
                {
                    return Some(Arc::clone(member));
                }
            }
            let hosts = self.roster.live(&self.me.domain).map(|member| member.host.clone());
            self.probe.order = hosts.filter(|host| *host != self.me.host).collect();
            self.probe.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Probes a member of another domain if the node has just started. It has no peer in its own
    /// domain whose answers could name members that it does not know.
    fn probe_other_domain(&mut self) {
        if self.now >= self.join.started_at + STARTUP_WINDOW {
            return;
        }
        let live = self.roster.domains().flat_map(|domain| self.roster.live(domain));
        let others = live.filter(|member| member.host != self.me.host);
        if let Some(peer) = others.choose(&mut self.rng).map(|member| member.peer) {
            self.send_ping(peer);
        }
    }

    /// Probes a member that is dead or has left. If it ended a moment ago it may be restarting, and
    /// a message from a peer may be its only way to find the others; a dead one may have been
    /// partitioned.
    fn probe_gone(&mut self) {
        let heal = self.probe.periods.is_multiple_of(HEAL_PERIODS);
        let responsible = |member: &Member| {
            // A domain without live members has no member of its own that could do this.
            member.domain == self.me.domain
                || (self.me.relay && self.roster.live_count(&member.domain) == 0)
        };
        let gone = self.roster.gone.iter().filter_map(|(host, at)| {
            let member = self.roster.get(host).filter(|member| responsible(member))?;
            let due =
                self.now < *at + RESTART_WINDOW || (heal && member.state == MemberState::Dead);
            due.then(|| Arc::clone(member))
        });
        let gone: Vec<_> = gone.collect();
        if let Some(member) = gone.choose(&mut self.rng) {
            let seq = self.next_seq();
            self.ping(member, seq);
        }
    }

    /// Sends a join request to a configured address that belongs to no live member.
    fn retry_join_addr(&mut self) {
        let unknown: Vec<_> = self
            .cfg
            .join
            .iter()
            .copied()
            .filter(|addr| *addr != self.me.peer && self.roster.by_addr(*addr).is_none())
            .collect();
        if self.join.admitted
            && let Some(addr) = unknown.choose(&mut self.rng).copied()
        {
            self.send_join(addr);
        }
    }

    fn next_seq(&mut self) -> u64 {
        self.probe.seq += 1;
        self.probe.seq
    }

    /// Sends a probe without awaiting the answer, to inform the peer of this node's version and
    /// table digest.
    pub(crate) fn send_ping(&mut self, to: SocketAddr) {
        let seq = self.next_seq();
        let packet = self.packet(PacketBody::Ping(Ping { seq }), &[]);
        self.send_packet(to, packet);
    }

    /// Probes a member. The probe of a suspect or dead one carries its record, so that it can
    /// refute it.
    pub(crate) fn ping(&mut self, member: &Arc<Member>, seq: u64) {
        let suspected = matches!(member.state, MemberState::Suspect | MemberState::Dead);
        let first = if suspected { vec![Arc::clone(member)] } else { Vec::new() };
        let packet = self.packet(PacketBody::Ping(Ping { seq }), &first);
        self.send_packet(member.peer, packet);
    }

    /// Asks other members to probe the one that has not answered.
    pub(crate) fn run_indirect(&mut self) {
        let Some((host, seq)) = self.probe.current.as_ref().map(|c| (c.host.clone(), c.seq)) else {
            return;
        };
        let Some(member) = self.roster.get(&host).cloned() else { return };
        let others: Vec<_> = self
            .roster
            .live(&self.me.domain)
            .filter(|m| m.state == MemberState::Alive && m.host != host && m.host != self.me.host)
            .map(|m| m.peer)
            .collect();
        let chosen: Vec<_> =
            others.choose_multiple(&mut self.rng, INDIRECT_PROBERS).copied().collect();
        for to in chosen {
            let req = PingReq { seq, host: host.to_string(), peer: member.peer.to_string() };
            let packet = self.packet(PacketBody::PingReq(req), &[]);
            self.send_packet(to, packet);
        }
    }

    /// Marks a member of this node's domain that did not answer as suspect.
    pub(crate) fn suspect(&mut self, host: &Name) {
        let Some(member) = self.roster.get(host).cloned() else { return };
        let eligible = matches!(member.state, MemberState::Alive | MemberState::Leaving)
            && member.domain == self.me.domain
            && *host != self.me.host;
        if !eligible {
            return;
        }
        self.count(Counter::Suspected);
        let record = Member { state: MemberState::Suspect, ..(*member).clone() };
        self.store_member(record);
        self.start_suspicion(host, member.incarnation, true);
        if let Some(member) = self.roster.get(host).cloned() {
            let seq = self.next_seq();
            self.ping(&member, seq);
        }
    }

    /// Starts the period in which a suspicion can be refuted. It is longer for a suspicion raised
    /// by another member, because that member announces the death.
    pub(crate) fn start_suspicion(&mut self, host: &Name, incarnation: u64, own: bool) {
        let preset = &self.cfg.preset;
        let base = preset.probe_period * preset.suspicion_periods;
        let until = self.now + if own { base } else { base * 3 / 2 };
        let known = self.probe.suspicions.get(host);
        if known.is_some_and(|s| s.incarnation >= incarnation) {
            return;
        }
        self.probe.suspicions.insert(host.clone(), Suspicion { until, incarnation, own });
        self.timers.set_no_later(Timer::Suspicion, until);
    }

    /// Shortens a suspicion after proof that no process listens at the member's address.
    pub(crate) fn shorten_suspicion(&mut self, host: &Name) {
        let until = self.now + self.cfg.preset.probe_period;
        if let Some(suspicion) = self.probe.suspicions.get_mut(host) {
            suspicion.until = suspicion.until.min(until);
            suspicion.own = true;
            self.timers.set_no_later(Timer::Suspicion, until);
        }
    }

    /// Declares the members dead that have not refuted a suspicion in time.
    pub(crate) fn run_suspicions(&mut self) {
        let now = self.now;
        let due: Vec<_> =
            self.probe.suspicions.extract_if(.., |_, suspicion| suspicion.until <= now).collect();
        for (host, suspicion) in due {
            let Some(member) = self.roster.get(&host).cloned() else { continue };
            if member.state != MemberState::Suspect || member.incarnation != suspicion.incarnation {
                continue;
            }
            self.count(Counter::Died);
            self.store_member(Member { state: MemberState::Dead, ..(*member).clone() });
            self.member_gone(&member);
            if suspicion.own {
                self.queue_broadcast(&host);
            }
        }
        if let Some(next) = self.probe.suspicions.values().map(|s| s.until).min() {
            self.timers.set(Timer::Suspicion, next);
        }
    }

    /// Handles the fields that all datagrams carry: version id, table digest and member records.
    pub(crate) fn on_packet_header(&mut self, from: SocketAddr, packet: &Packet) {
        let sender = self.roster.get(&packet.host).cloned();
        // A member that can send but not receive suspects everyone. Its suspicions are ignored
        // until it has refuted the one about itself.
        let credible = sender.as_ref().is_none_or(|m| {
            matches!(m.state, MemberState::Alive | MemberState::Leaving | MemberState::Left)
        });
        for wire in &packet.members {
            let reports_failure = wire.state == dw_wire::State::Suspect as i32
                || wire.state == dw_wire::State::Dead as i32;
            if credible || !reports_failure || *wire.host == **self.me.host {
                self.merge_wire_record(wire);
            }
        }
        self.acks.record(&packet.host, packet.started, packet.number, packet.prefix);
        self.compare_version(from, packet.number, packet.prefix);
        match sender {
            Some(sender) if sender.domain == self.me.domain => {
                self.compare_digest(from, packet.digest);
            }
            Some(_) if self.roster.live_count(&self.me.domain) > 1 => {}
            Some(_) if packet.digest == self.roster.digest() => {}
            // A node that has just started may not know the sender, or the members that the sender
            // knows.
            _ => {
                self.sync_early(from);
            }
        }
    }

    fn compare_digest(&mut self, from: SocketAddr, digest: u64) {
        if digest == self.roster.digest() {
            self.probe.differs_since = None;
            return;
        }
        if self.sync_early(from) {
            return;
        }
        let since = *self.probe.differs_since.get_or_insert(self.now);
        if self.now < since + self.cfg.preset.probe_period * SYNC_PERIODS {
            return;
        }
        self.probe.differs_since = Some(self.now);
        self.sync_with(from, None);
    }

    /// Compares member tables at once if the node has just started. Returns whether it does.
    fn sync_early(&mut self, from: SocketAddr) -> bool {
        let (count, last) = self.probe.early_syncs;
        let too_soon = last.is_some_and(|at| self.now < at + EARLY_SYNC_INTERVAL);
        let due = self.now < self.join.started_at + STARTUP_WINDOW
            && count < EARLY_SYNCS_LIMIT
            && !too_soon;
        if due {
            self.probe.early_syncs = (count + 1, Some(self.now));
            self.sync_with(from, None);
        }
        due
    }

    /// Asks a peer for the records in which its member table differs, for one domain or for all.
    pub(crate) fn sync_with(&mut self, to: SocketAddr, only: Option<&Name>) {
        self.count(Counter::MembersSynced);
        self.ask_sync(to, only, false);
    }

    /// Sends this node's table digests. With `answer`, the peer does not send its digests in
    /// return.
    pub(crate) fn ask_sync(&mut self, to: SocketAddr, only: Option<&Name>, answer: bool) {
        let domains = self
            .roster
            .domains()
            .filter(|domain| only.is_none_or(|only| only == *domain))
            .map(|domain| DomainDigest {
                domain: domain.to_string(),
                buckets: self.roster.buckets(domain).to_vec(),
            })
            .collect();
        let full = only.is_none();
        self.send(to, FrameBody::SyncMembers(SyncMembers { domains, full, answer }));
    }

    pub(crate) fn on_ping(&mut self, from: SocketAddr, host: &str, ping: &Ping) {
        // A sender that is recorded as suspect, dead or left learns so from the answer and refutes
        // it.
        let sender = self.roster.get(host).filter(|m| m.state > MemberState::Leaving).cloned();
        let first: Vec<_> = sender.into_iter().collect();
        let ack = Ack { seq: ping.seq, host: self.me.host.to_string() };
        let packet = self.packet(PacketBody::Ack(ack), &first);
        self.send_packet(from, packet);
    }

    pub(crate) fn on_ping_req(&mut self, from: SocketAddr, req: &PingReq) {
        let now = self.now;
        self.probe.indirect_probes.retain(|_, indirect| indirect.until > now);
        let Some(member) = self.roster.get(&req.host).cloned() else { return };
        if self.probe.indirect_probes.len() >= INDIRECT_PROBES_LIMIT {
            return;
        }
        let seq = self.next_seq();
        let until = now + self.cfg.preset.probe_period;
        let indirect = IndirectProbe { to: from, seq: req.seq, host: member.host.clone(), until };
        self.probe.indirect_probes.insert(seq, indirect);
        self.ping(&member, seq);
    }

    pub(crate) fn on_ack(&mut self, ack: &Ack) {
        if let Some(indirect) = self.probe.indirect_probes.remove(&ack.seq)
            && **indirect.host == *ack.host
        {
            let body = Ack { seq: indirect.seq, host: indirect.host.to_string() };
            let packet = self.packet(PacketBody::Ack(body), &[]);
            self.send_packet(indirect.to, packet);
        }
        let answers = |c: &PendingProbe| c.seq == ack.seq && **c.host == *ack.host;
        if self.probe.current.as_ref().is_some_and(answers) {
            self.probe.current = None;
            self.timers.clear(Timer::Indirect);
        }
    }
}
