use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use dw_request::{
    Admission, Arrival, Attempt, AttemptId, AttemptOutcome, Decision, Next, Permit, Reason,
    Refusal, RequestInfo, RunOutcome, Wake,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::time::Instant;

use super::{
    fleet::{CALLED, Node, position},
    result::Served,
    scenario::{Scenario, span},
    switches::Policies,
};

/// Share of the time that callers have left for which they heed a request to wait.
const HEED: f64 = 1.0 / 3.0;

/// How long targets have run at the start, so that they count as warm.
const AGE: Duration = Duration::from_secs(300);

/// Time after the last request in which all requests end.
const TAIL: Duration = Duration::from_secs(30);

/// What happens next.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends the next request of a route.
    Fresh { route: usize },
    /// A request is decided on at its first daemon.
    Begin { request: usize },
    /// An attempt reaches the daemon beside its target.
    Arrive { request: usize, attempt: Attempt },
    /// A run has done the work before its calls, and makes them.
    Call { run: u64 },
    /// A run has done its work.
    Worked { run: u64 },
    /// The outcome of an attempt reaches the caller's daemon.
    Back { request: usize, id: AttemptId, outcome: AttemptOutcome },
    /// A fault begins.
    Fault { fault: usize },
    /// A fault ends.
    Mended { fault: usize },
    /// The other hosts learn which targets there are.
    Notice,
}

/// A request of a caller, or a call of a run.
#[derive(Debug)]
struct Request {
    route: usize,
    host: usize,
    first: Instant,
    deadline: Instant,
    returns: u32,
    parent: Option<u64>,
}

/// A request that has a slot.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    pub(super) host: usize,
    permit: Permit,
    since: Instant,
    /// Calls without answer.
    open: u32,
    failed: bool,
}

/// The decisions of the product under a modelled load.
pub(crate) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policies: &'a Policies,
    rng: SmallRng,
    start: Instant,
    pub(super) now: Instant,
    pub(super) seed: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    due: HashMap<u64, Event>,
    next: u64,
    pub(super) nodes: Vec<Node>,
    requests: Vec<Request>,
    pub(super) runs: HashMap<u64, Run>,
    pub(super) burst: f64,
    served: Served,
}

impl<'a> World<'a> {
    /// A fleet that has run for a while and serves nothing yet.
    pub(crate) fn new(scenario: &'a Scenario, policies: &'a Policies, seed: u64) -> Self {
        let start = Instant::now() + AGE * 2;
        let mut world = Self {
            scenario,
            policies,
            rng: SmallRng::seed_from_u64(seed),
            start,
            now: start,
            seed,
            events: BinaryHeap::new(),
            due: HashMap::new(),
            next: 0,
            nodes: Vec::new(),
            requests: Vec::new(),
            runs: HashMap::new(),
            burst: 1.0,
            served: Served::new(scenario),
        };
        let warm = start.checked_sub(AGE).unwrap_or(start);
        world.nodes = (0..scenario.hosts.len()).map(|idx| world.node(idx, warm, 0)).collect();
        world.notice();
        world
    }

    /// Plays the scenario to its end.
    pub(crate) fn play(mut self) -> Served {
        for route in 0..self.scenario.routes.len() {
            self.arrive_later(route);
        }
        for (fault, row) in self.scenario.faults.iter().enumerate() {
            self.at(self.start + span(row.at), Event::Fault { fault });
        }
        let end = self.start + span(self.scenario.time);
        let over = end + TAIL;
        while let Some(at) = self.next_time() {
            if at > over {
                break;
            }
            self.now = at;
            self.expire();
            while let Some(Reverse((due, id))) = self.events.peek().copied()
                && due <= at
            {
                self.events.pop();
                if let Some(event) = self.due.remove(&id) {
                    self.on_event(event, end);
                }
            }
        }
        self.served.sum_up(self.scenario)
    }

    pub(super) fn at(&mut self, at: Instant, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.due.insert(self.next, event);
    }

    fn next_time(&self) -> Option<Instant> {
        let event = self.events.peek().map(|Reverse((at, _))| *at);
        let gates = self.nodes.iter().filter(|node| node.alive);
        gates.filter_map(|node| node.gate.deadline()).chain(event).min()
    }

    fn expire(&mut self) {
        for host in 0..self.nodes.len() {
            let node = &mut self.nodes[host];
            if node.alive && node.gate.deadline().is_some_and(|at| at <= self.now) {
                let wakes = node.gate.expire(self.now);
                self.wake(host, wakes);
            }
        }
    }

    fn on_event(&mut self, event: Event, end: Instant) {
        match event {
            Event::Fresh { route } => {
                if self.now < end {
                    self.fresh(route);
                    self.arrive_later(route);
                }
            }
            Event::Begin { request } => self.begin(request),
            Event::Arrive { request, attempt } => self.arrive(request, &attempt),
            Event::Call { run } => self.call(run),
            Event::Worked { run } => self.end_run(run),
            Event::Back { request, id, outcome } => self.back(request, id, outcome),
            Event::Fault { fault } => self.fault(fault),
            Event::Mended { fault } => self.mend(fault),
            Event::Notice => self.notice(),
        }
    }

    /// Schedules the next request of callers on a route.
    fn arrive_later(&mut self, route: usize) {
        let rate = self.scenario.routes[route].rate * self.burst;
        if let Ok(gap) = Exp::new(rate)
            && rate > 0.0
        {
            let gap = Duration::from_secs_f64(gap.sample(&mut self.rng));
            self.at(self.now + gap, Event::Fresh { route });
        }
    }

    fn fresh(&mut self, route: usize) {
        let load = &self.scenario.routes[route];
        self.served.asked(route, self.now - self.start);
        // Callers of a host that is down go elsewhere.
        let up: Vec<usize> = (0..self.nodes.len()).filter(|idx| self.nodes[*idx].alive).collect();
        if up.is_empty() {
            self.served.failed(route, self.now - self.start);
            return;
        }
        let host = up[self.rng.random_range(0..up.len())];
        let request = Request {
            route,
            host,
            first: self.now,
            deadline: self.now + span(load.deadline),
            returns: load.returns,
            parent: None,
        };
        self.send_first(request);
    }

    /// Gives a new request to its first daemon.
    fn send_first(&mut self, request: Request) {
        self.requests.push(request);
        self.begin(self.requests.len() - 1);
    }

    fn begin(&mut self, idx: usize) {
        let request = &self.requests[idx];
        let left = request.deadline.saturating_duration_since(self.now);
        let path = format!("/{}", self.scenario.routes[request.route].name);
        let info = RequestInfo {
            host: CALLED,
            path: &path,
            method: "GET",
            timeout: Some(left),
            stated_timeout: Some(left),
            ..RequestInfo::default()
        };
        let node = &mut self.nodes[request.host];
        match node.dispatcher.begin(info, self.now) {
            Decision::Forward(attempt) => self.send(idx, attempt, Duration::ZERO),
            Decision::Refuse(refusal) => self.refused(idx, &refusal),
        }
    }

    fn send(&mut self, request: usize, attempt: Attempt, after: Duration) {
        let to = position(&attempt.endpoint.host);
        let delay = self.delay(self.requests[request].host, to);
        self.at(self.now + after + delay, Event::Arrive { request, attempt });
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let hosts = &self.scenario.hosts;
        match () {
            () if from == to => Duration::ZERO,
            () if hosts[from].domain == hosts[to].domain => span(self.scenario.near),
            () => span(self.scenario.far),
        }
    }

    fn arrive(&mut self, request: usize, attempt: &Attempt) {
        let host = position(&attempt.endpoint.host);
        let node = &mut self.nodes[host];
        if !node.alive || u32::from(attempt.endpoint.target) != node.born {
            let reason = if node.alive { Reason::UnknownTarget } else { Reason::ConnectFailed };
            self.answer_not_run(request, host, attempt.id, reason, None);
            return;
        }
        if node.left {
            self.answer_not_run(request, host, attempt.id, Reason::Draining, None);
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
            Admission::Run(permit) => self.run(request, attempt.id, host, permit),
            Admission::Wait(ticket) => {
                node.waiting.insert(ticket, (request, attempt.id));
            }
            Admission::Refuse(refusal) => {
                self.answer_not_run(request, host, attempt.id, refusal.reason, Some(&refusal));
            }
        }
    }

    fn answer_not_run(
        &mut self,
        request: usize,
        host: usize,
        id: AttemptId,
        reason: Reason,
        refusal: Option<&Refusal>,
    ) {
        let load = self.nodes[host].alive.then(|| self.nodes[host].load());
        let retry_after = refusal.map(|refusal| refusal.retry_after);
        let outcome = AttemptOutcome::NotRun { reason, retry_after, load };
        self.answer(request, host, id, outcome);
    }

    pub(super) fn answer(
        &mut self,
        request: usize,
        host: usize,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let delay = self.delay(host, self.requests[request].host);
        self.at(self.now + delay, Event::Back { request, id, outcome });
    }

    /// Starts a run: half of its work, then its calls, then the rest.
    fn run(&mut self, request: usize, attempt: AttemptId, host: usize, permit: Permit) {
        self.next += 1;
        let id = self.next;
        let (since, open, failed) = (self.now, 0, false);
        self.served.handed(host, since - self.start);
        self.runs.insert(id, Run { request, attempt, host, permit, since, open, failed });
        let half = self.work(id) / 2;
        self.at(self.now + half, Event::Call { run: id });
    }

    fn call(&mut self, id: u64) {
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
        run.open = u32::try_from(calls.len()).unwrap_or(u32::MAX);
        if calls.is_empty() {
            self.finish_work(id);
        }
        for route in calls {
            let deadline = self.now + span(self.scenario.routes[route].deadline);
            let deadline = deadline.min(self.requests[request].deadline);
            let parent = Some(id);
            let first = self.now;
            self.send_first(Request { route, host, first, deadline, returns: 0, parent });
        }
    }

    /// Schedules the end of a run whose calls are answered.
    fn finish_work(&mut self, id: u64) {
        let half = self.work(id) / 2;
        self.at(self.now + half, Event::Worked { run: id });
    }

    /// A random time of work for a run, at the speed of its target now.
    fn work(&mut self, id: u64) -> Duration {
        let Some(run) = self.runs.get(&id) else { return Duration::ZERO };
        let load = &self.scenario.routes[self.requests[run.request].route];
        let node = &self.nodes[run.host];
        let mut factor = node.factor / self.scenario.hosts[run.host].speed;
        if let Some((until, cold)) = node.cold
            && self.now < until
        {
            factor *= cold;
        }
        let mean = span(load.work).as_secs_f64();
        let work = LogNormal::new(mean.ln() - load.spread * load.spread / 2.0, load.spread);
        Duration::from_secs_f64(work.map_or(mean, |work| work.sample(&mut self.rng)) * factor)
    }

    fn end_run(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        let status = if run.failed { 500 } else { 200 };
        let latency = self.now - run.since;
        let node = &mut self.nodes[run.host];
        node.gate.observe_limit(node.limit, run.since, self.now);
        node.left |= node.leaves;
        let outcome = RunOutcome::Answered { status, latency };
        let wakes = node.gate.finish(run.permit, outcome, self.now);
        let load = Some(node.load());
        self.wake(run.host, wakes);
        self.served.used(self.requests[run.request].route, latency, run.failed);
        let outcome = AttemptOutcome::Answered { status, load, latency };
        self.answer(run.request, run.host, run.attempt, outcome);
    }

    fn wake(&mut self, host: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run { ticket, permit } => {
                    if let Some((request, id)) = self.nodes[host].waiting.remove(&ticket) {
                        self.run(request, id, host, permit);
                    }
                }
                Wake::Refuse { ticket, refusal } => {
                    if let Some((request, id)) = self.nodes[host].waiting.remove(&ticket) {
                        let reason = refusal.reason;
                        self.answer_not_run(request, host, id, reason, Some(&refusal));
                    }
                }
            }
        }
    }

    fn back(&mut self, request: usize, id: AttemptId, outcome: AttemptOutcome) {
        let host = self.requests[request].host;
        match self.nodes[host].dispatcher.settle(id, outcome, self.now) {
            Next::Deliver => {
                let good = matches!(outcome, AttemptOutcome::Answered { status: 200, .. });
                self.answered(request, good);
            }
            Next::Retry { after, attempt } => self.send(request, attempt, after),
            Next::Refuse(refusal) => self.refused(request, &refusal),
        }
    }

    fn answered(&mut self, idx: usize, good: bool) {
        let request = &self.requests[idx];
        if let Some(parent) = request.parent {
            self.served.called(request.route, self.now - request.first, good);
            self.call_ended(parent, good);
            return;
        }
        let (route, sent) = (request.route, request.first - self.start);
        let objective = span(self.scenario.routes[route].objective);
        match () {
            () if !good || self.now > request.deadline => self.served.failed(route, sent),
            () if self.now - request.first <= objective => self.served.timely(route, sent),
            () => self.served.late(route, sent),
        }
    }

    fn refused(&mut self, idx: usize, refusal: &Refusal) {
        let request = &mut self.requests[idx];
        if let Some(parent) = request.parent {
            self.served.called(request.route, self.now - request.first, false);
            self.call_ended(parent, false);
            return;
        }
        let left = request.deadline.saturating_duration_since(self.now);
        if request.returns == 0 || left.is_zero() {
            let (route, sent) = (request.route, request.first - self.start);
            self.served.refused(route, sent);
            return;
        }
        request.returns -= 1;
        let wait = refusal.retry_after.min(left.mul_f64(HEED));
        self.at(self.now + wait, Event::Begin { request: idx });
    }

    /// A call of a run has ended; the run fails with it.
    fn call_ended(&mut self, id: u64, good: bool) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        if run.failed {
            return;
        }
        run.open -= 1;
        if !good {
            run.failed = true;
            self.at(self.now, Event::Worked { run: id });
        } else if run.open == 0 {
            self.finish_work(id);
        }
    }
}
