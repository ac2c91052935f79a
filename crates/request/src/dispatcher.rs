use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dw_tables::{Name, Repeat, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Attempt, AttemptId, AttemptOutcome, Decision, Endpoint, EndpointState, Fingerprint, Goal, Next,
    PoisonList, Reason, Refusal, RequestInfo, Router, TargetChange, backoff,
    balancer::Wish,
    caller_timeouts::Patience,
    locality::Place,
    pending::{Flight, LostAttempts},
    retry_after::{self, RetryAfterPolicy},
    target::Observation,
    upstream::Upstream,
    verdict::{Verdict, is_before_target, is_final, is_local, is_overload},
    view::Choice,
};

/// Calls above a request beyond which it is taken for a loop; real chains have up to 8.
const MAX_DEPTH: u8 = 16;

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
    /// Attempts at further targets after refusals of the daemons beside them, in addition to the
    /// retries of the route. They are no load on any target, so neither the retry budget nor a
    /// delay applies.
    pub reroutes: u32,
    /// When refused callers are asked to come back.
    pub returns: RetryAfterPolicy,
}

/// Decides on the caller's side where each request goes, and what follows each attempt.
#[derive(Debug)]
pub struct Dispatcher {
    place: Place,
    moves: u32,
    returns: RetryAfterPolicy,
    patience: HashMap<Name, Patience>,
    version: Arc<Version>,
    router: Arc<Router>,
    /// State of the pools; `pools` holds the keys in the order of the version's table.
    upstreams: BTreeMap<u64, Upstream>,
    pools: Vec<u64>,
    services: HashMap<Name, Vec<Arc<Endpoint>>>,
    /// Daemons with targets, which all send requests.
    daemons: usize,
    poison: PoisonList,
    lost: LostAttempts,
    rng: SmallRng,
    flights: HashMap<u64, Flight>,
    next: u64,
    draining: bool,
}

impl Dispatcher {
    /// A dispatcher without a version; it refuses requests as not ready.
    #[must_use]
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            place: Place { domain: config.domain, region: config.region },
            moves: config.reroutes,
            returns: config.returns,
            patience: HashMap::new(),
            version: Arc::default(),
            router: Arc::default(),
            upstreams: BTreeMap::new(),
            pools: Vec::new(),
            services: HashMap::new(),
            daemons: 1,
            poison: PoisonList::default(),
            lost: LostAttempts::default(),
            rng: SmallRng::seed_from_u64(config.seed),
            flights: HashMap::new(),
            next: 0,
            draining: false,
        }
    }

    /// Starts to use a version; requests in flight keep the routes and pools they began with.
    pub fn set_version(&mut self, version: Arc<Version>) {
        self.router = Arc::new(Router::new(&version));
        self.version = version;
        let names: HashSet<_> = self.version.tables.routes.iter().map(|r| &r.name).collect();
        self.patience.retain(|name, _| names.contains(name));
        self.upstreams.values_mut().for_each(|upstream| upstream.current = false);
        let old: HashMap<Name, u64> =
            self.upstreams.iter().map(|(key, u)| (u.pool.name.clone(), *key)).collect();
        self.pools.clear();
        for pool in &self.version.tables.pools {
            let kept = old.get(&pool.name).copied().filter(|key| self.upstreams[key].is(pool));
            let key = kept.unwrap_or_else(|| {
                self.next += 1;
                self.upstreams.insert(self.next, Upstream::new(pool.clone(), self.place.clone()));
                self.next
            });
            self.pools.push(key);
            if let Some(upstream) = self.upstreams.get_mut(&key) {
                upstream.adopt(pool);
                upstream.budget.set_daemons(self.daemons);
                upstream.update(self.services.get(&pool.service).map_or(&[], Vec::as_slice));
            }
        }
        self.upstreams.retain(|_, upstream| upstream.current || upstream.in_flight > 0);
    }

    /// Replaces the view of the targets of all services.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        let live = endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Dead);
        self.daemons = live.map(|endpoint| &endpoint.host).collect::<HashSet<_>>().len();
        self.services.clear();
        for endpoint in endpoints {
            self.services.entry(endpoint.service.clone()).or_default().push(Arc::new(endpoint));
        }
        for upstream in self.upstreams.values_mut() {
            let list = self.services.get(upstream.service()).map_or(&[][..], Vec::as_slice);
            upstream.budget.set_daemons(self.daemons);
            upstream.update(list);
        }
    }

    /// The routes of the current version, for lookups before a request begins.
    #[must_use]
    pub fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut PoisonList {
        &mut self.poison
    }

    /// A target died: returns the requests that this daemon had in flight there or lost there a
    /// short time ago, for [`PoisonList::report`]. Attempts still in flight must be settled as usual.
    pub fn target_died(&mut self, host: &Name, target: u16, now: Instant) -> Vec<Fingerprint> {
        let open = self.flights.values();
        let open = open.filter(|f| f.endpoint.host == *host && f.endpoint.target == target);
        self.lost.at(host, target, now).chain(open.filter_map(|f| f.print)).collect()
    }

    /// Decides on a new request.
    pub fn begin(&mut self, info: RequestInfo<'_>, now: Instant) -> Decision {
        match self.admit(info, now) {
            Ok(attempt) => Decision::Forward(attempt),
            Err(reason) => Decision::Refuse(self.refusal(reason, info.timeout, None, now)),
        }
    }

    /// Decides what follows an attempt. Each attempt is settled once; a cancelled one is settled as
    /// cancelled even if it waits for its delay.
    pub fn settle(&mut self, id: AttemptId, outcome: AttemptOutcome, now: Instant) -> Next {
        let Some(mut flight) = self.flights.remove(&id.0) else { return Next::Deliver };
        self.land(&flight, &outcome, now);
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let (cause, hint, again) = match outcome {
            AttemptOutcome::Cancelled => return self.done(&flight, Next::Deliver),
            AttemptOutcome::Answered { status: 502..=504, .. } if idempotent => {
                (Reason::ServerError, None, true)
            }
            AttemptOutcome::Answered { .. } => return self.done(&flight, Next::Deliver),
            AttemptOutcome::NotRun { reason, retry_after, .. } => {
                (reason, retry_after, is_local(reason))
            }
            AttemptOutcome::Unknown { reason } => (reason, None, idempotent && !is_final(reason)),
        };
        let unknown = !matches!(outcome, AttemptOutcome::NotRun { .. });
        // Where requests are moved, a refusal that reached no target is not retried in another way.
        let movable = self.is_movable(&outcome);
        if movable && let Some(attempt) = self.relocate(&mut flight, cause, now) {
            return Next::Retry { after: Duration::ZERO, attempt };
        }
        let again = again && !movable;
        let denied = match again {
            true => match self.retry(&mut flight, cause, hint, unknown, now) {
                Ok(next) => return next,
                Err(denied) => Some(denied),
            },
            false => (unknown && !is_final(cause)).then_some(Reason::RetryUnsafe),
        };
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            return self.done(&flight, Next::Deliver);
        }
        let left = Some(flight.deadline.saturating_duration_since(now));
        let mut refusal = self.refusal(cause, left, Some(flight.goal), now);
        refusal.no_retry = denied;
        if self.returns == RetryAfterPolicy::Spread {
            refusal.retry_after = refusal.retry_after.max(hint.unwrap_or_default());
        }
        let refusal =
            if unknown || flight.unknown { refusal.with_unknown_outcome() } else { refusal };
        self.done(&flight, Next::Refuse(refusal))
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

    /// What changed in the view of targets since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<TargetChange> {
        self.upstreams.values_mut().flat_map(|u| u.balancer.take_changes()).collect()
    }

    /// Targets that are ejected or on probation, and all targets, of a pool.
    #[must_use]
    pub fn ejected(&self, pool: &str) -> Option<(usize, usize)> {
        let mut current = self.upstreams.values().filter(|u| u.current);
        current.find(|u| u.pool.name.as_str() == pool).map(|u| u.balancer.ejected())
    }

    fn admit(&mut self, info: RequestInfo<'_>, now: Instant) -> Result<Attempt, Reason> {
        if self.draining {
            return Err(Reason::Draining);
        }
        if self.version.number == 0 {
            return Err(Reason::NotReady);
        }
        let entry =
            self.router.find(info.host, info.path, info.method).ok_or(Reason::NoRoute)?.clone();
        if info.depth >= MAX_DEPTH {
            return Err(Reason::DepthLimit);
        }
        let full = Duration::from(entry.route.deadline);
        let timeout = info.timeout.map_or(full, |timeout| timeout.min(full));
        if timeout.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        let print = info.fingerprint();
        if print.is_some_and(|print| self.poison.refuses(print, now)) {
            return Err(Reason::Poisoned);
        }
        let pool = match entry.pools.as_slice() {
            [(pool, _)] => self.pools[*pool],
            _ => self.pools[entry.pick(self.rng.random())],
        };
        let objective = Duration::from(entry.route.objective);
        let age = info.stated_timeout.map_or(Duration::ZERO, |stated| {
            self.patience.entry(entry.route.name.clone()).or_default().age(stated)
        });
        let late_at = now + objective.saturating_sub(age);
        let goal = Goal { objective, late_at, priority: entry.route.priority };
        let upstream = self.upstreams.get_mut(&pool).ok_or(Reason::NoTarget)?;
        if upstream.in_flight >= upstream.limiter.limit() {
            return Err(Reason::PoolLimit);
        }
        let wish = Wish { tried: &[], idempotent: entry.route.repeat == Repeat::Idempotent };
        let Choice { uid, endpoint, basis } = upstream
            .balancer
            .choose(&upstream.pool, wish, &mut self.rng, now)
            .ok_or(Reason::NoTarget)?;
        upstream.budget.deposit();
        upstream.in_flight += 1;
        let flight = Flight {
            pool,
            route: entry.route,
            endpoint,
            uid,
            basis,
            version: self.version.number,
            tried: Vec::new(),
            moves: 0,
            deadline: now + timeout,
            timeout,
            depth: info.depth + 1,
            goal,
            retried: info.retried,
            unknown: false,
            print,
        };
        Ok(self.launch(flight, None))
    }

    /// Records the flight and describes its attempt.
    fn launch(&mut self, flight: Flight, cause: Option<Reason>) -> Attempt {
        self.next += 1;
        let attempt = Attempt {
            id: AttemptId(self.next),
            endpoint: Arc::clone(&flight.endpoint),
            timeout: flight.timeout,
            route: Arc::clone(&flight.route),
            repeat: flight.route.repeat,
            goal: flight.goal,
            retried: flight.retried || cause.is_some(),
            depth: flight.depth,
            cause,
            version: flight.version,
            number: u32::try_from(flight.tried.len()).unwrap_or(u32::MAX).saturating_add(1),
            basis: flight.basis,
        };
        self.flights.insert(self.next, flight);
        attempt
    }

    /// Whether the attempt was refused before its target was contacted, and such requests are moved.
    const fn is_movable(&self, outcome: &AttemptOutcome) -> bool {
        let before = matches!(outcome,
            AttemptOutcome::NotRun { reason, .. } if is_before_target(*reason));
        self.moves > 0 && before
    }

    /// Takes over what the end of an attempt says about its target and pool.
    fn land(&mut self, flight: &Flight, outcome: &AttemptOutcome, now: Instant) {
        let fair = flight.timeout >= Duration::from(flight.route.deadline) / 2;
        let verdict = Verdict::of(outcome, fair);
        if let (AttemptOutcome::Unknown { .. }, Some(print)) = (outcome, flight.print) {
            self.lost.push(&flight.endpoint, print, now);
        }
        if let (AttemptOutcome::Answered { .. }, Some(print)) = (outcome, flight.print) {
            self.poison.clear_suspicion(print);
        }
        let movable = self.is_movable(outcome);
        let Some(upstream) = self.upstreams.get_mut(&flight.pool) else { return };
        let uid = flight.uid;
        let policy = &upstream.pool.ejection;
        upstream.balancer.finish(uid, verdict.seen, verdict.load, policy, now);
        if verdict.leaving {
            upstream.balancer.mark_leaving(uid, now);
        }
        if verdict.unreachable {
            upstream.balancer.mark_unreachable(uid, now);
        }
        match verdict.seen {
            Observation::Success(_) => {
                upstream.limiter.succeeded(upstream.in_flight);
                upstream.shed.record(false, now);
            }
            // A refusal of a daemon beside a target moves the request elsewhere. It says how full that
            // target is, and lowering this daemon's own limit would refuse what others have room for.
            Observation::Shed if movable => {}
            Observation::Shed => {
                upstream.shed.record(true, now);
                if upstream.shed.is_shedding(now) {
                    upstream.limiter.shed(upstream.in_flight, now);
                }
            }
            Observation::Failure => upstream.shed.record(false, now),
            Observation::Neutral => {}
        }
    }

    /// Starts an attempt at a target that was not tried yet, after a refusal that reached none.
    fn relocate(&mut self, flight: &mut Flight, cause: Reason, now: Instant) -> Option<Attempt> {
        if flight.moves >= self.moves || flight.deadline <= now {
            return None;
        }
        let upstream = self.upstreams.get_mut(&flight.pool)?;
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let mut tried = flight.tried.clone();
        tried.push(flight.uid);
        let wish = Wish { tried: &tried, idempotent };
        // One that no gate has seen yet may also wait in a queue.
        let chosen = match is_overload(cause) {
            true => upstream.balancer.choose_free(&upstream.pool, wish, now),
            false => upstream.balancer.choose(&upstream.pool, wish, &mut self.rng, now),
        };
        let Choice { uid, endpoint, basis } = chosen?;
        if tried.contains(&uid) {
            upstream.balancer.finish(uid, Observation::Neutral, None, &upstream.pool.ejection, now);
            return None;
        }
        flight.moves += 1;
        flight.tried = tried;
        (flight.uid, flight.endpoint, flight.basis) = (uid, endpoint, basis);
        flight.timeout = flight.deadline.saturating_duration_since(now);
        let attempt = self.launch(flight.clone(), Some(cause));
        Some(Attempt { retried: flight.retried, ..attempt })
    }

    /// Starts another attempt, or says why there is none.
    fn retry(
        &mut self,
        flight: &mut Flight,
        cause: Reason,
        hint: Option<Duration>,
        unknown: bool,
        now: Instant,
    ) -> Result<Next, Reason> {
        if flight.retried {
            return Err(Reason::RetryLevel);
        }
        let count = u32::try_from(flight.tried.len()).unwrap_or(u32::MAX).saturating_add(1);
        let count = count.saturating_sub(flight.moves);
        if count > flight.route.retries {
            return Err(Reason::RetryLimit);
        }
        let upstream = self.upstreams.get_mut(&flight.pool).ok_or(Reason::NoTarget)?;
        if upstream.shed.is_shedding(now) {
            return Err(Reason::RetryShedding);
        }
        let left = flight.deadline.saturating_duration_since(now);
        flight.tried.push(flight.uid);
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let wish = Wish { tried: &flight.tried, idempotent };
        let chosen = upstream.balancer.choose(&upstream.pool, wish, &mut self.rng, now);
        let Choice { uid, endpoint, basis } = chosen.ok_or(Reason::NoTarget)?;
        // The time that a target asked for matters only if there is no other target.
        let again = flight.tried.contains(&uid);
        let after =
            backoff::delay(count, &mut self.rng).max(hint.filter(|_| again).unwrap_or_default());
        let denied = match after >= left {
            true => Some(Reason::RetryDeadline),
            false if upstream.budget.try_withdraw() => None,
            false => Some(Reason::RetryBudget),
        };
        if let Some(denied) = denied {
            upstream.balancer.finish(uid, Observation::Neutral, None, &upstream.pool.ejection, now);
            return Err(denied);
        }
        (flight.uid, flight.endpoint, flight.basis) = (uid, endpoint, basis);
        flight.timeout = left;
        flight.unknown |= unknown;
        let attempt = self.launch(flight.clone(), Some(cause));
        Ok(Next::Retry { after, attempt })
    }

    /// Ends a request.
    fn done(&mut self, flight: &Flight, next: Next) -> Next {
        if let Some(upstream) = self.upstreams.get_mut(&flight.pool) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if upstream.in_flight == 0 && !upstream.current {
                self.upstreams.remove(&flight.pool);
            }
        }
        next
    }

    fn refusal(
        &mut self,
        reason: Reason,
        left: Option<Duration>,
        goal: Option<Goal>,
        now: Instant,
    ) -> Refusal {
        let after = match self.returns {
            RetryAfterPolicy::Spread => backoff::retry_after(&mut self.rng),
            RetryAfterPolicy::Deadline => {
                retry_after::within_time_left(reason, left, goal, now, &mut self.rng)
            }
        };
        Refusal::new(reason).with_retry_after(after)
    }
}
