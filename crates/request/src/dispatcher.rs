use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dw_tables::{Capacity, Name, Pool, Repeat, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Attempt, AttemptId, AttemptOutcome, Decision, Endpoint, EndpointState, EvidenceReport,
    Fingerprint, Goal, KeyIndex, Next, OldTargets, PathMatch, PoisonList, Reason, Refusal,
    RequestInfo, RolloutHolder, Router, TargetChange, VersionShare,
    choice::{
        balancer::Constraints, locality::Locality, target::Observation, upstream::Upstream,
        view::Choice,
    },
    retry::{
        backoff,
        caller_timeouts::CallerTimeouts,
        pending::{LostAttempts, PendingRequest},
        retry_after::{self, RetryAfterPolicy},
        verdict::{Verdict, can_succeed_elsewhere, is_before_target, is_final, is_overload},
    },
};

/// Depth of a call chain from which a request is assumed to be part of a loop; real chains have up
/// to 8 calls.
const MAX_DEPTH: u8 = 16;

/// Location and policies of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct DispatcherConfig {
    /// Host that the dispatcher runs on.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Region of the host.
    pub region: Name,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of times that a request is sent to another target after the daemon beside a
    /// target refused it, in addition to the retries of the route. The refused attempts put no load
    /// on any target, so neither the retry budget nor a delay applies.
    pub reroutes: u32,
    /// How to choose the time after which refused callers are asked to retry.
    pub retry_after: RetryAfterPolicy,
}

/// Decides on the caller's side where each request goes, and what follows each attempt.
#[derive(Debug)]
pub struct Dispatcher {
    locality: Locality,
    reroutes: u32,
    retry_after: RetryAfterPolicy,
    path_match: PathMatch,
    capacity: Capacity,
    timeouts: HashMap<Name, CallerTimeouts>,
    version: Arc<Version>,
    router: Arc<Router>,
    keys: Arc<KeyIndex>,
    /// State of the pools by key; `pools` holds the keys in the order of the version's table.
    upstreams: BTreeMap<u64, Upstream>,
    pools: Vec<u64>,
    services: HashMap<Name, Vec<Arc<Endpoint>>>,
    /// Number of daemons with targets, all of which send requests.
    daemons: usize,
    poison: PoisonList,
    rollouts: RolloutHolder,
    lost_attempts: LostAttempts,
    rng: SmallRng,
    pending: HashMap<u64, PendingRequest>,
    next_id: u64,
    draining: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration version; it refuses requests as not ready.
    #[must_use]
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            locality: Locality { domain: config.domain, region: config.region },
            reroutes: config.reroutes,
            retry_after: config.retry_after,
            path_match: PathMatch::default(),
            capacity: Capacity::default(),
            timeouts: HashMap::new(),
            version: Arc::default(),
            router: Arc::default(),
            keys: Arc::default(),
            upstreams: BTreeMap::new(),
            pools: Vec::new(),
            services: HashMap::new(),
            daemons: 1,
            poison: PoisonList::default(),
            rollouts: RolloutHolder::default(),
            lost_attempts: LostAttempts::default(),
            rng: SmallRng::seed_from_u64(config.seed),
            pending: HashMap::new(),
            next_id: 0,
            draining: false,
        }
    }

    /// Sets which paths of requests the path of a route takes, for versions set from now on.
    #[must_use]
    pub const fn with_path_match(mut self, path_match: PathMatch) -> Self {
        self.path_match = path_match;
        self
    }

    /// Sets the capacity of pools whose rows leave it fixed, for versions set from now on.
    #[must_use]
    pub const fn with_capacity(mut self, capacity: Capacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// The number of the configuration version in use; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.number
    }

    /// Starts to use a configuration version. Requests in flight keep the routes and pools that they
    /// began with.
    pub fn set_version(&mut self, version: Arc<Version>) {
        self.router = Arc::new(Router::new(&version).with_path_match(self.path_match));
        if self.version.tables.workspaces != version.tables.workspaces {
            self.keys = Arc::new(KeyIndex::new(&version.tables.workspaces));
        }
        self.version = version;
        let names: HashSet<_> = self.version.tables.routes.iter().map(|r| &r.name).collect();
        self.timeouts.retain(|name, _| names.contains(name));
        self.upstreams.values_mut().for_each(|upstream| upstream.current = false);
        let old: HashMap<Name, u64> =
            self.upstreams.iter().map(|(key, u)| (u.pool.name.clone(), *key)).collect();
        self.pools.clear();
        for pool in &self.version.tables.pools {
            let pool = &Pool { capacity: pool.capacity.or(self.capacity), ..pool.clone() };
            let kept =
                old.get(&pool.name).copied().filter(|key| self.upstreams[key].is_same_pool(pool));
            let key = kept.unwrap_or_else(|| {
                self.next_id += 1;
                self.upstreams
                    .insert(self.next_id, Upstream::new(pool.clone(), self.locality.clone()));
                self.next_id
            });
            self.pools.push(key);
            if let Some(upstream) = self.upstreams.get_mut(&key) {
                upstream.set_pool(pool);
                upstream.balancer.set_share(self.rollouts.share(&pool.service));
                upstream.budget.set_daemons(self.daemons);
                upstream.set_endpoints(self.services.get(&pool.service).map_or(&[], Vec::as_slice));
            }
        }
        self.upstreams.retain(|_, upstream| upstream.current || upstream.in_flight > 0);
    }

    /// Replaces the known targets of all services.
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
            upstream.set_endpoints(list);
        }
    }

    /// The routes of the current version, for lookups before a request begins.
    #[must_use]
    pub fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    /// The workspaces of the current version, for the check of a request's key.
    #[must_use]
    pub fn keys(&self) -> Arc<KeyIndex> {
        Arc::clone(&self.keys)
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut PoisonList {
        &mut self.poison
    }

    /// Follows the share of a version, unless a share with a higher epoch is known. Returns whether this
    /// changes what the daemon does.
    pub fn set_share(&mut self, share: VersionShare, now: Instant) -> bool {
        let service = share.service.clone();
        let changed = self.rollouts.receive(share, now);
        if changed {
            self.apply_share(&service);
        }
        changed
    }

    /// The rollouts that this daemon knows of.
    #[must_use]
    pub const fn rollouts(&self) -> &RolloutHolder {
        &self.rollouts
    }

    /// What to report to the leader about the rollouts that run.
    pub fn rollout_reports(&self, host: &Name, incarnation: u64) -> Vec<EvidenceReport> {
        let old_targets = |share: &VersionShare| {
            let open = self.pending.values().map(|request| &request.endpoint);
            let old = open.filter(|endpoint| {
                endpoint.service == share.service
                    && endpoint.version.as_ref() != Some(&share.version)
            });
            let mut pools = self.upstreams.values().filter(|u| u.service() == &share.service);
            OldTargets {
                open: u32::try_from(old.count()).unwrap_or(u32::MAX),
                live: pools.any(|upstream| upstream.balancer.has_old_version()),
            }
        };
        self.rollouts.reports(host, incarnation, old_targets).collect()
    }

    /// Stops sending to versions that this daemon's own evidence shows to be bad, where the leader of the
    /// rollout is not heard; called once per period. Returns the services concerned.
    pub fn check_rollouts(&mut self, now: Instant) -> Vec<Name> {
        let stopped = self.rollouts.check(now);
        stopped.iter().for_each(|service| self.apply_share(service));
        stopped
    }

    fn apply_share(&mut self, service: &Name) {
        let share = self.rollouts.share(service);
        let pools = self.upstreams.values_mut().filter(|upstream| upstream.service() == service);
        pools.for_each(|upstream| upstream.balancer.set_share(share.clone()));
    }

    /// Handles the death of a target: returns the requests that this daemon has in flight there, or
    /// whose attempts there recently ended without a response, for [`PoisonList::report`]. Attempts still
    /// in flight must be settled as usual.
    pub fn target_died(&mut self, host: &Name, target: u16, now: Instant) -> Vec<Fingerprint> {
        let open = self.pending.values();
        let open = open.filter(|f| f.endpoint.host == *host && f.endpoint.target == target);
        self.lost_attempts.at(host, target, now).chain(open.filter_map(|f| f.fingerprint)).collect()
    }

    /// Decides on a new request.
    pub fn begin(&mut self, info: RequestInfo<'_>, now: Instant) -> Decision {
        match self.admit(info, now) {
            Ok(attempt) => Decision::Forward(attempt),
            Err(reason) => Decision::Refuse(self.refusal(reason, info.timeout, None, now)),
        }
    }

    /// Decides what follows an attempt. Each attempt is settled once; a cancelled attempt is settled
    /// as cancelled even if it is still waiting for its delay.
    pub fn settle(&mut self, id: AttemptId, outcome: AttemptOutcome, now: Instant) -> Next {
        let Some(mut request) = self.pending.remove(&id.0) else { return Next::Deliver };
        self.record_outcome(&request, &outcome, now);
        let idempotent = request.route.repeat == Repeat::Idempotent;
        let (cause, hint, retryable) = match outcome {
            AttemptOutcome::Cancelled => return self.end_request(&request, Next::Deliver),
            AttemptOutcome::Answered { status: 502..=504, .. } if idempotent => {
                (Reason::ServerError, None, true)
            }
            AttemptOutcome::Answered { .. } => return self.end_request(&request, Next::Deliver),
            AttemptOutcome::NotRun { reason, retry_after, .. } => {
                (reason, retry_after, can_succeed_elsewhere(reason))
            }
            AttemptOutcome::Unknown { reason } => (reason, None, idempotent && !is_final(reason)),
        };
        request.hints.extend(hint.map(|hint| (request.uid, now + hint)));
        let unknown = !matches!(outcome, AttemptOutcome::NotRun { .. });
        // With rerouting enabled, an attempt that was refused before its target is only rerouted,
        // never retried.
        let reroutable = self.is_reroutable(&outcome);
        if reroutable && let Some(attempt) = self.reroute(&mut request, cause, now) {
            return Next::Retry { after: Duration::ZERO, attempt };
        }
        let retryable = retryable && !reroutable;
        let denied = match retryable {
            true => match self.retry(&mut request, cause, unknown, now) {
                Ok(next) => return next,
                Err(denied) => Some(denied),
            },
            false => (unknown && !is_final(cause)).then_some(Reason::RetryUnsafe),
        };
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            return self.end_request(&request, Next::Deliver);
        }
        let left = Some(request.deadline.saturating_duration_since(now));
        let mut refusal = self.refusal(cause, left, Some(request.goal), now);
        refusal.no_retry = denied;
        if self.retry_after == RetryAfterPolicy::Spread {
            refusal.retry_after = refusal.retry_after.max(hint.unwrap_or_default());
        }
        let refusal =
            if unknown || request.unknown { refusal.with_unknown_outcome() } else { refusal };
        self.end_request(&request, Next::Refuse(refusal))
    }

    /// From now on, refuses new requests as not run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Number of attempts in flight, including retries that wait for their delay.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Returns which targets requests began or ceased to avoid since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<TargetChange> {
        self.upstreams.values_mut().flat_map(|u| u.balancer.take_changes()).collect()
    }

    /// The number of targets of a pool that are ejected or on probation, and of all its targets.
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
        let resolved =
            self.router.find(info.host, info.path, info.method).ok_or(Reason::NoRoute)?.clone();
        if info.depth >= MAX_DEPTH {
            return Err(Reason::DepthLimit);
        }
        let route_deadline = Duration::from(resolved.route.deadline);
        let timeout = info.timeout.map_or(route_deadline, |timeout| timeout.min(route_deadline));
        if timeout.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        let fingerprint = info.fingerprint();
        if fingerprint.is_some_and(|fingerprint| self.poison.refuses(fingerprint, now)) {
            return Err(Reason::Poisoned);
        }
        let pool = match resolved.pools.as_slice() {
            [(pool, _)] => self.pools[*pool],
            _ => self.pools[resolved.pick_pool(self.rng.random())],
        };
        let objective = Duration::from(resolved.route.objective);
        let age = info.stated_timeout.map_or(Duration::ZERO, |stated| {
            self.timeouts.entry(resolved.route.name.clone()).or_default().elapsed(stated)
        });
        let late_at = now + objective.saturating_sub(age);
        let priority = info.priority.unwrap_or(resolved.route.priority);
        let goal = Goal { objective, late_at, priority };
        let upstream = self.upstreams.get_mut(&pool).ok_or(Reason::NoTarget)?;
        if upstream.in_flight >= upstream.limiter.limit() {
            return Err(Reason::PoolLimit);
        }
        let constraints =
            Constraints { tried: &[], idempotent: resolved.route.repeat == Repeat::Idempotent };
        let Choice { uid, endpoint, basis } = upstream
            .balancer
            .choose(&upstream.pool, constraints, &mut self.rng, now)
            .ok_or(Reason::NoTarget)?;
        upstream.budget.deposit();
        upstream.in_flight += 1;
        let request = PendingRequest {
            pool,
            route: resolved.route,
            endpoint,
            uid,
            basis,
            version: self.version.number,
            tried: Vec::new(),
            hints: Vec::new(),
            reroutes: 0,
            deadline: now + timeout,
            timeout,
            depth: info.depth + 1,
            goal,
            retried: info.retried,
            unknown: false,
            fingerprint,
        };
        Ok(self.start_attempt(request, None))
    }

    /// Records the request as pending and creates its next attempt.
    fn start_attempt(&mut self, request: PendingRequest, cause: Option<Reason>) -> Attempt {
        self.next_id += 1;
        let attempt = Attempt {
            id: AttemptId(self.next_id),
            endpoint: Arc::clone(&request.endpoint),
            deadline: request.deadline,
            route: Arc::clone(&request.route),
            repeat: request.route.repeat,
            goal: request.goal,
            retried: request.retried || cause.is_some(),
            depth: request.depth,
            cause,
            version: request.version,
            number: u32::try_from(request.tried.len()).unwrap_or(u32::MAX).saturating_add(1),
            basis: request.basis,
        };
        self.pending.insert(self.next_id, request);
        attempt
    }

    /// Whether rerouting is enabled and the attempt was refused before its target was contacted.
    const fn is_reroutable(&self, outcome: &AttemptOutcome) -> bool {
        let before = matches!(outcome,
            AttemptOutcome::NotRun { reason, .. } if is_before_target(*reason));
        self.reroutes > 0 && before
    }

    /// Updates the state of the target and its pool from the outcome of an attempt.
    fn record_outcome(&mut self, request: &PendingRequest, outcome: &AttemptOutcome, now: Instant) {
        let fair = request.timeout >= Duration::from(request.route.deadline) / 2;
        let verdict = Verdict::of(outcome, fair);
        if let (AttemptOutcome::Unknown { .. }, Some(fingerprint)) = (outcome, request.fingerprint)
        {
            self.lost_attempts.push(&request.endpoint, fingerprint, now);
        }
        if let (AttemptOutcome::Answered { .. }, Some(fingerprint)) = (outcome, request.fingerprint)
        {
            self.poison.record_answer(fingerprint, now);
        }
        self.rollouts.record(&request.endpoint, &request.route.name, outcome, fair, now);
        let reroutable = self.is_reroutable(outcome);
        let Some(upstream) = self.upstreams.get_mut(&request.pool) else { return };
        let uid = request.uid;
        let policy = &upstream.pool.ejection;
        upstream.balancer.finish(uid, verdict.observation, verdict.load, policy, now);
        if let Some(time) = verdict.load.and_then(|load| load.service) {
            upstream.balancer.record_service(uid, &request.goal, time, now);
        }
        if verdict.leaving {
            upstream.balancer.mark_leaving(uid, now);
        }
        if verdict.unreachable {
            upstream.balancer.mark_unreachable(uid, now);
        }
        match verdict.observation {
            Observation::Success(_) => {
                upstream.limiter.succeeded(upstream.in_flight);
                upstream.shed.record(false, now);
            }
            // The request is rerouted. The refusal only shows that this one target is full; lowering
            // the concurrency limit of the pool would refuse requests that other targets can serve.
            Observation::Shed if reroutable => {}
            Observation::Shed => {
                upstream.shed.record(true, now);
                if upstream.shed.is_shedding(now) {
                    upstream.limiter.shed(upstream.in_flight, now);
                }
            }
            // The pool has room, so a retry elsewhere adds no overload; the retry budget bounds it.
            Observation::Failure | Observation::Declined => upstream.shed.record(false, now),
            Observation::Neutral => {}
        }
    }

    /// Starts an attempt at a target that was not tried yet, after an attempt that was refused before
    /// its target was contacted.
    fn reroute(
        &mut self,
        request: &mut PendingRequest,
        cause: Reason,
        now: Instant,
    ) -> Option<Attempt> {
        if request.reroutes >= self.reroutes || request.deadline <= now {
            return None;
        }
        let upstream = self.upstreams.get_mut(&request.pool)?;
        let idempotent = request.route.repeat == Repeat::Idempotent;
        let mut tried = request.tried.clone();
        tried.push(request.uid);
        let constraints = Constraints { tried: &tried, idempotent };
        // A request that was not refused for overload may also wait in a queue, so its target needs
        // no free slot.
        let chosen = match is_overload(cause) {
            true => upstream.balancer.choose_free(&upstream.pool, constraints, &mut self.rng, now),
            false => upstream.balancer.choose(&upstream.pool, constraints, &mut self.rng, now),
        };
        let Choice { uid, endpoint, basis } = chosen?;
        if tried.contains(&uid) {
            upstream.balancer.finish(uid, Observation::Neutral, None, &upstream.pool.ejection, now);
            return None;
        }
        request.reroutes += 1;
        request.tried = tried;
        (request.uid, request.endpoint, request.basis) = (uid, endpoint, basis);
        request.timeout = request.deadline.saturating_duration_since(now);
        let attempt = self.start_attempt(request.clone(), Some(cause));
        Some(Attempt { retried: request.retried, ..attempt })
    }

    /// Starts another attempt, or returns the reason why the request is not retried.
    fn retry(
        &mut self,
        request: &mut PendingRequest,
        cause: Reason,
        unknown: bool,
        now: Instant,
    ) -> Result<Next, Reason> {
        if request.retried {
            return Err(Reason::RetryLevel);
        }
        let count = u32::try_from(request.tried.len()).unwrap_or(u32::MAX).saturating_add(1);
        let count = count.saturating_sub(request.reroutes);
        if count > request.route.retries {
            return Err(Reason::RetryLimit);
        }
        let upstream = self.upstreams.get_mut(&request.pool).ok_or(Reason::NoTarget)?;
        if upstream.shed.is_shedding(now) {
            return Err(Reason::RetryShedding);
        }
        let left = request.deadline.saturating_duration_since(now);
        request.tried.push(request.uid);
        let idempotent = request.route.repeat == Repeat::Idempotent;
        let constraints = Constraints { tried: &request.tried, idempotent };
        let chosen = upstream.balancer.choose(&upstream.pool, constraints, &mut self.rng, now);
        let Choice { uid, endpoint, basis } = chosen.ok_or(Reason::NoTarget)?;
        // The delay that a target asked for applies to this target only.
        let after = backoff::delay(count, &mut self.rng).max(request.hint(uid, now));
        let denied = match after >= left {
            true => Some(Reason::RetryDeadline),
            false if upstream.budget.try_withdraw() => None,
            false => Some(Reason::RetryBudget),
        };
        if let Some(denied) = denied {
            upstream.balancer.finish(uid, Observation::Neutral, None, &upstream.pool.ejection, now);
            return Err(denied);
        }
        (request.uid, request.endpoint, request.basis) = (uid, endpoint, basis);
        request.timeout = left.saturating_sub(after);
        request.unknown |= unknown;
        let attempt = self.start_attempt(request.clone(), Some(cause));
        Ok(Next::Retry { after, attempt })
    }

    /// Ends a request; removes a pool that is no longer configured with its last request.
    fn end_request(&mut self, request: &PendingRequest, next: Next) -> Next {
        if let Some(upstream) = self.upstreams.get_mut(&request.pool) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if upstream.in_flight == 0 && !upstream.current {
                self.upstreams.remove(&request.pool);
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
        let after = match self.retry_after {
            RetryAfterPolicy::Spread => backoff::retry_after(&mut self.rng),
            RetryAfterPolicy::Deadline => {
                retry_after::within_time_left(reason, left, goal, now, &mut self.rng)
            }
        };
        Refusal::new(reason).with_retry_after(after)
    }
}
