//! Simulates a fleet of nodes, with a fake clock, a message queue and a platform, deterministically
//! from one seed, and checks the invariants after each step.

#![allow(clippy::expect_used, clippy::cast_possible_truncation, clippy::print_stderr, dead_code)]

mod checks;
pub(crate) mod link;
mod platform;
pub(crate) mod versions;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dw_mesh::{
    Action, Counter, Input, LocalEvent, Node, NodeConfig, PlatformCallKind, PlatformEvent, Preset,
    PresetName, RolloutState,
};
use dw_tables::{Tombstone, Version, VersionId, validate};
use dw_wire::{decode_packet, encode_packet};
use link::Link;
use platform::Store;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

/// Network faults.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    /// The share of messages that are lost.
    pub(crate) loss: f64,
    /// The share of messages that are delivered twice.
    pub(crate) duplicates: f64,
    /// The longest delay. Each message has a random one, so messages may be reordered.
    pub(crate) delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self { loss: 0.0, duplicates: 0.0, delay: Duration::from_millis(2) }
    }
}

/// A host: its process, if one runs, and what the harness observed of it.
pub(crate) struct Host {
    pub(crate) cfg: NodeConfig,
    pub(crate) node: Option<Node>,
    /// The number of processes started so far. The platform's answers to an earlier process are
    /// dropped.
    pub(crate) process: u64,
    paused: Option<VecDeque<Input>>,
    /// The version that the running process serves.
    pub(crate) served: VersionId,
    /// The highest version number that any process on the host has served.
    pub(crate) highest: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// The network link; `None` for unlimited bandwidth.
    pub(crate) link: Option<Link>,
    pub(crate) counts: BTreeMap<Counter, u64>,
    pub(crate) poison: Vec<u64>,
    /// What peers told the running process about targets of the earlier one; `None` if no peer knew that one.
    pub(crate) former: Option<Vec<Tombstone>>,
}

enum Event {
    Deliver { to: usize, process: Option<u64>, input: Input },
}

/// The simulated fleet.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) platform: Store,
    pub(crate) faults: Faults,
    /// Pairs of sender and receiver between which all messages are lost.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Pairs of hosts whose open connection delivers nothing, with the time since which bytes sent
    /// on it are unacknowledged. Datagrams and new connections work.
    pub(crate) silent: BTreeMap<(usize, usize), Option<Instant>>,
    /// All accepted versions, in order.
    pub(crate) accepted: Vec<Arc<Version>>,
    /// Whether a process may serve a lower version than its host once did. Only for tests in which
    /// no peer can remember that version.
    pub(crate) may_forget: bool,
    /// Time between two checks of the status of all nodes.
    pub(crate) status_every: Duration,
    /// The number of routes that are the same in all accepted versions.
    pub(crate) rows: usize,
    queue: BTreeMap<(Instant, u64), Event>,
    seq: u64,
    rng: StdRng,
    wall_clock: u64,
    status_checked: Instant,
    seed: u64,
}

/// Time after which a connection with unacknowledged bytes fails, as in the daemon.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(900);

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

fn addr(host: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8 + 1], port))
}

impl World {
    /// Creates domains of the given sizes. Each host joins through the first two hosts of its own
    /// domain and the first host of the next one.
    pub(crate) fn new(seed: u64, preset: PresetName, sizes: &[usize]) -> Self {
        let now = Instant::now() + Duration::from_secs(10_000);
        let mut hosts = Vec::new();
        let first_ids: Vec<usize> = sizes
            .iter()
            .scan(0, |sum, size| {
                *sum += size;
                Some(*sum - size)
            })
            .collect();
        for (domain, size) in sizes.iter().enumerate() {
            for idx in 0..*size {
                let id = first_ids[domain] + idx;
                let (name, domain_name) = (format!("host-{id}"), format!("domain-{domain}"));
                let mut cfg = NodeConfig::new(
                    name.as_str().into(),
                    domain_name.as_str().into(),
                    addr(id, 7000),
                    addr(id, 8000),
                );
                let next = first_ids[(domain + 1) % sizes.len()];
                let own = first_ids[domain];
                cfg.join = vec![addr(own, 7000), addr(own + (1 % size), 7000), addr(next, 7000)];
                cfg.preset = Preset::new(preset);
                hosts.push(Host {
                    cfg,
                    node: None,
                    process: 0,
                    paused: None,
                    served: VersionId::default(),
                    highest: 0,
                    sent: 0,
                    received: 0,
                    link: None,
                    counts: BTreeMap::new(),
                    poison: Vec::new(),
                    former: None,
                });
            }
        }
        Self {
            now,
            hosts,
            platform: Store::default(),
            faults: Faults::default(),
            cuts: BTreeSet::new(),
            silent: BTreeMap::new(),
            accepted: Vec::new(),
            may_forget: false,
            status_every: Duration::from_millis(20),
            rows: 0,
            queue: BTreeMap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
            wall_clock: 1_000_000,
            status_checked: now,
            seed,
        }
    }

    /// Creates a running fleet in which all hosts serve version 1.
    pub(crate) fn started(seed: u64, preset: PresetName, sizes: &[usize]) -> Self {
        let mut world = Self::new(seed, preset, sizes);
        world.apply();
        (0..world.hosts.len()).for_each(|id| world.start(id));
        world.run(Duration::from_secs(20));
        world.expect_converged();
        world
    }

    /// Like `started`, but on a durable platform and without join addresses: hosts find each other
    /// only through the relay records.
    pub(crate) fn durable(seed: u64, sizes: &[usize]) -> Self {
        let mut world = Self::new(seed, PresetName::Verband, sizes);
        for host in &mut world.hosts {
            host.cfg.preset.durable = true;
            host.cfg.preset.join_spread = Duration::from_millis(200);
            host.cfg.join.clear();
        }
        world.apply();
        (0..world.hosts.len()).for_each(|id| world.start(id));
        world.run(Duration::from_secs(15));
        world.expect_converged();
        world
    }

    /// Creates a fleet with the periods and the fan-out of the sidecar build; no process runs yet.
    pub(crate) fn sidecars(seed: u64, sizes: &[usize]) -> Self {
        let mut world = Self::new(seed, PresetName::Cooperative, sizes);
        for host in &mut world.hosts {
            host.cfg.preset.durable = true;
            host.cfg.preset.fan_out = 6;
            host.cfg.preset.batch_delay = Duration::from_millis(10);
            host.cfg.preset.probe_period = Duration::from_millis(500);
            host.cfg.preset.join_spread = Duration::from_millis(200);
            host.cfg.preset.in_force = Duration::from_millis(2500);
            host.cfg.join.clear();
        }
        world
    }

    pub(crate) fn random(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    pub(crate) fn id(&self, host: &str) -> usize {
        self.hosts.iter().position(|h| h.cfg.host.as_str() == host).expect("host")
    }

    /// Starts a process on a host, at a later wall-clock time than all earlier ones.
    pub(crate) fn start(&mut self, id: usize) {
        self.wall_clock += 1_000;
        let seed = self.rng.random();
        let host = &mut self.hosts[id];
        host.process += 1;
        host.cfg.incarnation = self.wall_clock;
        host.cfg.seed = seed;
        host.paused = None;
        host.served = VersionId::default();
        host.former = None;
        host.poison.clear();
        host.node = Some(Node::new(host.cfg.clone(), self.now));
    }

    /// Ends the process on a host without notice.
    pub(crate) fn crash(&mut self, id: usize) {
        let host = &mut self.hosts[id];
        host.node = None;
        host.paused = None;
        host.served = VersionId::default();
        self.platform.watches.retain(|(owner, _)| *owner != id);
    }

    pub(crate) fn running(&self, id: usize) -> bool {
        self.hosts[id].node.is_some()
    }

    pub(crate) fn pause(&mut self, id: usize) {
        self.hosts[id].paused = Some(VecDeque::new());
    }

    pub(crate) fn is_paused(&self, id: usize) -> bool {
        self.hosts[id].paused.is_some()
    }

    pub(crate) fn resume(&mut self, id: usize) {
        let waiting = self.hosts[id].paused.take().unwrap_or_default();
        for input in waiting {
            self.feed(id, input);
        }
        self.feed(id, Input::Tick);
    }

    /// Gives an input to the process on a host.
    pub(crate) fn input(&mut self, id: usize, input: Input) {
        self.feed(id, input);
    }

    pub(crate) fn local(&mut self, id: usize, event: LocalEvent) {
        self.feed(id, Input::Local(event));
    }

    /// Loses all messages from one group of hosts to another from now on.
    pub(crate) fn cut(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            self.cuts.extend(to.iter().filter(|b| *b != a).map(|b| (*a, *b)));
        }
    }

    /// Makes the open connection between two hosts deliver nothing from now on.
    pub(crate) fn silence(&mut self, a: usize, b: usize) {
        self.silent.insert(pair(a, b), None);
    }

    /// Returns whether a frame is lost on a connection that delivers nothing. The connection fails
    /// once a frame has been unacknowledged for `UNACKED_TIMEOUT`, and the next frame opens
    /// another.
    fn drops_frame(&mut self, from: usize, to: usize) -> bool {
        let now = self.now;
        let Some(waiting) = self.silent.get_mut(&pair(from, to)) else { return false };
        let since = *waiting.get_or_insert(now);
        if now >= since + UNACKED_TIMEOUT {
            self.silent.remove(&pair(from, to));
            return false;
        }
        if since == now {
            let peer = self.hosts[to].cfg.peer;
            let input = Input::SendFailed { to: peer, refused: false };
            let process = Some(self.hosts[from].process);
            self.enqueue(now + UNACKED_TIMEOUT, Event::Deliver { to: from, process, input });
        }
        true
    }

    /// Returns the hosts that hold a slot.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let mut holders = self.platform.holders(self.now);
        holders.sort_unstable();
        holders
    }

    pub(crate) fn domain(&self, domain: &str) -> Vec<usize> {
        (0..self.hosts.len()).filter(|id| self.hosts[*id].cfg.domain.as_str() == domain).collect()
    }

    fn notify(&mut self, event: &PlatformEvent) {
        for (id, process) in self.platform.watches.clone() {
            if self.platform.reachable(id) {
                let input = Input::Platform(event.clone());
                let at = self.now + Duration::from_millis(2);
                let at = self.receive(id, at, self.platform.head_size);
                self.enqueue(at, Event::Deliver { to: id, process: Some(process), input });
            }
        }
    }

    /// Stops the platform from answering, or makes it answer again.
    pub(crate) fn set_platform_down(&mut self, down: bool) {
        self.platform.down = down;
        if down {
            let all: Vec<usize> = (0..self.hosts.len()).collect();
            self.break_watches(&all);
        }
    }

    /// Disconnects hosts from the platform.
    pub(crate) fn cut_platform(&mut self, ids: &[usize]) {
        self.platform.cut.extend(ids);
        self.break_watches(ids);
    }

    fn break_watches(&mut self, ids: &[usize]) {
        for (id, process) in std::mem::take(&mut self.platform.watches) {
            if !ids.contains(&id) {
                self.platform.watches.insert((id, process));
                continue;
            }
            let reason = "broken".to_owned();
            let event = PlatformEvent::Failed { call: PlatformCallKind::WatchHead, reason };
            let (process, input) = (Some(process), Input::Platform(event));
            self.enqueue(self.now, Event::Deliver { to: id, process, input });
        }
    }

    fn enqueue(&mut self, at: Instant, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    /// Runs the simulation for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut steps = (self.now, 0);
        loop {
            let message = self.queue.keys().next().map(|(at, _)| *at);
            let timer = self
                .hosts
                .iter()
                .enumerate()
                .filter(|(_, host)| host.paused.is_none())
                .filter_map(|(id, host)| Some((host.node.as_ref()?.deadline()?, id)))
                .min();
            let next = message.into_iter().chain(timer.map(|(at, _)| at)).min();
            let Some(at) = next.filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            steps = if steps.0 == self.now { (self.now, steps.1 + 1) } else { (self.now, 0) };
            assert!(steps.1 < 100_000, "seed {}: a node requests ticks endlessly", self.seed);
            if let Some((due, id)) = timer.filter(|(due, _)| message.is_none_or(|m| *due <= m)) {
                debug_assert!(due <= self.now);
                self.feed(id, Input::Tick);
            } else if let Some((_, Event::Deliver { to, process, input })) = self.queue.pop_first()
                && process.is_none_or(|process| process == self.hosts[to].process)
            {
                self.deliver(to, input);
            }
            self.check_status();
        }
        self.now = end;
    }

    fn deliver(&mut self, to: usize, input: Input) {
        match &mut self.hosts[to].paused {
            // The socket buffers of a paused process are bounded.
            Some(waiting) if waiting.len() < 200 => waiting.push_back(input),
            Some(_) => {}
            None => self.feed(to, input),
        }
    }

    fn feed(&mut self, id: usize, input: Input) {
        let now = self.now;
        let Some(node) = self.hosts[id].node.as_mut() else { return };
        let actions = node.handle(input, now);
        for action in actions {
            self.execute(id, action);
        }
    }

    fn execute(&mut self, id: usize, action: Action) {
        match action {
            Action::SendPacket { to, packet } => {
                let bytes = encode_packet(&packet).expect("a datagram within its limit");
                self.hosts[id].sent += bytes.len() as u64 + 28;
                let packet = decode_packet(&bytes).expect("a datagram that was just encoded");
                let from = self.hosts[id].cfg.peer;
                let size = bytes.len() as u64 + 28;
                self.transmit(id, to, size, &Input::Packet { from, packet });
            }
            Action::SendFrame { to, frame } => {
                // 40 bytes of headers for each segment of 1,400 bytes.
                let size = frame.size() as u64;
                let size = size + 40 * size.div_ceil(1_400);
                self.hosts[id].sent += size;
                let from = self.hosts[id].cfg.peer;
                self.transmit(id, to, size, &Input::Frame { from, frame });
            }
            Action::Platform(call) => {
                let owner = (id, self.hosts[id].process);
                let (answer, event) = self.platform.execute(owner, &call, self.now);
                let at = self.now + self.platform.latency();
                if let Some(answer) = answer {
                    let head = matches!(answer, PlatformEvent::HeadRead { .. });
                    let size = if head { self.platform.head_size } else { 0 };
                    let at = self.receive(id, at, size);
                    let input = Input::Platform(answer);
                    self.enqueue(at, Event::Deliver { to: id, process: Some(owner.1), input });
                }
                if let Some(event) = event {
                    self.notify(&event);
                }
            }
            Action::Publish(version) => self.check_published(id, &version),
            Action::Count(counter) => *self.hosts[id].counts.entry(counter).or_default() += 1,
            Action::Poison { fingerprint, .. } => self.hosts[id].poison.push(fingerprint.0),
            Action::WithdrawPoison(fingerprint) => {
                self.hosts[id].poison.retain(|known| *known != fingerprint.0);
            }
            Action::Log(event) => {
                if std::env::var_os("MESH_LOG").is_some() {
                    let at = self.now.duration_since(self.status_checked).as_millis();
                    eprintln!("{:?} +{at} {}: {event:?}", self.now, self.hosts[id].cfg.host);
                }
            }
            Action::Reconnect { to } => {
                let peer = self.hosts.iter().position(|host| host.cfg.peer == to);
                peer.and_then(|peer| self.silent.remove(&pair(id, peer)));
            }
            Action::FormerTargets(tombstones) => self.hosts[id].former = Some(tombstones),
            Action::Members(_) | Action::Refused(_) => {}
        }
    }

    /// Returns when a host has sent a message that it begins to send now.
    fn occupy(&mut self, id: usize, size: u64) -> Instant {
        let now = self.now;
        self.hosts[id].link.as_mut().map_or(now, |link| link.send(now, size))
    }

    /// Returns when a host has received a message that begins to arrive at the given time.
    fn receive(&mut self, id: usize, at: Instant, size: u64) -> Instant {
        self.hosts[id].link.as_mut().map_or(at, |link| link.receive(at, size))
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, size: u64, input: &Input) {
        let Some(id) = self.hosts.iter().position(|host| host.cfg.peer == to) else { return };
        let delay = self.faults.delay.mul_f64(self.rng.random::<f64>());
        let frame = matches!(input, Input::Frame { .. });
        let start = self.occupy(from, size);
        let at = start + Duration::from_micros(300) + delay;
        let cut = self.cuts.contains(&(from, id)) || (frame && self.cuts.contains(&(id, from)));
        let lost = cut || self.rng.random::<f64>() < self.faults.loss;
        if lost || !self.running(id) {
            if frame {
                let refused = !cut && !self.running(id);
                let at = if refused { at } else { at + Duration::from_millis(500) };
                let failed = Input::SendFailed { to, refused };
                let process = Some(self.hosts[from].process);
                self.enqueue(at, Event::Deliver { to: from, process, input: failed });
            }
            return;
        }
        if frame && self.drops_frame(from, id) {
            return;
        }
        self.hosts[id].received += size;
        let at = self.receive(id, at, size);
        let event = |input: &Input| Event::Deliver { to: id, process: None, input: input.clone() };
        self.enqueue(at, event(input));
        if self.rng.random::<f64>() < self.faults.duplicates {
            let extra = self.faults.delay.mul_f64(2.0 * self.rng.random::<f64>());
            self.enqueue(at + extra, event(input));
        }
    }

    /// Asserts that a published version was accepted, is complete and valid, and is higher than the
    /// one that the host served before.
    fn check_published(&mut self, id: usize, version: &Arc<Version>) {
        let (seed, host) = (self.seed, &mut self.hosts[id]);
        let name = host.cfg.host.clone();
        assert!(
            self.accepted.iter().any(|accepted| **accepted == **version),
            "seed {seed}: {name} serves version {} that was not accepted",
            version.number
        );
        let whole = Version::new(version.number, version.tables.clone());
        assert_eq!(
            whole.hash, version.hash,
            "seed {seed}: {name} serves rows that do not match the hash"
        );
        assert!(validate(&version.tables).is_empty(), "seed {seed}: {name} serves invalid tables");
        assert!(
            version.number > host.served.number,
            "seed {seed}: {name} goes from version {} to {}",
            host.served.number,
            version.number
        );
        assert!(
            self.may_forget || version.number >= host.highest,
            "seed {seed}: {name} serves {} after a restart and served {} before",
            version.number,
            host.highest
        );
        host.served = version.id();
        host.highest = host.highest.max(version.number);
    }

    /// Asserts that no node reports a version in force while a process serves a lower one.
    fn check_status(&mut self) {
        if self.now < self.status_checked + self.status_every {
            return;
        }
        self.status_checked = self.now;
        let lowest = self
            .hosts
            .iter()
            .filter(|host| host.served.number > 0)
            .min_by_key(|host| host.served.number);
        let Some(lowest) = lowest else { return };
        for host in &self.hosts {
            if host.paused.is_some() {
                continue;
            }
            let Some(status) = host.node.as_ref().map(Node::status) else { continue };
            assert!(
                status.state != RolloutState::InForce
                    || status.version.number <= lowest.served.number,
                "seed {}: {} reports version {} in force while {} serves {}: {status:?}",
                self.seed,
                host.cfg.host,
                status.version.number,
                lowest.cfg.host,
                lowest.served.number
            );
        }
    }
}
