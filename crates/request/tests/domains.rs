//! A fleet of several failure domains under load: which responses callers get, and how many requests
//! leave their domain, which is traffic billed by the byte. The load is that of the busiest days of a
//! mesh with 15 slots per target, requests of 90 ms with an objective of 300 ms, and targets of different
//! speed.

mod support;

use std::{collections::BTreeMap, time::Duration};

use dw_request::{
    Admission, Arrival, Attempt, AttemptOutcome, Decision, Dispatcher, DispatcherConfig, Endpoint,
    Gate, GateConfig, Next, Permit, Reason, RequestInfo, RetryAfterPolicy, RunOutcome, Ticket,
    Wake,
};
use dw_tables::Name;
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{endpoint, get, ms, version};
use tokio::time::Instant;

const SLOTS: u32 = 15;
const SERVICE: Duration = ms(90);
const OBJECTIVE: Duration = ms(300);
const DEADLINE: Duration = ms(800);

/// A failure domain: its share of the requests, and the speeds of its targets.
struct Domain {
    name: &'static str,
    callers: f64,
    speeds: &'static [f64],
}

/// Counts of requests and of how they ended.
#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    timely: u32,
    late: u32,
    refused: u32,
    /// Attempts.
    sent: u32,
    /// Attempts at targets of other domains.
    far: u32,
}

/// A request that a daemon has sent to a target.
struct Sent {
    daemon: usize,
    attempt: Attempt,
    since: Instant,
}

struct Target {
    host: Name,
    speed: f64,
    gate: Gate,
    waiting: BTreeMap<Ticket, Sent>,
}

struct Fleet {
    daemons: Vec<Dispatcher>,
    targets: Vec<Target>,
    running: BTreeMap<(Instant, u64), (usize, Permit, Sent, Duration)>,
    domains: Vec<Domain>,
    rng: SmallRng,
    counts: Counts,
    next: u64,
}

impl Fleet {
    fn new(domains: Vec<Domain>) -> Self {
        let start = Instant::now();
        let mut endpoints: Vec<Endpoint> = Vec::new();
        let mut targets = Vec::new();
        for domain in &domains {
            for (idx, speed) in domain.speeds.iter().enumerate() {
                let host = format!("{}-{idx}", domain.name);
                let place = endpoint(&host, domain.name, "region", start);
                endpoints.push(Endpoint { slots: SLOTS, ..place });
                let config = GateConfig { slots: SLOTS, queue: 30, ..GateConfig::default() };
                let mut gate = Gate::new(config);
                gate.set_queue(30, ms(1000));
                let host = Name::from(host);
                targets.push(Target { host, speed: *speed, gate, waiting: BTreeMap::new() });
            }
        }
        let routes = r#"{"name": "browse", "match": {"path": "/"}, "pool": "tally",
            "repeat": "idempotent", "retries": 2, "deadline": "800ms", "objective": "300ms"}"#;
        let pools = r#"{"name": "tally", "service": "tally", "prefer": "domain"}"#;
        let daemon = |(domain, seed): (&Domain, u64)| {
            let mut d = Dispatcher::new(DispatcherConfig {
                host: format!("{}-caller", domain.name).into(),
                domain: domain.name.into(),
                region: "region".into(),
                seed,
                reroutes: 2,
                retry_after: RetryAfterPolicy::Deadline,
            });
            d.set_version(version(1, routes, pools));
            d.set_endpoints(endpoints.clone());
            d
        };
        Self {
            daemons: domains.iter().zip(1..).map(daemon).collect(),
            targets,
            running: BTreeMap::new(),
            domains,
            rng: SmallRng::seed_from_u64(7),
            counts: Counts::default(),
            next: 0,
        }
    }

    /// Requests per second that the targets can run.
    fn capacity(&self) -> f64 {
        let speed: f64 = self.targets.iter().map(|target| target.speed).sum();
        speed * f64::from(SLOTS) / SERVICE.as_secs_f64()
    }

    /// Simulates `load`, as a share of the capacity, for `time`; counts all but the first second.
    fn simulate(mut self, load: f64, time: Duration) -> Counts {
        // By this time the targets are warm.
        let start = Instant::now() + ms(60_000);
        let rate = load * self.capacity();
        let every: Vec<_> = self
            .domains
            .iter()
            .map(|d| Duration::from_secs_f64(1.0 / (rate * d.callers)))
            .collect();
        let mut due: Vec<_> = every.iter().map(|every| start + *every).collect();
        let mut warm = false;
        loop {
            let daemon = (0..due.len()).min_by_key(|daemon| due[*daemon]).unwrap_or(0);
            let end = self.running.keys().next().map(|(at, _)| *at);
            let expiry = self.targets.iter().filter_map(|t| t.gate.deadline()).min();
            let now = [Some(due[daemon]), end, expiry].into_iter().flatten().min();
            let now = now.unwrap_or(start);
            if now > start + ms(1000) && !std::mem::replace(&mut warm, true) {
                self.counts = Counts::default();
            }
            if now > start + time {
                return self.counts;
            }
            if expiry == Some(now) {
                for target in 0..self.targets.len() {
                    let wakes = self.targets[target].gate.expire(now);
                    self.wake(target, wakes, now);
                }
            } else if end == Some(now) {
                self.finish(now);
            } else {
                due[daemon] = now + every[daemon].mul_f64(self.rng.random_range(0.2..1.8));
                self.arrive(daemon, now);
            }
        }
    }

    fn arrive(&mut self, daemon: usize, now: Instant) {
        self.counts.requests += 1;
        let info =
            RequestInfo { timeout: Some(DEADLINE), stated_timeout: Some(DEADLINE), ..get("/") };
        match self.daemons[daemon].begin(info, now) {
            Decision::Forward(attempt) => self.send(Sent { daemon, attempt, since: now }, now),
            Decision::Refuse(_) => self.counts.refused += 1,
        }
    }

    fn send(&mut self, sent: Sent, now: Instant) {
        let endpoint = &sent.attempt.endpoint;
        self.counts.sent += 1;
        self.counts.far += u32::from(endpoint.domain.as_str() != self.domains[sent.daemon].name);
        let index = self.targets.iter().position(|t| t.host == endpoint.host).unwrap_or(0);
        let arrival = Arrival {
            depth: 0,
            deadline: sent.since + DEADLINE,
            goal: Some(sent.attempt.goal),
            fingerprint: None,
            limit: None,
        };
        match self.targets[index].gate.offer(arrival, now) {
            Admission::Run(permit) => self.run(index, permit, sent, now),
            Admission::Wait(ticket) => {
                self.targets[index].waiting.insert(ticket, sent);
            }
            Admission::Refuse(refusal) => self.refuse(index, sent, refusal.reason, now),
        }
    }

    fn run(&mut self, target: usize, permit: Permit, sent: Sent, now: Instant) {
        let spread = self.rng.random_range(0.5..1.5);
        let took = SERVICE.mul_f64(spread / self.targets[target].speed);
        self.next += 1;
        self.running.insert((now + took, self.next), (target, permit, sent, took));
    }

    fn finish(&mut self, now: Instant) {
        let Some((_, (target, permit, sent, latency))) = self.running.pop_first() else { return };
        let outcome = RunOutcome::Answered { status: 200, latency };
        let wakes = self.targets[target].gate.finish(permit, outcome, now);
        let load = Some(self.targets[target].gate.load());
        let outcome = AttemptOutcome::Answered { status: 200, load, latency };
        self.daemons[sent.daemon].settle(sent.attempt.id, outcome, now);
        match now - sent.since <= OBJECTIVE {
            true => self.counts.timely += 1,
            false => self.counts.late += 1,
        }
        self.wake(target, wakes, now);
    }

    fn refuse(&mut self, target: usize, sent: Sent, reason: Reason, now: Instant) {
        let Sent { daemon, attempt, since } = sent;
        let load = Some(self.targets[target].gate.load());
        let outcome = AttemptOutcome::NotRun { reason, retry_after: None, load };
        match self.daemons[daemon].settle(attempt.id, outcome, now) {
            Next::Retry { attempt, .. } => self.send(Sent { daemon, attempt, since }, now),
            Next::Refuse(_) | Next::Deliver => self.counts.refused += 1,
        }
    }

    fn wake(&mut self, target: usize, wakes: Vec<Wake>, now: Instant) {
        for wake in wakes {
            let (ticket, decision) = match wake {
                Wake::Run { ticket, permit } => (ticket, Ok(permit)),
                Wake::Refuse { ticket, refusal } => (ticket, Err(refusal.reason)),
            };
            let Some(sent) = self.targets[target].waiting.remove(&ticket) else { continue };
            match decision {
                Ok(permit) => self.run(target, permit, sent, now),
                Err(reason) => self.refuse(target, sent, reason, now),
            }
        }
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Four domains like those of the mesh: two targets in one, one in each of the others, which differ
/// in speed by a factor of two.
fn mesh() -> Vec<Domain> {
    vec![
        Domain { name: "gva-a", callers: 0.30, speeds: &[1.3, 0.8] },
        Domain { name: "gva-b", callers: 0.24, speeds: &[0.8] },
        Domain { name: "lau-a", callers: 0.25, speeds: &[0.7] },
        Domain { name: "lau-b", callers: 0.21, speeds: &[1.2] },
    ]
}

/// Guards against requests that leave their domain although all domains are full: no more requests are
/// served that way, and the traffic is billed by the byte.
#[gtest]
fn under_overload_requests_stay_in_their_domain() {
    let fleet = Fleet::new(mesh());
    let capacity = fleet.capacity();
    let counts = fleet.simulate(1.15, ms(21_000));
    // At least 97% of the capacity of the slots is used, and nearly all requests are served in time.
    expect_that!(f64::from(counts.timely + counts.late), ge(0.97 * capacity * 20.0));
    expect_that!(share(counts.timely, counts.timely + counts.late), ge(0.9));
    expect_that!(share(counts.far, counts.sent), le(0.3));
}

/// Guards against requests of one domain that are refused or late while other domains have capacity.
#[gtest]
fn a_full_domain_uses_the_capacity_of_others() {
    let domains = vec![
        Domain { name: "gva-a", callers: 0.25, speeds: &[0.5] },
        Domain { name: "gva-b", callers: 0.25, speeds: &[1.0, 1.0] },
        Domain { name: "lau-a", callers: 0.25, speeds: &[1.0] },
        Domain { name: "lau-b", callers: 0.25, speeds: &[1.0] },
    ];
    let counts = Fleet::new(domains).simulate(0.75, ms(21_000));
    expect_that!(share(counts.refused, counts.requests), le(0.01));
    expect_that!(share(counts.timely, counts.requests), ge(0.98));
}
