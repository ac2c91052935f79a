//! A simulated fleet without a network: daemons with real dispatchers, targets of two versions, a store that
//! fails, and the leader of a rollout.

#![allow(dead_code, clippy::expect_used, clippy::panic)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dw_request::{
    AttemptId, AttemptOutcome, Decision, Dispatcher, DispatcherConfig, Endpoint, EndpointState,
    EvidenceReport, Next, Reason, RequestInfo, RetryAfterPolicy, RolloutAction, RolloutInput,
    RolloutLeader, RolloutOrder, RolloutPolicy, RolloutState, RolloutStep, VersionShare,
};
use dw_tables::{Name, Tables, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

pub(crate) const SERVICE: &str = "tally";
const DOMAINS: [&str; 3] = ["portland", "worcester", "hartford"];

/// The routes with their part of the requests and the mean service time in ms.
const ROUTES: [(&str, f64, f64); 3] =
    [("/lookup", 0.6, 5.0), ("/credit", 0.3, 12.0), ("/rest", 0.1, 8.0)];

/// Wall-clock time of the start, in ms.
const EPOCH: u64 = 1_800_000_000_000;

/// How a version responds badly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Part of the responses that are bad.
    pub(crate) part: f64,
    /// Factor by which they are slower; 0 if they fail.
    pub(crate) factor: f64,
    /// From when, in ms after the order.
    pub(crate) from: u64,
    /// On which route only.
    pub(crate) route: Option<usize>,
    /// Only with at least this many requests at the target.
    pub(crate) load: u32,
}

pub(crate) const FAILING: Fault = Fault { part: 0.3, factor: 0.0, from: 0, route: None, load: 0 };
pub(crate) const SLOW: Fault = Fault { part: 0.6, factor: 5.0, from: 0, route: None, load: 0 };

/// What happens in a run; times in ms after the order.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) fault: Option<Fault>,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time and factor of a burst.
    pub(crate) burst: Option<(u64, u64, f64)>,
    /// How long new targets are cold, and how much slower until then.
    pub(crate) cold: (u64, f64),
    /// Part of the responses of every version that fail.
    pub(crate) noise: f64,
    pub(crate) duration: u64,
    /// When the leader dies.
    pub(crate) leader_dies: Option<u64>,
    /// When the leader dies, as a step: on the first action that satisfies it.
    pub(crate) dies_at: Option<fn(&RolloutAction) -> bool>,
    /// While the store fails.
    pub(crate) store_down: Option<(u64, u64)>,
    /// While the first domain cannot exchange messages with the others, and the store.
    pub(crate) cut: Option<(u64, u64)>,
    /// Further orders: time, id and version.
    pub(crate) orders: Vec<(u64, RolloutOrder)>,
    /// Total time.
    pub(crate) end: u64,
}

pub(crate) fn order(id: u64, version: &str, duration: u64) -> RolloutOrder {
    RolloutOrder { id, version: version.into(), duration, paused: false, aborted: false }
}

impl Scenario {
    pub(crate) fn new(seed: u64, fault: Option<Fault>) -> Self {
        Self {
            seed,
            fault,
            rate: 500.0,
            burst: None,
            cold: (0, 1.0),
            noise: 0.0,
            duration: 12_000,
            leader_dies: None,
            dies_at: None,
            store_down: None,
            cut: None,
            orders: vec![(0, order(1, "v2", 12_000))],
            end: 14_000,
        }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) state: Option<RolloutState>,
    /// When the last state was stored, in ms after the order.
    pub(crate) ended: u64,
    /// Requests sent to v2 and to all versions until the time limit.
    pub(crate) exposed: u64,
    pub(crate) all: u64,
    /// When the 50th bad response of v2 ended, and when the last request was sent to it.
    pub(crate) fiftieth_bad: Option<u64>,
    pub(crate) last_sent: u64,
    pub(crate) store_calls: u64,
    pub(crate) refused: u64,
    /// Whether an attempt at v2 followed one at v1 of the same request before the rollout was complete.
    pub(crate) wrong_retry: bool,
    /// Requests sent to each target of v2 after the order has reached the daemons.
    pub(crate) by_host: BTreeMap<Name, u64>,
}

impl Outcome {
    pub(crate) fn step(&self) -> Option<RolloutStep> {
        self.state.as_ref().map(|state| state.step)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.step() == Some(RolloutStep::Complete)
    }

    pub(crate) fn is_rolled_back(&self) -> bool {
        matches!(self.step(), Some(RolloutStep::RolledBack(_)))
    }

    /// The bound on the requests that a bad version receives.
    pub(crate) fn is_bounded(&self) -> bool {
        self.exposed * 10 <= self.all + 500
    }

    /// The bound on the time until a bad version receives no more requests.
    pub(crate) fn is_detected(&self) -> bool {
        self.fiftieth_bad.is_none_or(|at| self.last_sent <= at + 5_000)
    }
}

enum Event {
    Done {
        daemon: usize,
        id: AttemptId,
        target: usize,
        bad: bool,
        outcome: AttemptOutcome,
        old: bool,
    },
    Share {
        daemon: usize,
        share: VersionShare,
    },
    Report(EvidenceReport),
    Leader(u64, RolloutInput),
    Stop,
}

struct Daemon {
    dispatcher: Dispatcher,
    host: Name,
    domain: usize,
}

struct Server {
    endpoint: Endpoint,
    version: &'static str,
    alive: bool,
    busy: u32,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    rng: SmallRng,
    base: Instant,
    now: u64,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    leader: Option<RolloutLeader>,
    /// Distinguishes the messages to an earlier leader.
    term: u64,
    elected_at: Option<u64>,
    order: Option<RolloutOrder>,
    stored: Option<RolloutState>,
    revision: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    bad: u64,
    out: Outcome,
}

impl Fleet {
    pub(crate) fn run(scenario: Scenario) -> Outcome {
        let mut fleet = Self::new(scenario);
        while fleet.now < fleet.scenario.end {
            fleet.step();
        }
        fleet.out.state = fleet.stored.clone();
        fleet.out
    }

    fn new(scenario: Scenario) -> Self {
        let base = Instant::now() + Duration::from_secs(60);
        let routes: Vec<_> = ROUTES
            .iter()
            .map(|(path, ..)| {
                let (name, repeat) =
                    (&path[1..], if *path == "/credit" { "once" } else { "idempotent" });
                format!(
                    r#"{{"name": "{name}", "match": {{"path": "{path}"}}, "pool": "tally",
                        "repeat": "{repeat}", "retries": 2}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"routes": [{}], "pools": [{{"name": "tally", "service": "tally"}}]}}"#,
            routes.join(",")
        );
        let version = Arc::new(Version::new(1, Tables::from_canonical(&text).expect("tables")));
        let mut servers = Vec::new();
        for (version, started, warm) in
            [("v1", base - Duration::from_secs(50), 0), ("v2", base, scenario.cold.0)]
        {
            for idx in 0..9 {
                let domain = DOMAINS[idx % DOMAINS.len()];
                servers.push(Server {
                    endpoint: Endpoint {
                        host: format!("{version}-{idx}").into(),
                        target: 0,
                        service: SERVICE.into(),
                        domain: domain.into(),
                        region: "new-england".into(),
                        addr: ([127, 0, 0, 1], 1).into(),
                        slots: 10,
                        connections: 100,
                        state: EndpointState::Alive,
                        started,
                        version: Some(version.into()),
                        warm: (warm > 0).then(|| base + Duration::from_millis(warm)),
                    },
                    version,
                    alive: true,
                    busy: 0,
                });
            }
        }
        let daemons = (0..9).map(|idx| {
            let domain = idx % DOMAINS.len();
            let host = Name::from(format!("daemon-{idx}"));
            let mut dispatcher = Dispatcher::new(DispatcherConfig {
                reroutes: 2,
                retry_after: RetryAfterPolicy::Spread,
                host: host.clone(),
                domain: DOMAINS[domain].into(),
                region: "new-england".into(),
                seed: scenario.seed * 100 + idx as u64,
            });
            dispatcher.set_version(version.clone());
            dispatcher.set_endpoints(servers.iter().map(|s| s.endpoint.clone()).collect());
            Daemon { dispatcher, host, domain }
        });
        let daemons = daemons.collect();
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(scenario.seed),
            base,
            now: 0,
            daemons,
            servers,
            leader: None,
            term: 0,
            elected_at: Some(0),
            order: None,
            stored: None,
            revision: 0,
            events: BTreeMap::new(),
            sequence: 0,
            bad: 0,
            out: Outcome::default(),
            scenario,
        };
        fleet.elect();
        fleet
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn within(&self, span: Option<(u64, u64)>) -> bool {
        span.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Whether the daemon cannot reach the leader, which is in the second domain.
    fn is_cut(&self, daemon: usize) -> bool {
        self.daemons[daemon].domain == 0 && self.within(self.scenario.cut)
    }

    fn push(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after.max(1), self.sequence), event);
    }

    fn step(&mut self) {
        self.now += 1;
        for idx in 0..self.scenario.orders.len() {
            let (at, order) = self.scenario.orders[idx].clone();
            if at + 1 == self.now {
                self.order = Some(order.clone());
                self.push(5, Event::Leader(self.term, RolloutInput::Order(order)));
            }
        }
        if self.scenario.leader_dies == Some(self.now) {
            self.kill_leader();
        }
        if self.elected_at == Some(self.now) {
            self.elect();
        }
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            self.on_event(event);
        }
        if self.now.is_multiple_of(500) {
            for daemon in 0..self.daemons.len() {
                let at = self.instant();
                self.daemons[daemon].dispatcher.check_rollouts(at);
                self.report(daemon);
            }
            self.send_members();
        }
        if self.now.is_multiple_of(100) {
            self.input(RolloutInput::Tick);
        }
        let burst = self.scenario.burst.filter(|(from, to, _)| (*from..*to).contains(&self.now));
        let mean = self.scenario.rate / 1000.0 * burst.map_or(1.0, |burst| burst.2);
        let mut left = mean;
        while left > 0.0 {
            if self.rng.random::<f64>() < left {
                self.request();
            }
            left -= 1.0;
        }
    }

    fn kill_leader(&mut self) {
        self.leader = None;
        self.term += 1;
        self.elected_at = Some(self.now + 3_000);
    }

    fn elect(&mut self) {
        self.leader = Some(RolloutLeader::new(SERVICE.into(), RolloutPolicy::default()));
        self.elected_at = None;
        self.send_members();
        if let Some(order) = self.order.clone() {
            self.input(RolloutInput::Order(order));
        }
    }

    fn send_members(&mut self) {
        // A daemon that is cut off is declared dead after 2 s.
        let declared = self.scenario.cut.map(|(from, to)| (from + 2_000, to));
        let declared = self.within(declared);
        let hosts = self.daemons.iter().filter(|d| d.domain != 0 || !declared);
        let hosts: BTreeSet<_> = hosts.map(|daemon| daemon.host.clone()).collect();
        let live = self.servers.iter().filter(|server| server.alive);
        let versions: BTreeSet<_> = live.map(|server| Some(Name::from(server.version))).collect();
        let recent = Some(versions.clone());
        self.input(RolloutInput::Members { hosts, versions, recent });
    }

    fn input(&mut self, input: RolloutInput) {
        let Some(leader) = &mut self.leader else { return };
        let actions = leader.handle(input, EPOCH + self.now);
        for action in actions {
            let dies = self.scenario.dies_at.is_some_and(|dies| self.term == 0 && dies(&action));
            if dies {
                // The action still takes effect; its result reaches nobody.
                self.kill_leader();
            }
            self.perform(action);
            if dies {
                return;
            }
        }
    }

    fn perform(&mut self, action: RolloutAction) {
        match action {
            RolloutAction::Announce(share) => {
                for daemon in 0..self.daemons.len() {
                    let delay = self.rng.random_range(2..20);
                    if !self.is_cut(daemon) {
                        self.push(delay, Event::Share { daemon, share: share.clone() });
                    }
                }
            }
            RolloutAction::Read => {
                self.out.store_calls += 1;
                let result = match self.within(self.scenario.store_down) {
                    true => RolloutInput::StoreFailed,
                    false => {
                        RolloutInput::State { state: self.stored.clone(), revision: self.revision }
                    }
                };
                self.push(8, Event::Leader(self.term, result));
            }
            RolloutAction::ReadRelays => {
                self.out.store_calls += 1;
                let relays = self.daemons.iter().map(|daemon| daemon.host.clone()).collect();
                self.push(8, Event::Leader(self.term, RolloutInput::Relays(relays)));
            }
            RolloutAction::Write { state, revision } => {
                self.out.store_calls += 1;
                let down = self.within(self.scenario.store_down);
                // A store that fails may still carry out the write.
                let lost = down && self.rng.random_bool(0.7);
                let conflict = revision != self.revision;
                if !lost && !conflict {
                    self.revision += 1;
                    self.out.ended = self.now;
                    if state.step == RolloutStep::Complete && state.version.as_str() == "v2" {
                        self.push(10, Event::Stop);
                    }
                    self.stored = Some(state);
                }
                let result = match (down, conflict) {
                    (true, _) => RolloutInput::StoreFailed,
                    (false, true) => RolloutInput::Conflict,
                    (false, false) => RolloutInput::Stored { revision: self.revision },
                };
                self.push(8, Event::Leader(self.term, result));
            }
        }
    }

    fn report(&mut self, daemon: usize) {
        if self.is_cut(daemon) {
            return;
        }
        let Daemon { dispatcher, host, .. } = &self.daemons[daemon];
        let reports: Vec<_> = dispatcher.rollout_reports(host, 1);
        for report in reports {
            // Reports overtake each other.
            let delay = self.rng.random_range(2..40);
            self.push(delay, Event::Report(report));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Share { daemon, share } => {
                let at = self.instant();
                if self.daemons[daemon].dispatcher.set_share(share, at) {
                    self.report(daemon);
                }
            }
            Event::Report(report) => self.input(RolloutInput::Report(report)),
            Event::Leader(term, input) if term == self.term => self.input(input),
            Event::Leader(..) => {}
            Event::Stop => {
                for server in &mut self.servers {
                    if server.version != "v2" {
                        server.alive = false;
                        server.endpoint.state = EndpointState::Dead;
                    }
                }
                let list: Vec<_> = self.servers.iter().map(|s| s.endpoint.clone()).collect();
                for daemon in &mut self.daemons {
                    daemon.dispatcher.set_endpoints(list.clone());
                }
                self.send_members();
            }
            Event::Done { daemon, id, target, bad, outcome, old } => {
                self.servers[target].busy -= 1;
                if bad && !old {
                    self.bad += 1;
                    if self.bad == 50 {
                        self.out.fiftieth_bad = Some(self.now);
                    }
                }
                self.settle(daemon, id, outcome, old);
            }
        }
    }

    fn settle(&mut self, daemon: usize, id: AttemptId, outcome: AttemptOutcome, old: bool) {
        let at = self.instant();
        match self.daemons[daemon].dispatcher.settle(id, outcome, at) {
            Next::Retry { attempt, .. } => {
                let complete =
                    self.stored.as_ref().is_some_and(|s| s.step == RolloutStep::Complete);
                let new = attempt.endpoint.version == Some("v2".into());
                self.out.wrong_retry |= old && new && !complete;
                self.send(daemon, attempt.id, &attempt.endpoint, &attempt.route.name);
            }
            Next::Refuse(_) => self.out.refused += 1,
            Next::Deliver => {}
        }
    }

    fn request(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let mut draw = self.rng.random::<f64>();
        let route = ROUTES.iter().find(|(_, part, _)| {
            draw -= part;
            draw < 0.0
        });
        let path = route.map_or("/lookup", |route| route.0);
        let info = RequestInfo { host: "kiosk", path, method: "GET", ..RequestInfo::default() };
        let limit = self.now <= self.scenario.duration;
        self.out.all += u64::from(limit);
        let at = self.instant();
        match self.daemons[daemon].dispatcher.begin(info, at) {
            Decision::Forward(attempt) => {
                self.send(daemon, attempt.id, &attempt.endpoint, &attempt.route.name);
            }
            Decision::Refuse(_) => self.out.refused += 1,
        }
    }

    fn send(&mut self, daemon: usize, id: AttemptId, endpoint: &Arc<Endpoint>, route: &Name) {
        let target = self.servers.iter().position(|s| s.endpoint.host == endpoint.host);
        let target = target.expect("target");
        let old = self.servers[target].version != "v2";
        if !self.servers[target].alive {
            let reason = Reason::ConnectFailed;
            let outcome = AttemptOutcome::NotRun { reason, retry_after: None, load: None };
            self.servers[target].busy += 1;
            return self.push(1, Event::Done { daemon, id, target, bad: false, outcome, old });
        }
        if !old {
            self.out.exposed += u64::from(self.now <= self.scenario.duration);
            self.out.last_sent = self.now;
            // Before the order has reached the daemons, all targets receive requests.
            if self.now > 100 {
                *self.out.by_host.entry(endpoint.host.clone()).or_default() += 1;
            }
        }
        let route = ROUTES.iter().position(|r| r.0[1..] == ***route).expect("route");
        let (cold, cold_factor) = self.scenario.cold;
        let server = &mut self.servers[target];
        server.busy += 1;
        let slots = f64::from(server.endpoint.slots);
        let mut time = ROUTES[route].2 * (0.6 - 0.4 * (1.0 - self.rng.random::<f64>()).ln());
        // Beyond its slots, requests wait.
        time *= (f64::from(server.busy) / slots).max(1.0);
        if !old && self.now < cold {
            time *= cold_factor;
        }
        let fault = self.scenario.fault.filter(|fault| {
            !old && self.now >= fault.from
                && fault.route.is_none_or(|only| only == route)
                && server.busy > fault.load
        });
        let fault = fault.filter(|fault| self.rng.random_bool(fault.part));
        let noise = self.rng.random_bool(self.scenario.noise);
        let failed = noise || fault.is_some_and(|fault| fault.factor == 0.0);
        time *= fault.map_or(1.0, |fault| fault.factor.max(1.0));
        let latency = Duration::from_secs_f64(time / 1000.0);
        let status = if failed { 500 } else { 200 };
        let outcome = AttemptOutcome::Answered { status, load: None, latency };
        let after = u64::try_from(latency.as_millis()).unwrap_or(1);
        let bad = failed || fault.is_some();
        self.push(after, Event::Done { daemon, id, target, bad, outcome, old });
    }
}
