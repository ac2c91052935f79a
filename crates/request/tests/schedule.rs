//! Random schedules of requests, retries, limits, drains and crashes with a small model of targets.
//! Guards against running a non-idempotent request twice (P6), a wrong "not run" (P5), more
//! requests at a target than it has slots, ejecting too large a share of the targets, retries beyond
//! the budget, and requests that never end.

#![allow(clippy::expect_used)]

mod support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use dw_request::{
    Admission, Arrival, Attempt, AttemptId, AttemptOutcome, Decision, Dispatcher, EndpointState,
    Gate, GateConfig, Next, Outcome, Permit, Reason, Refusal, RequestInfo, RetryBudget, RunOutcome,
    Ticket, Wake,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{dispatcher, endpoint, ms, version};
use tokio::time::Instant;

const TARGETS: usize = 6;
const SLOTS: u32 = 3;
const CALLERS: usize = 2;
const REQUESTS: usize = 400;

/// Share of the pool that may be ejected, in percent; the same as in the table of pools below.
const SHARE: usize = 33;

struct Request {
    caller: usize,
    at_most_once: bool,
    runs: u32,
    attempts: u32,
    end: Option<Outcome>,
}

struct Target {
    gate: Gate,
    waiting: HashMap<Ticket, Call>,
    running: BTreeMap<u64, (Permit, Call)>,
    /// Requests that the target still runs, including those that its daemon has given up on.
    busy: u32,
    /// Number of restarts.
    restarts: u32,
    draining: bool,
}

#[derive(Clone, Copy)]
struct Call {
    request: usize,
    id: AttemptId,
}

enum Event {
    Request,
    Arrive { target: usize, call: Call, deadline: Instant, depth: u8 },
    Expire { target: usize },
    Done { target: usize, run: u64 },
    Idle { target: usize, restarts: u32 },
    Reply { call: Call, outcome: AttemptOutcome },
    Members,
    Drain { target: usize },
    Crash { target: usize },
}

struct World {
    rng: SmallRng,
    start: Instant,
    now: Instant,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    callers: Vec<Dispatcher>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    begun: [u64; CALLERS],
    retries: [u64; CALLERS],
    reasons: HashMap<Reason, u32>,
}

impl World {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let rng = SmallRng::seed_from_u64(seed);
        let tables = version(
            1,
            r#"{"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally",
                "repeat": "idempotent", "retries": 3, "deadline": "300ms"},
               {"name": "credit", "match": {"path": "/credit"}, "pool": "tally", "retries": 2,
                "deadline": "300ms"}"#,
            r#"{"name": "tally", "service": "tally",
                "ejection": {"failures": 3, "share": 33, "time": "500ms"}}"#,
        );
        let config = GateConfig {
            slots: SLOTS,
            queue: 2,
            queue_wait: ms(20),
            linger: ms(100),
            ..GateConfig::default()
        };
        let target = || Target {
            gate: Gate::new(config.clone()),
            waiting: HashMap::new(),
            running: BTreeMap::new(),
            busy: 0,
            restarts: 0,
            draining: false,
        };
        let mut world = Self {
            rng,
            start,
            now: start + ms(60_000),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            callers: (0..CALLERS)
                .map(|i| dispatcher(seed ^ i as u64, tables.clone(), Vec::new()))
                .collect(),
            targets: (0..TARGETS).map(|_| target()).collect(),
            requests: Vec::new(),
            begun: [0; CALLERS],
            retries: [0; CALLERS],
            reasons: HashMap::new(),
        };
        world.members();
        world.schedule_all(seed);
        world
    }

    /// Schedules the requests and what happens to the targets.
    fn schedule_all(&mut self, seed: u64) {
        let gap = [1, 4, 12][usize::try_from(seed % 3).unwrap_or_default()];
        for i in 0..REQUESTS as u64 {
            let at = i * gap + self.rng.random_range(0..5);
            self.push(at, Event::Request);
        }
        for at in (0..REQUESTS as u64 * gap).step_by(150) {
            self.push(at, Event::Members);
            let target = self.rng.random_range(0..TARGETS);
            match self.rng.random_range(0..8) {
                0 => self.push(at + 70, Event::Drain { target }),
                1 | 2 => self.push(at + 70, Event::Crash { target }),
                _ => {}
            }
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.due.push(Reverse((self.now + ms(after), self.next)));
        self.events.insert(self.next, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.due.pop() {
            self.now = at;
            match self.events.remove(&number).expect("event") {
                Event::Request => self.request(),
                Event::Arrive { target, call, deadline, depth } => {
                    self.arrive(
                        target,
                        call,
                        Arrival { depth, deadline, goal: None, fingerprint: None, limit: None },
                    );
                }
                Event::Expire { target } => {
                    let wakes = self.targets[target].gate.expire(at);
                    self.wake(target, wakes);
                }
                Event::Done { target, run } => self.done(target, run),
                Event::Idle { target, restarts } => {
                    let it = &mut self.targets[target];
                    it.busy -= u32::from(it.restarts == restarts);
                }
                Event::Reply { call, outcome } => self.reply(call, outcome),
                Event::Members => self.members(),
                Event::Drain { target } => {
                    self.targets[target].draining = true;
                    self.targets[target].gate.drain();
                }
                Event::Crash { target } => self.crash(target),
            }
        }
    }

    /// Gives each caller a membership view that may be wrong about any target.
    fn members(&mut self) {
        for i in 0..CALLERS {
            let list = (0..TARGETS).map(|t| {
                let domain = if t % 2 == 0 { "portland" } else { "worcester" };
                let mut e = endpoint(&t.to_string(), domain, "new-england", self.start);
                e.slots = SLOTS;
                let leaving = self.targets[t].draining && self.rng.random_bool(0.5);
                e.state = match self.rng.random_range(0..20) {
                    _ if leaving => EndpointState::Leaving,
                    0 => EndpointState::Suspect,
                    1 => EndpointState::Dead,
                    _ => EndpointState::Alive,
                };
                e
            });
            let list = list.collect();
            self.callers[i].set_endpoints(list);
        }
    }

    fn request(&mut self) {
        let caller = self.rng.random_range(0..CALLERS);
        let at_most_once = self.rng.random_bool(0.5);
        let path = if at_most_once { "/credit" } else { "/lookup" };
        let info = RequestInfo {
            host: "kiosk",
            path,
            method: "POST",
            depth: self.rng.random_range(0..4),
            retried: self.rng.random_bool(0.05),
            ..RequestInfo::default()
        };
        self.requests.push(Request { caller, at_most_once, runs: 0, attempts: 0, end: None });
        let request = self.requests.len() - 1;
        match self.callers[caller].begin(info, self.now) {
            Decision::Forward(attempt) => {
                self.begun[caller] += 1;
                self.send(request, &attempt, 0);
            }
            Decision::Refuse(refusal) => self.refuse(request, refusal),
        }
    }

    /// Sends an attempt; it may fail before it arrives, or the caller's daemon may give up on it.
    fn send(&mut self, request: usize, attempt: &Attempt, after: u64) {
        self.requests[request].attempts += 1;
        let call = Call { request, id: attempt.id };
        let target = attempt.endpoint.host.parse().expect("target");
        let (deadline, depth) = (attempt.deadline, attempt.depth);
        let lost = AttemptOutcome::Unknown { reason: Reason::ConnectionLost };
        let late = AttemptOutcome::Unknown { reason: Reason::TimedOut };
        let failed =
            AttemptOutcome::NotRun { reason: Reason::ConnectFailed, retry_after: None, load: None };
        match self.rng.random_range(0..100) {
            0..3 => return self.push(after + 1, Event::Reply { call, outcome: failed }),
            3..5 => return self.push(after + 1, Event::Reply { call, outcome: lost }),
            5..7 => self.push(after + 3, Event::Reply { call, outcome: lost }),
            7 => self.push(after + 3, Event::Reply { call, outcome: AttemptOutcome::Cancelled }),
            _ => {}
        }
        let left = attempt.deadline.saturating_duration_since(self.now);
        let left = u64::try_from(left.as_millis()).expect("timeout");
        self.push(left, Event::Reply { call, outcome: late });
        self.push(after + 1, Event::Arrive { target, call, deadline, depth });
    }

    fn arrive(&mut self, target: usize, call: Call, arrival: Arrival) {
        let draining = self.targets[target].draining;
        match self.targets[target].gate.offer(arrival, self.now) {
            Admission::Run(_) | Admission::Wait(_) if draining => panic!("new work at {target}"),
            Admission::Run(permit) => self.start(target, permit, call),
            Admission::Wait(ticket) => {
                self.targets[target].waiting.insert(ticket, call);
            }
            Admission::Refuse(refusal) => self.not_run(target, call, refusal),
        }
        self.schedule(target);
    }

    /// Schedules the expiry that the gate asks for.
    fn schedule(&mut self, target: usize) {
        if let Some(due) = self.targets[target].gate.deadline() {
            let wait = due.saturating_duration_since(self.now).as_micros().div_ceil(1000);
            self.push(u64::try_from(wait).expect("wait"), Event::Expire { target });
        }
    }

    fn start(&mut self, target: usize, permit: Permit, call: Call) {
        self.requests[call.request].runs += 1;
        let request = &self.requests[call.request];
        assert!(!request.at_most_once || request.runs == 1, "request {} ran twice", call.request);
        self.next += 1;
        let run = self.next;
        let it = &mut self.targets[target];
        it.busy += 1;
        assert!(it.busy <= SLOTS, "target {target} runs {} requests", it.busy);
        assert!(it.gate.load().in_flight <= SLOTS);
        it.running.insert(run, (permit, call));
        let time = self.rng.random_range(1..20);
        self.push(time, Event::Done { target, run });
    }

    /// A run ends, or its connection breaks and the target continues to run it for a while.
    fn done(&mut self, target: usize, run: u64) {
        let Some((permit, call)) = self.targets[target].running.remove(&run) else { return };
        let load = Some(self.targets[target].gate.load());
        let latency = ms(5);
        let (end, outcome) = match self.rng.random_range(0..100) {
            0..5 => {
                let rest = self.rng.random_range(0..90);
                let restarts = self.targets[target].restarts;
                self.push(rest, Event::Idle { target, restarts });
                (RunOutcome::Lost, AttemptOutcome::Unknown { reason: Reason::ConnectionLost })
            }
            pick => {
                self.targets[target].busy -= 1;
                // Target 0 fails often; target 1 often sheds load.
                let status = match (target, pick) {
                    (0, 5..60) | (_, 5..7) => 500,
                    (1, 5..40) | (_, 7..9) => 503,
                    _ => 200,
                };
                let answered = AttemptOutcome::Answered { status, load, latency };
                (RunOutcome::Answered { status, latency }, answered)
            }
        };
        let wakes = self.targets[target].gate.finish(permit, end, self.now);
        self.push(1, Event::Reply { call, outcome });
        self.wake(target, wakes);
    }

    fn wake(&mut self, target: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run { ticket, permit } => {
                    let call = self.targets[target].waiting.remove(&ticket).expect("ticket");
                    self.start(target, permit, call);
                }
                Wake::Refuse { ticket, refusal } => {
                    let call = self.targets[target].waiting.remove(&ticket).expect("ticket");
                    self.not_run(target, call, refusal);
                }
            }
        }
        self.schedule(target);
    }

    fn not_run(&mut self, target: usize, call: Call, refusal: Refusal) {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        let load = Some(self.targets[target].gate.load());
        let retry_after = Some(refusal.retry_after);
        let outcome = AttemptOutcome::NotRun { reason: refusal.reason, retry_after, load };
        self.push(1, Event::Reply { call, outcome });
    }

    /// The target dies with the requests that it runs, and is restarted.
    fn crash(&mut self, target: usize) {
        self.targets[target].gate.target_died(self.now);
        self.targets[target].restarts += 1;
        self.targets[target].busy = 0;
        let running = std::mem::take(&mut self.targets[target].running);
        for (_, (permit, call)) in running {
            let wakes = self.targets[target].gate.finish(permit, RunOutcome::Lost, self.now);
            let outcome = AttemptOutcome::Unknown { reason: Reason::TargetDied };
            self.push(1, Event::Reply { call, outcome });
            self.wake(target, wakes);
        }
    }

    fn reply(&mut self, call: Call, outcome: AttemptOutcome) {
        let caller = self.requests[call.request].caller;
        let before = self.callers[caller].in_flight();
        let next = self.callers[caller].settle(call.id, outcome, self.now);
        if let Some((out, all)) = self.callers[caller].ejected("tally") {
            assert!(out * 100 <= all * SHARE, "{out} of {all} ejected");
        }
        match next {
            Next::Deliver if self.callers[caller].in_flight() < before => {
                self.end(call.request, Outcome::Run);
            }
            Next::Deliver => {}
            Next::Retry { after, attempt } => {
                self.retries[caller] += 1;
                let bound = RetryBudget::bound(self.begun[caller]);
                assert!(self.retries[caller] <= bound, "{} retries", self.retries[caller]);
                let after = u64::try_from(after.as_millis()).expect("delay");
                self.send(call.request, &attempt, after);
            }
            Next::Refuse(refusal) => self.refuse(call.request, refusal),
        }
    }

    fn refuse(&mut self, request: usize, refusal: Refusal) {
        for reason in [Some(refusal.reason), refusal.no_retry].into_iter().flatten() {
            *self.reasons.entry(reason).or_default() += 1;
        }
        assert!(!refusal.retry_after.is_zero());
        self.end(request, refusal.outcome);
    }

    fn end(&mut self, request: usize, outcome: Outcome) {
        let it = &mut self.requests[request];
        assert!(it.end.is_none(), "request {request} ended twice");
        it.end = Some(outcome);
        let limit = if it.at_most_once { 3 } else { 4 };
        assert!(it.attempts <= limit, "request {request} was sent {} times", it.attempts);
    }

    /// Checks that nothing is left in flight and that no request reported as not run was run.
    fn check_end(&mut self) {
        for (number, request) in self.requests.iter().enumerate() {
            let not_run = request.end == Some(Outcome::NotRun);
            assert!(request.end.is_some(), "request {number} never ended");
            assert!(!not_run || request.runs == 0, "request {number} was run");
        }
        assert!(self.callers.iter().all(|c| c.in_flight() == 0));
        for target in &mut self.targets {
            assert!(target.gate.expire(self.now + ms(100)).is_empty());
            assert!(target.gate.is_idle());
            assert_eq!((target.gate.load().in_flight, target.busy), (0, 0));
        }
    }
}

fn run(seed: u64) -> HashMap<Reason, u32> {
    let mut world = World::new(seed);
    world.run();
    world.check_end();
    world.reasons
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x0d5a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn history_keeps_the_invariants(seed: u64) {
        run(seed);
    }
}

/// Guards against schedules that never exercise the rules under test.
#[test]
fn schedules_reach_every_rule() {
    let mut reasons: HashMap<Reason, u32> = HashMap::new();
    for (reason, count) in (0..30).flat_map(run) {
        *reasons.entry(reason).or_default() += count;
    }
    for reason in [
        Reason::QueueFull,
        Reason::QueueWait,
        Reason::QueuePreempted,
        Reason::Draining,
        Reason::Shedding,
        Reason::TargetDied,
        Reason::RetryBudget,
        Reason::RetryLevel,
        Reason::RetryShedding,
        Reason::RetryUnsafe,
    ] {
        assert!(reasons.contains_key(&reason), "{reason}: {reasons:?}");
    }
}
