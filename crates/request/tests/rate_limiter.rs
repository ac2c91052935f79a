//! Rate limits that targets advertise, simulated with a gate.

mod support;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use dw_request::{
    Admission, Arrival, AttemptOutcome, Dispatcher, Endpoint, Gate, GateConfig, Goal, Load,
    Outcome, Permit, Rate, Reason, Refusal, RunOutcome, Wake,
};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, proptest};
use support::ms;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// The part of a run in which the limit applies: the slots fill before the first response advertises it.
const LIMITED: Range<Duration> = SECOND..Duration::from_secs(3600);

fn rate(text: &str) -> Rate {
    text.parse().unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn call(now: Instant) -> Arrival {
    Arrival { depth: 1, deadline: now + SECOND / 2, goal: None, fingerprint: None, limit: None }
}

/// The limit that a target advertises in a response, by the time since its start.
type AdvertisedLimit = dyn Fn(Duration) -> Option<Rate>;

/// Simulates a target of ten slots behind a gate, with requests that arrive at regular intervals.
struct Simulation<'a> {
    advertise: &'a AdvertisedLimit,
    /// Interval between two arrivals.
    every: Duration,
    /// Service time of a request.
    work: Duration,
    /// Time until the caller's deadline.
    timeout: Duration,
}

/// The result of a run.
#[derive(Debug, Default)]
struct Served {
    /// When requests were sent to the target, since the start.
    sent_at: Vec<Duration>,
    refusals: Vec<Refusal>,
}

impl Served {
    /// The largest number of requests in any window of this length within the range.
    fn most(&self, window: Duration, range: Range<Duration>) -> usize {
        let sent_at: Vec<_> = self.sent_at.iter().filter(|at| range.contains(at)).collect();
        let within = |first: usize| {
            sent_at[first..].iter().take_while(|at| ***at < *sent_at[first] + window).count()
        };
        (0..sent_at.len()).map(within).max().unwrap_or_default()
    }

    fn count(&self, from: Duration, to: Duration) -> usize {
        self.sent_at.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

impl Simulation<'_> {
    fn run(&self, time: Duration) -> Served {
        let start = Instant::now();
        let mut gate = Gate::new(GateConfig { slots: 10, queue: 32, ..GateConfig::default() });
        let mut served = Served::default();
        let mut running: BTreeMap<(Instant, u64), (Permit, Instant)> = BTreeMap::new();
        let (mut next, mut number) = (start, 0);
        loop {
            let ends = running.first_key_value().map(|((at, _), _)| *at);
            let now = [Some(next), ends, gate.deadline()].into_iter().flatten().min();
            let Some(now) = now.filter(|now| *now < start + time) else { return served };
            let (mut wakes, mut started) = (Vec::new(), Vec::new());
            if ends == Some(now) {
                let Some((_, (permit, sent_at))) = running.pop_first() else { continue };
                gate.observe_limit((self.advertise)(now - start), sent_at, now);
                let latency = now - sent_at;
                wakes = gate.finish(permit, RunOutcome::Answered { status: 200, latency }, now);
            } else if next == now {
                next += self.every;
                let goal = Goal { objective: 2 * self.timeout / 3, late_at: now, priority: 1 };
                let arrival = Arrival {
                    depth: 1,
                    deadline: now + self.timeout,
                    goal: Some(goal),
                    fingerprint: None,
                    limit: None,
                };
                match gate.offer(arrival, now) {
                    Admission::Run(permit) => started.push(permit),
                    Admission::Refuse(refusal) => served.refusals.push(refusal),
                    Admission::Wait(_) => {}
                }
            } else {
                wakes = gate.expire(now);
            }
            for wake in wakes {
                match wake {
                    Wake::Run { permit, .. } => started.push(permit),
                    Wake::Refuse { refusal, .. } => served.refusals.push(refusal),
                }
            }
            for permit in started {
                number += 1;
                served.sent_at.push(now - start);
                running.insert((now + self.work, number), (permit, now));
            }
        }
    }
}

/// Four times the load that the target accepts, with requests that take 60 ms each.
fn overloaded<'a>(advertise: &'a AdvertisedLimit) -> Simulation<'a> {
    Simulation { advertise, every: ms(8), work: ms(60), timeout: ms(600) }
}

/// Guards against a target that gets more requests than it advertised, and against one that gets fewer
/// while requests are waiting.
#[gtest]
fn a_target_gets_the_rate_it_advertises() {
    for text in ["31.1", "63.2", "7", "1.5"] {
        let advertise = move |_| Some(rate(text));
        let served = overloaded(&advertise).run(30 * SECOND);
        let wanted = rate(text).per_second();
        for window in [1, 4, 20] {
            let most = served.most(window * SECOND, LIMITED) as f64;
            let allowed = wanted * f64::from(window) * 1.1 + 2.0;
            expect_that!(most, le(allowed), "{text} in {window} s");
        }
        let got = served.count(SECOND, 30 * SECOND) as f64 / 29.0;
        expect_that!(got, ge(wanted * 0.9), "{text}");
    }
}

/// Guards against requests that wait for a turn that comes too late, and against a refusal that does not
/// tell that the request was not run and when to retry.
#[gtest]
fn requests_above_the_limit_are_refused_at_once() {
    let advertise = |_| Some(rate("10"));
    let served = overloaded(&advertise).run(5 * SECOND);
    expect_that!(served.refusals, not(is_empty()));
    for refusal in &served.refusals[10..] {
        expect_that!(refusal.reason, eq(Reason::RateLimit));
        expect_that!(refusal.outcome, eq(Outcome::NotRun));
        expect_that!(refusal.retry_after, all!(ge(ms(10)), le(ms(600))));
    }
}

/// Guards against a limit that stays in force after the target has stopped advertising it.
#[gtest]
fn a_limit_ends_within_a_second() {
    let advertise = |at| (at < 5 * SECOND).then(|| rate("5"));
    let served = overloaded(&advertise).run(10 * SECOND);
    expect_that!(served.count(2 * SECOND, 5 * SECOND), le(18));
    // After that, every request that arrives is served.
    expect_that!(served.count(6 * SECOND, 10 * SECOND), ge(490));
}

/// Guards against a limit that is lifted by some responses while others still advertise it.
#[gtest]
fn a_limit_advertised_intermittently_stays_in_force() {
    let advertise = |at: Duration| (at.as_millis() % 200 < 60).then(|| rate("20"));
    let served = overloaded(&advertise).run(20 * SECOND);
    expect_that!(served.most(4 * SECOND, LIMITED), le(90));
}

/// Guards against a limit at or near zero that stops all requests, and with them the responses that could
/// lift it.
#[gtest]
fn a_limit_near_zero_can_be_lifted() {
    for text in ["0", "0.001", "0.3"] {
        let advertise = move |at| (at < 20 * SECOND).then(|| rate(text));
        let served = overloaded(&advertise).run(30 * SECOND);
        expect_that!(served.most(4 * SECOND, SECOND..20 * SECOND), le(3), "{text}");
        expect_that!(served.count(SECOND, 20 * SECOND), all!(ge(5), le(8)), "{text}");
        expect_that!(served.count(25 * SECOND, 30 * SECOND), ge(600), "{text}");
    }
}

/// Guards against counting requests that never reached the target.
#[gtest]
fn a_request_of_which_nothing_was_sent_is_not_counted() {
    let now = Instant::now();
    let mut gate = Gate::new(GateConfig::default());
    gate.observe_limit(Some(rate("1")), now, now);
    let arrival = Arrival {
        depth: 1,
        deadline: now + SECOND / 2,
        goal: None,
        fingerprint: None,
        limit: None,
    };
    for _ in 0..3 {
        let Admission::Run(permit) = gate.offer(arrival, now) else { panic!("not run") };
        drop(gate.finish(permit, RunOutcome::NotStarted, now));
    }
    let Admission::Run(permit) = gate.offer(arrival, now) else { panic!("not run") };
    drop(gate.finish(permit, RunOutcome::Refused, now));
    let Admission::Refuse(refusal) = gate.offer(arrival, now) else { panic!("not refused") };
    expect_that!(refusal.reason, eq(Reason::RateLimit));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a burst when a limit changes: the requests that a target gets are bounded by the
    /// largest rate that it advertised in that time.
    #[test]
    fn no_change_of_a_limit_exceeds_the_advertised_rates(
        rates in proptest::collection::vec(0_u32..2_000, 1..12),
        hold in 200_u64..3_000,
        every in 1_u64..40,
        work in 1_u64..300,
    ) {
        let advertised = rates.clone();
        let advertise = move |at: Duration| {
            let idx = usize::try_from(at.as_millis()).unwrap_or(0) / usize::try_from(hold).unwrap_or(1);
            let tenths = f64::from(advertised[idx % advertised.len()]) / 10.0;
            Some(rate(&format!("{tenths}")))
        };
        let simulation = Simulation { advertise: &advertise, every: ms(every), work: ms(work), timeout: ms(900) };
        let served = simulation.run(10 * SECOND);
        let largest = rates.iter().max().map_or(0.0, |tenths| f64::from(*tenths) / 10.0).max(0.4);
        let most = served.most(4 * SECOND, LIMITED) as f64;
        assert!(most <= largest * 4.1 + 2.0, "{most} in 4 s, {largest} advertised");
    }
}

/// Guards against a burst at a target whose daemon has just started and does not know the limit that the
/// target advertised to the callers' daemons.
#[gtest]
fn a_restarted_gate_applies_the_limit_known_to_others() {
    let now = Instant::now();
    let mut gate = Gate::new(GateConfig::default());
    let with_limit = Arrival { limit: Some(rate("2")), ..call(now) };
    let admissions: Vec<_> = (0..10).map(|_| gate.offer(with_limit, now)).collect();
    let runs = admissions.iter().filter(|a| matches!(a, Admission::Run(_))).count();
    expect_that!(runs, eq(1));
    expect_that!(gate.load().limit, some(eq(rate("2"))));
    // For the log and the metrics, the target has not advertised it to this daemon yet.
    expect_that!(gate.advertised_limit(), none());
    gate.observe_limit(Some(rate("2")), now, now + ms(60));
    expect_that!(gate.advertised_limit(), some(eq(rate("2"))));
}

/// Guards against a limit of an earlier incarnation that other daemons still report and that stays in
/// force after the first response.
#[gtest]
fn a_limit_known_to_others_ends_with_the_first_response() {
    let now = Instant::now();
    let mut gate = Gate::new(GateConfig::default());
    let with_limit = Arrival { limit: Some(rate("0")), ..call(now) };
    let Admission::Run(permit) = gate.offer(with_limit, now) else { panic!("not run") };
    gate.observe_limit(None, now, now + ms(60));
    drop(gate.finish(permit, RunOutcome::Answered { status: 200, latency: ms(60) }, now + ms(60)));
    for _ in 0..10 {
        expect_that!(gate.offer(with_limit, now + ms(60)), matches_pattern!(Admission::Run(_)));
    }
    expect_that!(gate.rate_limit(), none());
}

/// Guards against a caller's daemon that forgets an advertised limit, or applies it to the next incarnation
/// of the target.
#[gtest]
fn callers_daemons_remember_the_limit_of_an_incarnation() {
    let start = Instant::now();
    let targets = |since: Instant| vec![support::endpoint("portland-0", "portland", "r", since)];
    let mut dispatcher = support::dispatcher(1, support::two_routes(), targets(start));
    let ask = |dispatcher: &mut Dispatcher, limit: Option<Rate>, now: Instant| {
        let attempt = support::forwarded(dispatcher.begin(support::get("/lookup"), now));
        let load = Some(Load { slots: 10, limit, ..Load::default() });
        let answered = AttemptOutcome::Answered { status: 200, load, latency: ms(1) };
        dispatcher.settle(attempt.id, answered, now);
        attempt.basis.limit
    };
    expect_that!(ask(&mut dispatcher, Some(rate("3")), start), none());
    // A reordered older response does not advertise it yet.
    expect_that!(ask(&mut dispatcher, None, start + ms(10)), some(eq(rate("3"))));
    expect_that!(ask(&mut dispatcher, None, start + SECOND), some(eq(rate("3"))));
    expect_that!(ask(&mut dispatcher, Some(rate("3")), start + SECOND), none());
    // The daemon beside the target was restarted and numbers its targets anew.
    expect_that!(ask(&mut dispatcher, Some(rate("4")), start + 2 * SECOND), some(eq(rate("3"))));
    let renumbered = targets(start).into_iter().map(|old| Endpoint { target: 1, ..old });
    dispatcher.set_endpoints(renumbered.collect());
    expect_that!(ask(&mut dispatcher, Some(rate("4")), start + 2 * SECOND), some(eq(rate("4"))));
    dispatcher.set_endpoints(targets(start + 5 * SECOND));
    expect_that!(ask(&mut dispatcher, None, start + 6 * SECOND), none());
}

/// Guards against queued requests that keep waiting for a turn that comes too late after the target has
/// advertised a new limit.
#[gtest]
fn a_new_limit_refuses_requests_without_a_turn_at_once() {
    let now = Instant::now();
    let config = GateConfig { slots: 1, queue: 20, queue_wait: SECOND, ..GateConfig::default() };
    let mut gate = Gate::new(config);
    let long = Arrival { deadline: now + 2 * SECOND, ..call(now) };
    let Admission::Run(permit) = gate.offer(long, now) else { panic!("not run") };
    for _ in 0..20 {
        assert_that!(gate.offer(long, now), matches_pattern!(Admission::Wait(_)));
    }
    gate.observe_limit(Some(rate("10")), now, now + ms(10));
    let wakes = gate.expire(now + ms(10));
    // Ten get a turn within the one second that they may wait.
    expect_that!(wakes.len(), all!(ge(8), le(11)));
    for wake in &wakes {
        let Wake::Refuse { refusal, .. } = wake else { panic!("run") };
        expect_that!((refusal.reason, refusal.outcome), eq((Reason::RateLimit, Outcome::NotRun)));
    }
    drop(gate.finish(permit, RunOutcome::NotStarted, now));
}
