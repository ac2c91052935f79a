//! Targets of unequal and changing capacity, with gates and callers' daemons but without a network. Each
//! test plays a load and checks what callers get.

#![allow(clippy::expect_used)]

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dw_request::{
    Admission, Arrival, Attempt, AttemptId, AttemptOutcome, Decision, Dispatcher, DispatcherConfig,
    Endpoint, Gate, GateConfig, Goal, Load, Next, Permit, RetryAfterPolicy, RunOutcome, Ticket,
    Wake,
};
use dw_tables::{Capacity, Version};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{endpoint, get, ms, version};
use tokio::time::Instant;

const SLOTS: u32 = 12;

/// Service time at a target of speed 1, latency objective and deadline of each request.
const WORK: Duration = ms(100);
const OBJECTIVE: Duration = ms(400);
const DEADLINE: Duration = ms(1500);

/// Requests that a target of speed 1 serves in a second.
const TARGET_RATE: f64 = 120.0;

/// Age of the targets at the start, so that they are warm.
const WARM_AGE: Duration = Duration::from_secs(60);

/// The failure domain of a target, its speed by the time since the start, and its knee.
type TargetSpec = (&'static str, fn(Duration) -> f64, u32);

/// A target of the fleet.
struct Site {
    domain: &'static str,
    /// Its speed by the time since the start.
    speed: fn(Duration) -> f64,
    /// Requests in flight above which service times grow with their square.
    knee: u32,
    gate: Gate,
    waiting: BTreeMap<Ticket, Sent>,
    in_flight: u32,
    runs: Vec<Duration>,
}

/// An attempt of a request.
#[derive(Clone, Copy)]
struct Sent {
    caller: usize,
    id: AttemptId,
    goal: Goal,
    sent: Instant,
    deadline: Instant,
    returns_left: u32,
}

enum Step {
    Request { caller: usize },
    Return(Sent),
    Finish { site: usize, sent: Sent, permit: Permit, took: Duration },
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    timely: u32,
    late: u32,
    refused: u32,
    /// Requests that ran in another failure domain.
    far: u32,
}

impl Served {
    fn timely_share(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }
}

struct Fleet {
    sites: Vec<Site>,
    callers: Vec<(&'static str, Dispatcher, f64)>,
    returns: u32,
    rng: SmallRng,
    start: Instant,
    now: Instant,
    steps: BTreeMap<(Instant, u64), Step>,
    last: u64,
    served: Served,
}

fn tables(capacity: &str) -> Arc<Version> {
    version(
        1,
        r#"{"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally",
            "repeat": "idempotent", "retries": 1, "deadline": "1500ms", "objective": "400ms"}"#,
        &format!(r#"{{"name": "tally", "service": "tally", "capacity": "{capacity}"}}"#),
    )
}

fn domain_of_caller(domain: &'static str) -> DispatcherConfig {
    DispatcherConfig {
        host: format!("{domain}-caller").into(),
        domain: domain.into(),
        region: "new-england".into(),
        seed: 1,
        reroutes: 2,
        retry_after: RetryAfterPolicy::Deadline,
    }
}

impl Fleet {
    /// Targets with their speeds, and callers with their requests per second.
    fn new(targets: &[TargetSpec], callers: &[(&'static str, f64)]) -> Self {
        let start = Instant::now() + WARM_AGE * 2;
        let warm = start.checked_sub(WARM_AGE).expect("time");
        let endpoints: Vec<Endpoint> = targets
            .iter()
            .enumerate()
            .map(|(idx, (domain, ..))| Endpoint {
                slots: SLOTS,
                ..endpoint(&idx.to_string(), domain, "new-england", warm)
            })
            .collect();
        let site = |(domain, speed, knee): &TargetSpec| {
            let mut gate = Gate::new(GateConfig { slots: SLOTS, ..GateConfig::default() });
            gate.set_queue(24, ms(1000));
            gate.set_capacity(Capacity::Learned);
            let (domain, speed, knee) = (*domain, *speed, *knee);
            let waiting = BTreeMap::new();
            Site { domain, speed, knee, gate, waiting, in_flight: 0, runs: Vec::new() }
        };
        let caller = |(domain, rate): &(&'static str, f64)| {
            let mut dispatcher = Dispatcher::new(domain_of_caller(domain));
            dispatcher.set_version(tables("learned"));
            dispatcher.set_endpoints(endpoints.clone());
            (*domain, dispatcher, *rate)
        };
        Self {
            sites: targets.iter().map(site).collect(),
            callers: callers.iter().map(caller).collect(),
            returns: 0,
            rng: SmallRng::seed_from_u64(1),
            start,
            now: start,
            steps: BTreeMap::new(),
            last: 0,
            served: Served::default(),
        }
    }

    /// Plays the load until this time after the start and returns what callers got since the last call.
    fn play(&mut self, until: Duration) -> Served {
        self.served = Served::default();
        let end = self.start + until;
        for caller in 0..self.callers.len() {
            self.schedule_request(caller, end);
        }
        loop {
            let gates = self.sites.iter().filter_map(|site| site.gate.deadline()).min();
            let step = self.steps.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = gates.into_iter().chain(step).min() else { break };
            self.now = self.now.max(at);
            for site in 0..self.sites.len() {
                let wakes = self.sites[site].gate.expire(self.now);
                self.apply(site, wakes);
            }
            while let Some(entry) = self.steps.first_entry()
                && entry.key().0 <= self.now
            {
                match entry.remove() {
                    Step::Request { caller } => {
                        self.served.asked += 1;
                        let returns_left = self.returns;
                        self.begin(caller, self.now, returns_left);
                        self.schedule_request(caller, end);
                    }
                    Step::Return(sent) => self.begin(sent.caller, sent.sent, sent.returns_left - 1),
                    Step::Finish { site, sent, permit, took } => {
                        self.finish(site, sent, permit, took);
                    }
                }
            }
        }
        self.served
    }

    fn schedule(&mut self, at: Instant, step: Step) {
        self.last += 1;
        self.steps.insert((at, self.last), step);
    }

    fn schedule_request(&mut self, caller: usize, end: Instant) {
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.callers[caller].2;
        let at = self.now + Duration::from_secs_f64(gap);
        if at < end {
            self.schedule(at, Step::Request { caller });
        }
    }

    fn begin(&mut self, caller: usize, sent: Instant, returns_left: u32) {
        let left = (sent + DEADLINE).saturating_duration_since(self.now);
        let info = dw_request::RequestInfo {
            timeout: Some(left),
            stated_timeout: Some(left),
            ..get("/lookup")
        };
        match self.callers[caller].1.begin(info, self.now) {
            Decision::Forward(attempt) => self.send(caller, sent, returns_left, &attempt),
            Decision::Refuse(_) => self.served.refused += 1,
        }
    }

    fn send(&mut self, caller: usize, sent: Instant, returns_left: u32, attempt: &Attempt) {
        let site: usize = attempt.endpoint.host.parse().expect("index");
        let (id, goal) = (attempt.id, attempt.goal);
        let sent = Sent { caller, id, goal, sent, deadline: sent + DEADLINE, returns_left };
        let arrival = Arrival {
            depth: 0,
            deadline: sent.deadline,
            goal: Some(goal),
            fingerprint: None,
            limit: None,
        };
        match self.sites[site].gate.offer(arrival, self.now) {
            Admission::Run(permit) => self.run(site, sent, permit),
            Admission::Wait(ticket) => {
                self.sites[site].waiting.insert(ticket, sent);
            }
            Admission::Refuse(refusal) => self.refused(site, sent, refusal.reason),
        }
    }

    fn run(&mut self, site: usize, sent: Sent, permit: Permit) {
        let since = self.now - self.start;
        let spread = self.rng.random_range(0.7..1.3);
        let target = &mut self.sites[site];
        target.in_flight += 1;
        target.runs.push(since);
        let crowding = (f64::from(target.in_flight) / f64::from(target.knee)).max(1.0).powi(2);
        let took = WORK.mul_f64(spread * crowding / (target.speed)(since));
        if target.domain != self.callers[sent.caller].0 {
            self.served.far += 1;
        }
        self.schedule(self.now + took, Step::Finish { site, sent, permit, took });
    }

    fn finish(&mut self, site: usize, sent: Sent, permit: Permit, latency: Duration) {
        let target = &mut self.sites[site];
        target.in_flight -= 1;
        let outcome = RunOutcome::Answered { status: 200, latency };
        let wakes = target.gate.finish(permit, outcome, self.now);
        let load = Some(target.gate.load_for(Some(&sent.goal)));
        self.apply(site, wakes);
        let outcome = AttemptOutcome::Answered { status: 200, load, latency };
        self.callers[sent.caller].1.settle(sent.id, outcome, self.now);
        match self.now - sent.sent {
            took if took <= OBJECTIVE => self.served.timely += 1,
            _ => self.served.late += 1,
        }
    }

    fn apply(&mut self, site: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run { ticket, permit } => {
                    let sent = self.sites[site].waiting.remove(&ticket).expect("waiting");
                    self.run(site, sent, permit);
                }
                Wake::Refuse { ticket, refusal } => {
                    let sent = self.sites[site].waiting.remove(&ticket).expect("waiting");
                    self.refused(site, sent, refusal.reason);
                }
            }
        }
    }

    fn refused(&mut self, site: usize, sent: Sent, reason: dw_request::Reason) {
        let load = Some(self.sites[site].gate.load_for(Some(&sent.goal)));
        let outcome = AttemptOutcome::NotRun { reason, retry_after: None, load };
        match self.callers[sent.caller].1.settle(sent.id, outcome, self.now) {
            Next::Retry { attempt, .. } => {
                self.send(sent.caller, sent.sent, sent.returns_left, &attempt);
            }
            // The caller ignores the time that it is asked to wait.
            Next::Refuse(_) if sent.returns_left > 0 => {
                self.schedule(self.now + ms(1), Step::Return(sent));
            }
            _ => self.served.refused += 1,
        }
    }

    /// Requests that ran at a target between two times after the start.
    fn runs(&self, site: usize, from: Duration, until: Duration) -> usize {
        self.sites[site].runs.iter().filter(|at| (from..until).contains(*at)).count()
    }
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn even(_: Duration) -> f64 {
    1.0
}

fn slow(_: Duration) -> f64 {
    0.6
}

fn fast(_: Duration) -> f64 {
    1.6
}

/// Guards against slow targets that get as many requests as fast ones, so that requests wait at some
/// while slots are free at others.
#[gtest]
fn targets_of_unequal_speed_share_the_load_by_speed() {
    let targets = [slow, even, fast].map(|speed: fn(Duration) -> f64| ("portland", speed, SLOTS));
    let capacity = 2.0 * 3.2 * TARGET_RATE;
    let mut fleet = Fleet::new(&[targets, targets].concat(), &[("portland", capacity * 0.8)]);
    let served = fleet.play(secs(20));
    expect_that!(served.timely_share(), ge(0.99), "{served:?}");
}

/// Guards against a target that keeps getting its share while it is slow, and one that is avoided after it
/// has recovered.
#[gtest]
fn a_target_that_slows_to_a_fifth_and_recovers_is_followed() {
    fn fifth(at: Duration) -> f64 {
        if (secs(5)..secs(11)).contains(&at) { 0.2 } else { 1.0 }
    }
    let mut targets = vec![("portland", even as fn(Duration) -> f64, SLOTS); 5];
    targets.push(("portland", fifth, SLOTS));
    let mut fleet = Fleet::new(&targets, &[("portland", 6.0 * TARGET_RATE * 0.7)]);
    fleet.play(secs(5));
    // Requests that it runs when it slows down can no longer be served elsewhere.
    fleet.play(secs(7));
    let slow = fleet.play(secs(11));
    expect_that!(slow.timely_share(), ge(0.95), "{slow:?}");
    fleet.play(secs(16));
    let after = fleet.play(secs(20));
    expect_that!(after.timely_share(), ge(0.99), "{after:?}");
    let (own, all) = (fleet.runs(5, secs(16), secs(20)), after.asked as usize);
    expect_that!(own * 6 * 2, ge(all), "{own} of {all}");
}

/// Guards against throughput that falls as demand grows beyond the capacity, and against requests that wait
/// only to be served late.
#[gtest]
fn a_pool_offered_more_than_its_capacity_serves_its_capacity_in_time() {
    let targets = [("portland", even as fn(Duration) -> f64, SLOTS); 4];
    for returns in [0, 3] {
        let mut fleet = Fleet::new(&targets, &[("portland", 4.0 * TARGET_RATE * 1.3)]);
        // Callers that ignore the time to wait and retry at once must not displace others.
        fleet.returns = returns;
        fleet.play(secs(3));
        let served = fleet.play(secs(13));
        expect_that!(served.timely_share() * 1.3, ge(0.93), "{returns} returns: {served:?}");
        expect_that!(f64::from(served.late), le(0.02 * f64::from(served.asked)), "{served:?}");
    }
}

/// Guards against requests that are refused in one failure domain while another has room, and against
/// requests that leave a domain with room of its own.
#[gtest]
fn a_peak_in_one_domain_uses_the_room_of_another() {
    let portland = [("portland", even as fn(Duration) -> f64, SLOTS); 3];
    let bangor = [("bangor", even as fn(Duration) -> f64, SLOTS); 3];
    let rate = 3.0 * TARGET_RATE;
    let targets = [portland, bangor].concat();
    let mut fleet = Fleet::new(&targets, &[("portland", rate * 1.3), ("bangor", rate * 0.4)]);
    fleet.play(secs(3));
    let peak = fleet.play(secs(13));
    expect_that!(peak.timely_share(), ge(0.98), "{peak:?}");
    let mut fleet = Fleet::new(&targets, &[("portland", rate * 0.6), ("bangor", rate * 0.6)]);
    let calm = fleet.play(secs(10));
    expect_that!(calm.timely_share(), ge(0.99), "{calm:?}");
    expect_that!(f64::from(calm.far), le(0.01 * f64::from(calm.asked)), "{calm:?}");
}

/// Guards against a pool of fixed capacity that uses or reports service times.
#[gtest]
fn with_fixed_capacity_reports_and_choices_are_as_before() {
    let now = Instant::now();
    let goal = Goal { objective: OBJECTIVE, late_at: now + OBJECTIVE, priority: 0 };
    let mut gate = Gate::new(GateConfig::default());
    gate.set_capacity(Capacity::Fixed);
    for _ in 0..100 {
        let arrival = Arrival {
            depth: 0,
            deadline: now + DEADLINE,
            goal: Some(goal),
            fingerprint: None,
            limit: None,
        };
        let Admission::Run(permit) = gate.offer(arrival, now) else { panic!("not run") };
        gate.finish(permit, RunOutcome::Answered { status: 200, latency: WORK }, now);
    }
    expect_that!(gate.load_for(Some(&goal)).to_string(), eq("0/16/0/0"));
    let dispatcher = || Dispatcher::new(domain_of_caller("portland"));
    let choices = |reported: bool| choices(dispatcher(), "fixed", reported, now);
    expect_that!(choices(true), eq(&choices(false)));
}

/// Guards against a capacity that is learned only where a row says so, although all daemons were asked for it.
#[gtest]
fn a_capacity_that_no_row_states_is_learned() {
    let now = Instant::now();
    let dispatcher =
        |capacity: Capacity| Dispatcher::new(domain_of_caller("portland")).with_capacity(capacity);
    let stated = choices(dispatcher(Capacity::Fixed), "learned", true, now);
    let fixed = choices(dispatcher(Capacity::Fixed), "fixed", true, now);
    expect_that!(stated, not(eq(&fixed)));
    expect_that!(choices(dispatcher(Capacity::Learned), "fixed", true, now), eq(&stated));
    expect_that!(choices(dispatcher(Capacity::Learned), "learned", true, now), eq(&stated));
}

/// The hosts that a dispatcher chooses among targets that report very different service times, if `reported`.
fn choices(
    mut dispatcher: Dispatcher,
    capacity: &str,
    reported: bool,
    now: Instant,
) -> Vec<String> {
    dispatcher.set_version(tables(capacity));
    dispatcher.set_endpoints(support::targets(8, "portland", "new-england", now));
    let choose = |step: u64| {
        let at = now + ms(step * 10);
        let attempt = support::forwarded(dispatcher.begin(get("/lookup"), at));
        let host = attempt.endpoint.host.to_string();
        let service = Duration::from_micros(1000 << (step % 8));
        let service = reported.then_some(service);
        let load = Some(Load { in_flight: 1, slots: 10, service, ..Load::default() });
        let outcome = AttemptOutcome::Answered { status: 200, load, latency: ms(5) };
        dispatcher.settle(attempt.id, outcome, at + ms(5));
        host
    };
    (0..500).map(choose).collect()
}
