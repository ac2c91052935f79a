use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use dw_request::{
    Admission, Arrival, Attempt, AttemptId, AttemptOutcome, Decision, Goal, Load, Next, Permit,
    Reason, Refusal, RequestInfo, RunOutcome, Wake,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::time::Instant;

use super::{
    fleet::{Node, REQUEST_HOST, host_index},
    result::SimulationResult,
    scenario::{Scenario, duration},
    switches::Policies,
};

/// Largest share of the time left until its deadline that a caller waits before a retry, even if it was
/// told to wait longer.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Age of targets at the start, long enough to count as warm.
const WARM_AGE: Duration = Duration::from_secs(300);

/// Time after the end of the load in which the remaining requests end.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends the next request of a route.
    NewRequest { route: usize },
    /// The caller's daemon decides on a request.
    Begin { request: usize },
    /// An attempt reaches the daemon on its target's host.
    Arrive { request: usize, attempt: Attempt },
    /// A run has done the first half of its work, and makes its calls.
    StartCalls { run: u64 },
    /// A run ends.
    EndRun { run: u64 },
    /// The outcome of an attempt reaches the caller's daemon.
    Outcome { request: usize, id: AttemptId, outcome: AttemptOutcome },
    /// A fault starts.
    BeginFault { fault: usize },
    /// Noise makes a target slower, or ends.
    Noise { host: usize, begins: bool },
    /// A fault ends.
    EndFault { fault: usize },
    /// The hosts learn of the current targets.
    UpdateEndpoints,
}

/// A request of a caller, or a call of a run.
#[derive(Debug)]
struct Request {
    route: usize,
    host: usize,
    first_sent: Instant,
    deadline: Instant,
    returns_left: u32,
    parent: Option<u64>,
}

/// A request that has a slot.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    pub(super) host: usize,
    permit: Permit,
    started: Instant,
    /// Calls that have not ended.
    open_calls: u32,
    failed: bool,
}

/// A simulation of the product's decisions under a scenario's load.
pub(crate) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policies: &'a Policies,
    rng: SmallRng,
    start: Instant,
    pub(super) now: Instant,
    pub(super) seed: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    last_id: u64,
    pub(super) nodes: Vec<Node>,
    requests: Vec<Request>,
    pub(super) runs: HashMap<u64, Run>,
    /// Factors by which callers send more requests now, by route.
    pub(super) burst_factors: Vec<f64>,
    result: SimulationResult,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet of warm targets without load.
    pub(crate) fn new(scenario: &'a Scenario, policies: &'a Policies, seed: u64) -> Self {
        let start = Instant::now() + WARM_AGE * 2;
        let mut simulation = Self {
            scenario,
            policies,
            rng: SmallRng::seed_from_u64(seed),
            start,
            now: start,
            seed,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            last_id: 0,
            nodes: Vec::new(),
            requests: Vec::new(),
            runs: HashMap::new(),
            burst_factors: vec![1.0; scenario.routes.len()],
            result: SimulationResult::new(scenario),
        };
        let warm = start.checked_sub(WARM_AGE).unwrap_or(start);
        simulation.nodes =
            (0..scenario.hosts.len()).map(|idx| simulation.new_node(idx, warm, 0)).collect();
        simulation.update_endpoints();
        simulation
    }

    /// Simulates the scenario to its end.
    pub(crate) fn run(mut self) -> SimulationResult {
        for route in 0..self.scenario.routes.len() {
            self.schedule_arrival(route);
        }
        for (fault, row) in self.scenario.faults.iter().enumerate() {
            self.schedule(self.start + duration(row.at), Event::BeginFault { fault });
        }
        if let Some(noise) = self.scenario.noise {
            for host in 0..self.nodes.len() {
                if self.rng.random::<f64>() < noise.share {
                    self.schedule_noise(host);
                }
            }
        }
        let end = self.start + duration(self.scenario.time);
        let drained = end + DRAIN_TIME;
        while let Some(at) = self.next_time() {
            if at > drained {
                break;
            }
            self.now = at;
            self.expire_queues();
            while let Some(Reverse((due, id))) = self.events.peek().copied()
                && due <= at
            {
                self.events.pop();
                if let Some(event) = self.pending.remove(&id) {
                    self.handle_event(event, end);
                }
            }
        }
        self.result.summarize_limits(self.scenario)
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Instant, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((at, self.last_id)));
        self.pending.insert(self.last_id, event);
    }

    fn next_time(&self) -> Option<Instant> {
        let event = self.events.peek().map(|Reverse((at, _))| *at);
        let gates = self.nodes.iter().filter(|node| node.alive);
        gates.filter_map(|node| node.gate.deadline()).chain(event).min()
    }

    fn expire_queues(&mut self) {
        for host in 0..self.nodes.len() {
            let node = &mut self.nodes[host];
            if node.alive && node.gate.deadline().is_some_and(|at| at <= self.now) {
                let wakes = node.gate.expire(self.now);
                self.apply_wakes(host, wakes);
            }
        }
    }

    fn handle_event(&mut self, event: Event, end: Instant) {
        match event {
            Event::NewRequest { route } => {
                if self.now < end {
                    self.new_request(route);
                    self.schedule_arrival(route);
                }
            }
            Event::Begin { request } => self.begin(request),
            Event::Arrive { request, attempt } => self.arrive(request, &attempt),
            Event::StartCalls { run } => self.start_calls(run),
            Event::EndRun { run } => self.end_run(run),
            Event::Outcome { request, id, outcome } => self.settle(request, id, outcome),
            Event::BeginFault { fault } => self.begin_fault(fault),
            Event::EndFault { fault } => self.end_fault(fault),
            Event::Noise { host, begins } => self.noise(host, begins),
            Event::UpdateEndpoints => self.update_endpoints(),
        }
    }

    /// Schedules the next slowdown of a target.
    fn schedule_noise(&mut self, host: usize) {
        if let Some(noise) = self.scenario.noise
            && let Ok(gap) = Exp::new(1.0 / duration(noise.every).as_secs_f64())
        {
            let gap = Duration::from_secs_f64(gap.sample(&mut self.rng));
            self.schedule(self.now + gap, Event::Noise { host, begins: true });
        }
    }

    fn noise(&mut self, host: usize, begins: bool) {
        let Some(noise) = self.scenario.noise else { return };
        self.nodes[host].noise = if begins { noise.factor } else { 1.0 };
        if begins {
            self.schedule(self.now + duration(noise.time), Event::Noise { host, begins: false });
        } else {
            self.schedule_noise(host);
        }
    }

    /// Schedules the next request of callers on a route.
    fn schedule_arrival(&mut self, route: usize) {
        let rate = self.scenario.routes[route].rate * self.burst_factors[route];
        if let Ok(gap) = Exp::new(rate)
            && rate > 0.0
        {
            let gap = Duration::from_secs_f64(gap.sample(&mut self.rng));
            self.schedule(self.now + gap, Event::NewRequest { route });
        }
    }

    fn new_request(&mut self, route: usize) {
        let load = &self.scenario.routes[route];
        self.result.add_asked(route, self.now - self.start);
        // Callers only use hosts that are up.
        let up: Vec<usize> = (0..self.nodes.len()).filter(|idx| self.nodes[*idx].alive).collect();
        if up.is_empty() {
            self.result.add_failed(route, self.now - self.start);
            return;
        }
        let host = self.pick_caller(&up);
        let request = Request {
            route,
            host,
            first_sent: self.now,
            deadline: self.now + duration(load.deadline),
            returns_left: load.returns,
            parent: None,
        };
        self.add_request(request);
    }

    /// A random host that is up, according to the demand of its failure domain now.
    fn pick_caller(&mut self, up: &[usize]) -> usize {
        let drawn = up[self.rng.random_range(0..up.len())];
        let Some(wave) = self.scenario.wave else { return drawn };
        let mut domains: Vec<_> = self.scenario.hosts.iter().map(|host| &host.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let time = (self.now - self.start).as_secs_f64() / duration(wave.period).as_secs_f64();
        let share = |idx: usize| {
            let at = domains.iter().position(|domain| **domain == self.scenario.hosts[idx].domain);
            let phase = to_f64(at.unwrap_or_default()) / to_f64(domains.len());
            1.0 + wave.height * (std::f64::consts::TAU * (time + phase)).sin()
        };
        let mut idx = drawn;
        while self.rng.random::<f64>() * (1.0 + wave.height) >= share(idx) {
            idx = up[self.rng.random_range(0..up.len())];
        }
        idx
    }

    /// Adds a request, and lets the caller's daemon decide on it.
    fn add_request(&mut self, request: Request) {
        self.requests.push(request);
        self.begin(self.requests.len() - 1);
    }

    fn begin(&mut self, idx: usize) {
        let request = &self.requests[idx];
        let left = request.deadline.saturating_duration_since(self.now);
        let path = format!("/{}", self.scenario.routes[request.route].name);
        let info = RequestInfo {
            host: REQUEST_HOST,
            path: &path,
            method: "GET",
            timeout: Some(left),
            stated_timeout: Some(left),
            ..RequestInfo::default()
        };
        let node = &mut self.nodes[request.host];
        match node.dispatcher.begin(info, self.now) {
            Decision::Forward(attempt) => self.send(idx, attempt, Duration::ZERO),
            Decision::Refuse(refusal) => self.request_refused(idx, &refusal),
        }
    }

    fn send(&mut self, request: usize, attempt: Attempt, after: Duration) {
        let to = host_index(&attempt.endpoint.host);
        let delay = self.delay(self.requests[request].host, to);
        self.schedule(self.now + after + delay, Event::Arrive { request, attempt });
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let hosts = &self.scenario.hosts;
        match () {
            () if from == to => Duration::ZERO,
            () if hosts[from].domain == hosts[to].domain => duration(self.scenario.near),
            () => duration(self.scenario.far),
        }
    }

    fn arrive(&mut self, request: usize, attempt: &Attempt) {
        let host = host_index(&attempt.endpoint.host);
        let node = &mut self.nodes[host];
        if !node.alive || u32::from(attempt.endpoint.target) != node.restarts {
            let reason = if node.alive { Reason::UnknownTarget } else { Reason::ConnectFailed };
            self.send_not_run(request, host, attempt.id, reason, None);
            return;
        }
        if node.leave_reported {
            self.send_not_run(request, host, attempt.id, Reason::Draining, None);
            return;
        }
        let arrival = Arrival {
            depth: 0,
            deadline: self.requests[request].deadline,
            goal: self.policies.goals.then_some(attempt.goal),
            fingerprint: None,
            limit: attempt.basis.limit,
        };
        match node.gate.offer(arrival, self.now) {
            Admission::Run(permit) => self.start_run(request, attempt.id, host, permit),
            Admission::Wait(ticket) => {
                node.waiting.insert(ticket, (request, attempt.id));
            }
            Admission::Refuse(refusal) => {
                self.send_not_run(request, host, attempt.id, refusal.reason, Some(&refusal));
            }
        }
    }

    fn send_not_run(
        &mut self,
        request: usize,
        host: usize,
        id: AttemptId,
        reason: Reason,
        refusal: Option<&Refusal>,
    ) {
        let goal = self.goal(request);
        let load = self.nodes[host].alive.then(|| self.reported_load(host, goal.as_ref()));
        let retry_after = refusal.map(|refusal| refusal.retry_after);
        let outcome = AttemptOutcome::NotRun { reason, retry_after, load };
        self.send_outcome(request, host, id, outcome);
    }

    pub(super) fn send_outcome(
        &mut self,
        request: usize,
        host: usize,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let delay = self.delay(host, self.requests[request].host);
        self.schedule(self.now + delay, Event::Outcome { request, id, outcome });
    }

    fn reported_load(&self, host: usize, goal: Option<&Goal>) -> Load {
        let load = self.nodes[host].load(goal);
        Load { service: load.service.filter(|_| self.policies.speeds), ..load }
    }

    /// The goal of a request as far as it identifies its kind.
    fn goal(&self, request: usize) -> Option<Goal> {
        let load = &self.scenario.routes[self.requests[request].route];
        let objective = duration(load.objective);
        let goal = Goal { objective, late_at: self.now + objective, priority: load.priority };
        self.policies.goals.then_some(goal)
    }

    /// Starts a run, which does half of its work, then makes its calls, and then does the rest.
    fn start_run(&mut self, request: usize, attempt: AttemptId, host: usize, permit: Permit) {
        let refused_share = self.nodes[host].refused_share;
        if refused_share > 0.0 && self.rng.random::<f64>() < refused_share {
            let wakes = self.nodes[host].gate.finish(permit, RunOutcome::Refused, self.now);
            self.send_not_run(request, host, attempt, Reason::TargetRefused, None);
            self.apply_wakes(host, wakes);
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        let (started, open_calls, failed) = (self.now, 0, false);
        self.result.record_start(host, started - self.start);
        self.runs.insert(id, Run { request, attempt, host, permit, started, open_calls, failed });
        let half = self.work_time(id) / 2;
        self.schedule(self.now + half, Event::StartCalls { run: id });
    }

    fn start_calls(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let (request, host) = (run.request, run.host);
        let mut calls = Vec::new();
        for call in &self.scenario.routes[self.requests[request].route].calls {
            if self.rng.random::<f64>() < call.share
                && let Some(route) = self.scenario.route(&call.route)
            {
                calls.extend(std::iter::repeat_n(route, call.times as usize));
            }
        }
        run.open_calls = u32::try_from(calls.len()).unwrap_or(u32::MAX);
        if calls.is_empty() {
            self.finish_work(id);
        }
        for route in calls {
            let deadline = self.now + duration(self.scenario.routes[route].deadline);
            let deadline = deadline.min(self.requests[request].deadline);
            let parent = Some(id);
            let first_sent = self.now;
            self.add_request(Request {
                route,
                host,
                first_sent,
                deadline,
                returns_left: 0,
                parent,
            });
        }
    }

    /// Schedules the end of a run whose calls have all succeeded.
    fn finish_work(&mut self, id: u64) {
        let half = self.work_time(id) / 2;
        self.schedule(self.now + half, Event::EndRun { run: id });
    }

    /// A random service time for a run at the current speed of its target.
    fn work_time(&mut self, id: u64) -> Duration {
        let Some(run) = self.runs.get(&id) else { return Duration::ZERO };
        let load = &self.scenario.routes[self.requests[run.request].route];
        let node = &self.nodes[run.host];
        let mut factor = node.slowdown * node.noise / self.scenario.hosts[run.host].speed;
        if let Some(knee) = self.scenario.hosts[run.host].knee {
            let busy = to_f64(self.runs.values().filter(|other| other.host == run.host).count());
            factor *= (busy / f64::from(knee)).max(1.0).powi(2);
        }
        if let Some((until, cold)) = node.cold
            && self.now < until
        {
            factor *= cold;
        }
        let mean = duration(load.work).as_secs_f64();
        if load.long_share > 0.0 && self.rng.random::<f64>() < load.long_share {
            factor *= load.long_factor;
        }
        let work = LogNormal::new(mean.ln() - load.spread * load.spread / 2.0, load.spread);
        Duration::from_secs_f64(work.map_or(mean, |work| work.sample(&mut self.rng)) * factor)
    }

    fn end_run(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        let status = if run.failed { 500 } else { 200 };
        let latency = self.now - run.started;
        let node = &mut self.nodes[run.host];
        node.gate.observe_limit(node.limit, run.started, self.now);
        node.leave_reported |= node.leaving;
        let outcome = RunOutcome::Answered { status, latency };
        let wakes = node.gate.finish(run.permit, outcome, self.now);
        self.apply_wakes(run.host, wakes);
        let goal = self.goal(run.request);
        let load = Some(self.reported_load(run.host, goal.as_ref()));
        self.result.record_run(self.requests[run.request].route, latency, run.failed);
        let outcome = AttemptOutcome::Answered { status, load, latency };
        self.send_outcome(run.request, run.host, run.attempt, outcome);
    }

    fn apply_wakes(&mut self, host: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run { ticket, permit } => {
                    if let Some((request, id)) = self.nodes[host].waiting.remove(&ticket) {
                        self.start_run(request, id, host, permit);
                    }
                }
                Wake::Refuse { ticket, refusal } => {
                    if let Some((request, id)) = self.nodes[host].waiting.remove(&ticket) {
                        let reason = refusal.reason;
                        self.send_not_run(request, host, id, reason, Some(&refusal));
                    }
                }
            }
        }
    }

    fn settle(&mut self, request: usize, id: AttemptId, outcome: AttemptOutcome) {
        let host = self.requests[request].host;
        match self.nodes[host].dispatcher.settle(id, outcome, self.now) {
            Next::Deliver => {
                let good = matches!(outcome, AttemptOutcome::Answered { status: 200, .. });
                self.request_answered(request, good);
            }
            Next::Retry { after, attempt } => self.send(request, attempt, after),
            Next::Refuse(refusal) => self.request_refused(request, &refusal),
        }
    }

    fn request_answered(&mut self, idx: usize, good: bool) {
        let request = &self.requests[idx];
        if let Some(parent) = request.parent {
            self.result.record_call(request.route, self.now - request.first_sent, good);
            self.call_ended(parent, good);
            return;
        }
        let (route, sent) = (request.route, request.first_sent - self.start);
        let objective = duration(self.scenario.routes[route].objective);
        match () {
            () if !good || self.now > request.deadline => self.result.add_failed(route, sent),
            () if self.now - request.first_sent <= objective => self.result.add_timely(route, sent),
            () => self.result.add_late(route, sent),
        }
    }

    fn request_refused(&mut self, idx: usize, refusal: &Refusal) {
        let request = &mut self.requests[idx];
        if let Some(parent) = request.parent {
            self.result.record_call(request.route, self.now - request.first_sent, false);
            self.call_ended(parent, false);
            return;
        }
        let left = request.deadline.saturating_duration_since(self.now);
        if request.returns_left == 0 || left.is_zero() {
            let (route, sent) = (request.route, request.first_sent - self.start);
            self.result.add_refused(route, sent);
            return;
        }
        request.returns_left -= 1;
        let wait = refusal.retry_after.min(left.mul_f64(MAX_WAIT_SHARE));
        self.schedule(self.now + wait, Event::Begin { request: idx });
    }

    /// Handles the end of a call of a run. If the call failed, so does the run.
    fn call_ended(&mut self, id: u64, good: bool) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        if run.failed {
            return;
        }
        run.open_calls -= 1;
        if !good {
            run.failed = true;
            self.schedule(self.now, Event::EndRun { run: id });
        } else if run.open_calls == 0 {
            self.finish_work(id);
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
