use std::{collections::HashMap, sync::Arc};

use dw_tables::{Name, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Attempt, AttemptId, AttemptOutcome, Decision, Endpoint, EndpointState, Entry, Next, Poison,
    Reason, Refusal, RequestInfo, Router,
};

/// Where the dispatcher runs.
#[derive(Clone, Debug, Default)]
pub struct DispatcherConfig {
    /// Own host.
    pub host: Name,
    /// Own failure domain.
    pub domain: Name,
    /// Own region.
    pub region: Name,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Decides on the caller's side where each request goes, and what follows each attempt.
#[derive(Debug)]
pub struct Dispatcher {
    #[expect(dead_code, reason = "read by the locality rules")]
    config: DispatcherConfig,
    version: Arc<Version>,
    router: Arc<Router>,
    endpoints: Vec<Arc<Endpoint>>,
    poison: Poison,
    rng: SmallRng,
    flights: HashMap<u64, Entry>,
    next: u64,
    draining: bool,
}

impl Dispatcher {
    /// A dispatcher without a version; it refuses requests as not ready.
    #[must_use]
    pub fn new(config: DispatcherConfig) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            version: Arc::default(),
            router: Arc::default(),
            endpoints: Vec::new(),
            poison: Poison::default(),
            rng,
            flights: HashMap::new(),
            next: 0,
            draining: false,
        }
    }

    /// Starts to use a version; requests in flight keep the one they began with.
    pub fn set_version(&mut self, version: Arc<Version>) {
        self.router = Arc::new(Router::new(&version));
        self.version = version;
    }

    /// Replaces the view of the targets of all services.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.endpoints = endpoints.into_iter().map(Arc::new).collect();
    }

    /// The routes of the current version, for lookups before a request begins.
    #[must_use]
    pub fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut Poison {
        &mut self.poison
    }

    /// Decides on a new request.
    pub fn begin(&mut self, info: RequestInfo<'_>, now: Instant) -> Decision {
        if self.draining {
            return Decision::Refuse(Refusal::new(Reason::Draining));
        }
        if self.version.number == 0 {
            return Decision::Refuse(Refusal::new(Reason::NotReady));
        }
        let Some(entry) = self.router.find(info.host, info.path, info.method).cloned() else {
            return Decision::Refuse(Refusal::new(Reason::NoRoute));
        };
        if info.fingerprint().is_some_and(|print| self.poison.refuses(print, now)) {
            return Decision::Refuse(Refusal::new(Reason::Poisoned));
        }
        let pool = &self.version.tables.pools[entry.pool];
        let alive: Vec<&Arc<Endpoint>> = self
            .endpoints
            .iter()
            .filter(|e| e.service == pool.service && e.state == EndpointState::Alive)
            .collect();
        if alive.is_empty() {
            return Decision::Refuse(Refusal::new(Reason::NoTarget));
        }
        let endpoint = Arc::clone(alive[self.rng.random_range(0..alive.len())]);
        self.next += 1;
        let timeout = info.timeout.unwrap_or(entry.route.deadline.into());
        let attempt = Attempt {
            id: AttemptId(self.next),
            endpoint,
            timeout: timeout.min(entry.route.deadline.into()),
            route: Arc::clone(&entry.route),
            repeat: entry.route.repeat,
            retried: info.retried,
            depth: info.depth.saturating_add(1),
            cause: None,
        };
        self.flights.insert(self.next, entry);
        Decision::Forward(attempt)
    }

    /// Decides what follows an attempt. Each attempt is settled once.
    pub fn settle(&mut self, id: AttemptId, outcome: AttemptOutcome, _now: Instant) -> Next {
        if self.flights.remove(&id.0).is_none() {
            return Next::Deliver;
        }
        match outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Cancelled => Next::Deliver,
            AttemptOutcome::NotRun { reason, retry_after, .. } => {
                let refusal = Refusal::new(reason);
                Next::Refuse(refusal.with_retry_after(retry_after.unwrap_or(refusal.retry_after)))
            }
            AttemptOutcome::Unknown { reason } => Next::Refuse(Refusal::new(reason).with_unknown()),
        }
    }

    /// Refuses new requests as not run from now on.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Attempts in flight, including retries that wait for their delay.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }
}
