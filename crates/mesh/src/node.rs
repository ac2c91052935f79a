use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dw_tables::Name;
use dw_wire::{Frame, FrameBody, Packet, PacketBody};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use crate::{
    Action, Counter, Input, LocalEvent, LogEvent, Member, MemberState, MemberTable, NodeConfig,
    PlatformCall,
    acks::Acks,
    broadcast::BroadcastQueue,
    convert::member_to_wire,
    fleet::Fleet,
    gossip::{Gossip, PIGGYBACK_BYTES},
    join::Joining,
    poison::KnownPoison,
    probe::Probe,
    pull::PullState,
    relay::RelayState,
    roster::Roster,
    store::Store,
    timer::{Timer, Timers},
    tree::Tree,
};

/// The shortest time between two publications of the member table.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two removals of old records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// How long the record of a dead or left member is kept, and with it the floor of its host.
const GONE_RETENTION: Duration = Duration::from_secs(3_600);

/// The control plane of one daemon: membership, distribution and status.
///
/// Inputs are handled one at a time. Each may change the deadline, at which the node expects a
/// `Tick`.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: StdRng,
    pub(crate) now: Instant,
    pub(crate) out: Vec<Action>,
    pub(crate) timers: Timers,
    pub(crate) me: Member,
    pub(crate) roster: Roster,
    pub(crate) gossip: Gossip,
    pub(crate) probe: Probe,
    pub(crate) join: Joining,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) poison: KnownPoison,
    pub(crate) store: Store,
    pub(crate) pull: PullState,
    pub(crate) trees: BTreeMap<Name, Tree>,
    pub(crate) acks: Acks,
    pub(crate) relay: RelayState,
    pub(crate) fleet: Fleet,
    /// Hosts of this node's domain whose records changed within the last seconds.
    pub(crate) recent_changes: VecDeque<(Instant, Name)>,
}

impl Node {
    /// Creates a node that starts at `now`.
    #[must_use]
    pub fn new(cfg: NodeConfig, now: Instant) -> Self {
        let me = Member::new(&cfg);
        let mut rng = StdRng::seed_from_u64(cfg.seed);
        let mut timers = Timers::default();
        timers.set(Timer::Join, now + jitter(&mut rng, Duration::from_millis(100)));
        timers.set(Timer::Probe, now + jitter(&mut rng, cfg.preset.probe_period));
        timers.set(Timer::Sweep, now + SWEEP_INTERVAL);
        timers.set(Timer::Members, now);
        if cfg.preset.durable {
            timers.set(Timer::Head, now);
        }
        let mut roster = Roster::default();
        roster.put(me.clone(), now);
        Self {
            rng,
            now,
            out: Vec::new(),
            timers,
            me,
            roster,
            gossip: Gossip::default(),
            probe: Probe::default(),
            join: Joining::new(&cfg, now),
            broadcasts: BroadcastQueue::new(now),
            poison: KnownPoison::default(),
            store: Store::new(cfg.preset.durable, now),
            pull: PullState::default(),
            trees: BTreeMap::new(),
            acks: Acks::default(),
            relay: RelayState::default(),
            fleet: Fleet::default(),
            recent_changes: VecDeque::new(),
            cfg,
        }
    }

    /// Handles one input and returns the resulting actions, in order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Action> {
        self.detect_pause(now);
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Packet { from, packet } => self.on_packet(from, packet),
            Input::Frame { from, frame } => self.on_frame(from, frame),
            Input::SendFailed { to, refused } => self.on_send_failed(to, refused),
            Input::Platform(event) => self.on_platform(event),
            Input::Local(event) => self.on_local(&event),
        }
        for timer in self.timers.due(self.now) {
            self.on_timer(timer);
        }
        std::mem::take(&mut self.out)
    }

    /// Returns when the node expects the next `Tick`.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        if self.me.state == MemberState::Left { None } else { self.timers.next() }
    }

    /// Returns the members as this node sees them. Cheap, because the domains are shared.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        Arc::new(self.roster.table().clone())
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Probe => self.run_probe(),
            Timer::Indirect => self.run_indirect(),
            Timer::Suspicion => self.run_suspicions(),
            Timer::Join => self.run_join(),
            Timer::Floor => self.run_floor(),
            Timer::Pull => self.run_pull(),
            Timer::Tree => self.run_trees(),
            Timer::StartTree => self.start_tree(),
            Timer::Broadcast => self.run_broadcasts(),
            Timer::Claim => self.run_claim(),
            Timer::Renew => self.run_renew(),
            Timer::Head => self.run_head(),
            Timer::Parts => self.run_parts(),
            Timer::StandbyRead => self.run_standby_read(),
            Timer::Relays => self.run_relays(),
            Timer::Republish => self.run_republish(),
            Timer::Summary => self.run_summary(),
            Timer::Audit => self.run_audit(),
            Timer::Status => self.run_status(),
            Timer::Members => self.out.push(Action::Members(self.members())),
            Timer::Sweep => self.run_sweep(),
        }
    }

    fn on_packet(&mut self, from: SocketAddr, packet: Packet) {
        self.join.unknown_addrs.remove(&from);
        self.join_through_sender(from);
        let Some(body) = packet.body else {
            self.count(Counter::BadMessage);
            return;
        };
        let header = Packet { body: None, ..packet };
        self.on_packet_header(from, &header);
        match body {
            PacketBody::Ping(ping) => self.on_ping(from, &header.host, &ping),
            PacketBody::PingReq(req) => self.on_ping_req(from, &req),
            PacketBody::Ack(ack) => self.on_ack(&ack),
        }
    }

    fn on_frame(&mut self, from: SocketAddr, frame: Frame) {
        self.join.unknown_addrs.remove(&from);
        self.record_frame(from);
        self.join_through_sender(from);
        let Some(body) = frame.body else {
            self.count(Counter::BadMessage);
            return;
        };
        match body {
            FrameBody::Hello(_) => {}
            FrameBody::Join(join) => self.on_join(from, &join),
            FrameBody::JoinReply(reply) => self.on_join_reply(from, &reply),
            FrameBody::Offer(offer) => self.on_offer(from, &offer),
            FrameBody::Pull(pull) => self.on_pull(from, &pull),
            FrameBody::Delta(delta) => self.on_delta(from, &delta),
            FrameBody::Snapshot(snapshot) => self.on_snapshot(from, &snapshot),
            FrameBody::Applied(applied) => self.on_applied(from, &applied),
            FrameBody::Broadcast(broadcast) => self.on_broadcast(broadcast),
            FrameBody::Summary(summary) => self.on_summary(from, &summary),
            FrameBody::SyncMembers(sync) => self.on_sync(from, &sync),
            FrameBody::SyncReply(reply) => self.on_sync_reply(&reply),
            FrameBody::Busy(busy) => self.on_busy(from, &busy),
            FrameBody::StatusPull(_) => self.on_status_pull(from),
            FrameBody::StatusReply(reply) => self.on_status_reply(from, &reply),
        }
    }

    fn on_local(&mut self, event: &LocalEvent) {
        match *event {
            LocalEvent::StartDrain => {
                let mut me = self.me.clone();
                me.state = MemberState::Leaving;
                me.relay = false;
                me.targets.iter_mut().for_each(|target| target.draining = true);
                self.update_own_record(me);
                self.release_slot();
            }
            LocalEvent::DrainComplete => self.leave(),
            LocalEvent::TargetDraining { index, draining } => {
                let mut me = self.me.clone();
                for target in me.targets.iter_mut().filter(|target| target.index == index) {
                    target.draining = draining;
                }
                if me != self.me {
                    self.update_own_record(me);
                }
            }
            LocalEvent::Targets { ref targets, ref tombstones } => {
                let (targets, tombstones) = (targets.clone(), tombstones.clone());
                let me = Member { targets, tombstones, ..self.me.clone() };
                if me != self.me {
                    self.update_own_record(me);
                }
            }
            LocalEvent::Poison(fingerprint) => self.broadcast_poison(fingerprint),
            LocalEvent::PoisonAnswered(fingerprint) => self.withdraw_poison(fingerprint),
            LocalEvent::StatusRequested => self.on_status_request(),
        }
    }

    /// Announces that this member has left, by a broadcast and to a few peers, and releases the
    /// relay slot.
    fn leave(&mut self) {
        let mut me = self.me.clone();
        me.state = MemberState::Left;
        me.relay = false;
        self.update_own_record(me);
        self.run_broadcasts();
        for _ in 0..3 {
            if let Some(peer) = self.random_peer() {
                self.send_ping(peer);
            }
        }
        self.release_slot();
    }

    /// Replaces this node's record, with a higher incarnation, and broadcasts it to the domain.
    pub(crate) fn update_own_record(&mut self, mut me: Member) {
        me.incarnation = self.me.incarnation + 1;
        self.me = me.clone();
        self.store_member(me);
        self.queue_broadcast(&self.me.host.clone());
    }

    /// Stores a record, queues it for gossip and schedules the publication of the member table.
    pub(crate) fn store_member(&mut self, member: Member) {
        let host = member.host.clone();
        if self.roster.get(&host).is_none_or(|old| old.state != member.state) {
            let (domain, state) = (member.domain.clone(), member.state);
            let incarnation = member.incarnation;
            self.log_event(LogEvent::Member { host: host.clone(), domain, state, incarnation });
        }
        if member.domain == self.me.domain {
            self.recent_changes.push_back((self.now, host.clone()));
            if self.recent_changes.len() > 4_096 {
                self.recent_changes.pop_front();
            }
        }
        self.join.unknown_addrs.remove(&member.peer);
        self.roster.put(member, self.now);
        self.gossip.push(&host);
        self.timers.set_no_later(Timer::Members, self.now + MEMBERS_INTERVAL);
        self.timers.set_no_later(Timer::Claim, self.now + Duration::from_millis(500));
    }

    /// Extends the timeouts that ran while the process was paused. Their expiry says nothing about
    /// the peers, and acting on them would put the whole domain under suspicion.
    fn detect_pause(&mut self, now: Instant) {
        let Some(due) = self.timers.next() else { return };
        let late = now.saturating_duration_since(due);
        if late < self.cfg.preset.probe_period {
            return;
        }
        self.count(Counter::Paused);
        self.probe.shift(late);
        for tree in self.trees.values_mut() {
            tree.shift(late);
        }
    }

    fn run_sweep(&mut self) {
        let old: Vec<_> = self
            .roster
            .gone
            .iter()
            .filter(|(host, at)| **at + GONE_RETENTION <= self.now && **host != self.me.host)
            .map(|(host, _)| host.clone())
            .collect();
        for host in old {
            self.roster.forget(&host);
            self.acks.forget(&host);
            self.timers.set_no_later(Timer::Members, self.now + MEMBERS_INTERVAL);
        }
        self.timers.set(Timer::Sweep, self.now + SWEEP_INTERVAL);
    }

    /// Builds a datagram with this node's version id and table digest, and with member records. The
    /// records in `first` take precedence over all others.
    pub(crate) fn packet(&mut self, body: PacketBody, first: &[Arc<Member>]) -> Packet {
        let version_id = self.store.served_id();
        let mut members: Vec<_> = first.iter().map(|member| member_to_wire(member)).collect();
        let used: usize = members.iter().map(dw_wire::Member::size).sum();
        if used > PIGGYBACK_BYTES {
            members.clear();
        }
        let room = PIGGYBACK_BYTES.saturating_sub(used);
        let live = self.roster.live_count(&self.me.domain);
        members.extend(self.gossip.take(&self.roster, room, live, self.now));
        Packet {
            host: self.me.host.to_string(),
            started: self.me.started,
            number: version_id.number,
            prefix: version_id.hash.prefix(),
            digest: self.roster.digest(),
            members,
            ..Packet::new(body)
        }
    }

    pub(crate) fn send_packet(&mut self, to: SocketAddr, packet: Packet) {
        self.out.push(Action::SendPacket { to, packet });
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: FrameBody) {
        self.out.push(Action::SendFrame { to, frame: Frame::new(body) });
    }

    pub(crate) fn call(&mut self, call: PlatformCall) {
        self.out.push(Action::Platform(call));
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.out.push(Action::Count(counter));
    }

    pub(crate) fn log_event(&mut self, event: LogEvent) {
        self.out.push(Action::Log(event));
    }

    /// Returns a uniformly distributed random duration below `bound`.
    pub(crate) fn jitter(&mut self, bound: Duration) -> Duration {
        jitter(&mut self.rng, bound)
    }
}

fn jitter(rng: &mut StdRng, bound: Duration) -> Duration {
    bound.mul_f64(rng.random::<f64>())
}
