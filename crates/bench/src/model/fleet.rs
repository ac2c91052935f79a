use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dw_request::{
    AttemptId, Dispatcher, DispatcherConfig, Endpoint, EndpointState, Gate, GateConfig, Goal, Rate,
    Ticket,
};
use dw_tables::{
    Capacity, Ejection, Limits, Match, Millis, Name, Pool, Route, Tables, UnknownFields, Version,
};
use tokio::time::Instant;

use super::{scenario::RouteLoad, simulation::Simulation};

/// The region of all hosts.
const REGION: &str = "region";

/// The host header of all requests; routes differ by path.
pub(super) const REQUEST_HOST: &str = "fleet";

/// Connections that a target accepts per slot.
const CONNECTIONS_PER_SLOT: u32 = 10;

/// A host with its target.
pub(super) struct Node {
    pub(super) gate: Gate,
    pub(super) dispatcher: Dispatcher,
    /// Requests that wait at the gate, each with its attempt.
    pub(super) waiting: BTreeMap<Ticket, (usize, AttemptId)>,
    pub(super) alive: bool,
    /// Whether it has stopped for good.
    pub(super) lost: bool,
    /// Factor by which its target is slower now.
    pub(super) slowdown: f64,
    /// Factor by which noise makes its target slower now.
    pub(super) noise: f64,
    /// Share of the requests that its target refuses now.
    pub(super) refused_share: f64,
    /// The limit that its target states now.
    pub(super) limit: Option<Rate>,
    /// Whether its target has started to leave.
    pub(super) leaving: bool,
    /// Whether a response has reported that its target is leaving.
    pub(super) leave_reported: bool,
    /// Until when its target is cold after a start, and by which factor it is slower until then.
    pub(super) cold: Option<(Instant, f64)>,
    /// When its target started.
    pub(super) started: Instant,
    /// How many times it was restarted.
    pub(super) restarts: u32,
}

impl Node {
    /// The load that its daemon reports with the response to a request with this goal.
    pub(super) fn load(&self, goal: Option<&Goal>) -> dw_request::Load {
        dw_request::Load { leaving: self.leave_reported, ..self.gate.load_for(goal) }
    }
}

impl Simulation<'_> {
    /// Creates the host of index `idx`, whose target started at `started`.
    pub(super) fn new_node(&self, idx: usize, started: Instant, restarts: u32) -> Node {
        let host = &self.scenario.hosts[idx];
        let config = GateConfig {
            slots: host.slots,
            connections: host.slots * CONNECTIONS_PER_SLOT,
            policies: self.policies.gate,
            ..GateConfig::default()
        };
        let mut gate = Gate::new(config);
        gate.set_queue(self.policies.queue, Duration::from_secs(1));
        gate.set_capacity(self.capacity());
        let mut dispatcher = Dispatcher::new(DispatcherConfig {
            host: host_name(idx),
            domain: host.domain.clone(),
            region: REGION.into(),
            seed: self.seed * 1000 + idx as u64,
            reroutes: self.policies.reroutes,
            retry_after: self.policies.returns,
        });
        dispatcher.set_version(Arc::new(self.version()));
        Node {
            gate,
            dispatcher,
            waiting: BTreeMap::new(),
            alive: true,
            lost: false,
            slowdown: 1.0,
            noise: 1.0,
            refused_share: 0.0,
            limit: None,
            leaving: false,
            leave_reported: false,
            cold: None,
            started,
            restarts,
        }
    }

    /// The capacity of all pools.
    const fn capacity(&self) -> Capacity {
        match self.scenario.capacity {
            Capacity::Learned => self.policies.capacity,
            Capacity::Fixed => Capacity::Fixed,
        }
    }

    /// The tables of the scenario.
    fn version(&self) -> Version {
        let mut services: Vec<&Name> = self.scenario.hosts.iter().map(|h| &h.service).collect();
        services.sort_unstable();
        services.dedup();
        let pool = |service: &&Name| Pool {
            name: (*service).clone(),
            service: (*service).clone(),
            balance: self.policies.balance,
            limits: Limits { queue: self.policies.queue, ..Limits::default() },
            prefer: self.policies.prefer,
            drain: Millis::new(30_000),
            ejection: Ejection::default(),
            capacity: self.capacity(),
            unknown: UnknownFields::default(),
        };
        let route = |load: &RouteLoad| Route {
            name: load.name.clone(),
            matches: Match {
                host: REQUEST_HOST.into(),
                path: Name::from(format!("/{}", load.name)),
                methods: Vec::new(),
                unknown: UnknownFields::default(),
            },
            pool: load.service.clone(),
            split: Vec::new(),
            repeat: load.repeat,
            deadline: load.deadline,
            retries: 1,
            priority: load.priority,
            objective: load.objective,
            public: false,
            unknown: UnknownFields::default(),
        };
        let routes = self.scenario.routes.iter().map(route).collect();
        let pools = services.iter().map(pool).collect();
        Version::new(1, Tables { routes, pools, ..Tables::default() })
    }

    /// Passes the current targets to all dispatchers.
    pub(super) fn update_endpoints(&mut self) {
        let endpoint = |(idx, node): (usize, &Node)| {
            let host = &self.scenario.hosts[idx];
            Endpoint {
                host: host_name(idx),
                target: u16::try_from(node.restarts).unwrap_or(u16::MAX),
                service: host.service.clone(),
                domain: host.domain.clone(),
                region: REGION.into(),
                addr: ([127, 0, 0, 1], 1).into(),
                slots: host.slots,
                connections: host.slots * CONNECTIONS_PER_SLOT,
                state: if node.alive { EndpointState::Alive } else { EndpointState::Dead },
                started: node.started,
                version: None,
                warm: None,
            }
        };
        let endpoints: Vec<_> = self.nodes.iter().enumerate().map(endpoint).collect();
        self.nodes.iter_mut().for_each(|node| node.dispatcher.set_endpoints(endpoints.clone()));
    }
}

/// The name of the host with index `idx`.
pub(super) fn host_name(idx: usize) -> Name {
    Name::from(idx.to_string())
}

/// The index of the host with this name.
pub(super) fn host_index(name: &str) -> usize {
    name.parse().unwrap_or_default()
}
