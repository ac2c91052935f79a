//! Targets that name how many requests a second they take, played against a gate.

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

/// The part of a play in which the limit counts: the slots fill before the first response names it.
const LIMITED: Range<Duration> = SECOND..Duration::from_secs(3600);

fn rate(text: &str) -> Rate {
    text.parse().unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn call(now: Instant) -> Arrival {
    Arrival { depth: 1, deadline: now + SECOND / 2, goal: None, fingerprint: None, limit: None }
}

/// What a target names in a response at a time since its start.
type Says = dyn Fn(Duration) -> Option<Rate>;

/// A target of ten slots beside a gate, with requests that arrive at even distances.
struct Play<'a> {
    says: &'a Says,
    /// Time between two arrivals.
    every: Duration,
    /// Time that the target takes for a request.
    work: Duration,
    /// Time that a caller waits.
    patience: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
struct Served {
    /// When requests reached the target, since the start.
    handed: Vec<Duration>,
    refusals: Vec<Refusal>,
}

impl Served {
    /// The most requests in any time of this length within the range.
    fn most(&self, window: Duration, range: Range<Duration>) -> usize {
        let handed: Vec<_> = self.handed.iter().filter(|at| range.contains(at)).collect();
        let within = |first: usize| {
            handed[first..].iter().take_while(|at| ***at < *handed[first] + window).count()
        };
        (0..handed.len()).map(within).max().unwrap_or_default()
    }

    fn count(&self, from: Duration, to: Duration) -> usize {
        self.handed.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

impl Play<'_> {
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
                let Some((_, (permit, handed))) = running.pop_first() else { continue };
                gate.observe_limit((self.says)(now - start), handed, now);
                let latency = now - handed;
                wakes = gate.finish(permit, RunOutcome::Answered { status: 200, latency }, now);
            } else if next == now {
                next += self.every;
                let goal = Goal { objective: 2 * self.patience / 3, late_at: now, priority: 1 };
                let arrival = Arrival {
                    depth: 1,
                    deadline: now + self.patience,
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
                served.handed.push(now - start);
                running.insert((now + self.work, number), (permit, now));
            }
        }
    }
}

/// Four times what the target takes, of requests that take it 60 ms.
fn pressed<'a>(says: &'a Says) -> Play<'a> {
    Play { says, every: ms(8), work: ms(60), patience: ms(600) }
}

/// Guards against a target that gets more than it named in some time, and against one that gets less
/// while there is work for it.
#[gtest]
fn a_target_gets_what_it_names() {
    for named in ["31.1", "63.2", "7", "1.5"] {
        let says = move |_| Some(rate(named));
        let served = pressed(&says).run(30 * SECOND);
        let wanted = rate(named).per_second();
        for window in [1, 4, 20] {
            let most = served.most(window * SECOND, LIMITED) as f64;
            let allowed = wanted * f64::from(window) * 1.1 + 2.0;
            expect_that!(most, le(allowed), "{named} in {window} s");
        }
        let got = served.count(SECOND, 30 * SECOND) as f64 / 29.0;
        expect_that!(got, ge(wanted * 0.9), "{named}");
    }
}

/// Guards against requests that wait for a turn which comes too late, and against a caller who does not
/// hear that the request was not run and when there is room.
#[gtest]
fn what_a_limit_has_no_room_for_is_refused_at_once() {
    let says = |_| Some(rate("10"));
    let served = pressed(&says).run(5 * SECOND);
    expect_that!(served.refusals, not(is_empty()));
    for refusal in &served.refusals[10..] {
        expect_that!(refusal.reason, eq(Reason::RateLimit));
        expect_that!(refusal.outcome, eq(Outcome::NotRun));
        expect_that!(refusal.retry_after, all!(ge(ms(10)), le(ms(600))));
    }
}

/// Guards against a limit that holds on after the target has stopped to name it.
#[gtest]
fn a_limit_ends_within_a_second() {
    let says = |at| (at < 5 * SECOND).then(|| rate("5"));
    let served = pressed(&says).run(10 * SECOND);
    expect_that!(served.count(2 * SECOND, 5 * SECOND), le(18));
    // Every request that arrives is served then.
    expect_that!(served.count(6 * SECOND, 10 * SECOND), ge(490));
}

/// Guards against a limit that is lifted by some responses while others still name it.
#[gtest]
fn a_target_that_names_its_limit_now_and_then_is_kept_to_it() {
    let says = |at: Duration| (at.as_millis() % 200 < 60).then(|| rate("20"));
    let served = pressed(&says).run(20 * SECOND);
    expect_that!(served.most(4 * SECOND, LIMITED), le(90));
}

/// Guards against a limit of zero, or near it, that stops all requests and with them the responses that
/// could end it.
#[gtest]
fn a_limit_of_nothing_can_end() {
    for named in ["0", "0.001", "0.3"] {
        let says = move |at| (at < 20 * SECOND).then(|| rate(named));
        let served = pressed(&says).run(30 * SECOND);
        expect_that!(served.most(4 * SECOND, SECOND..20 * SECOND), le(3), "{named}");
        expect_that!(served.count(SECOND, 20 * SECOND), all!(ge(5), le(8)), "{named}");
        expect_that!(served.count(25 * SECOND, 30 * SECOND), ge(600), "{named}");
    }
}

/// Guards against a limit that counts requests which never reached the target.
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

    /// Guards against a burst at any change of a limit: what the target gets is bounded by the largest
    /// rate that it named in that time.
    #[test]
    fn no_change_of_a_limit_lets_more_through_than_it_names(
        rates in proptest::collection::vec(0_u32..2_000, 1..12),
        hold in 200_u64..3_000,
        every in 1_u64..40,
        work in 1_u64..300,
    ) {
        let named = rates.clone();
        let says = move |at: Duration| {
            let idx = usize::try_from(at.as_millis()).unwrap_or(0) / usize::try_from(hold).unwrap_or(1);
            let tenths = f64::from(named[idx % named.len()]) / 10.0;
            Some(rate(&format!("{tenths}")))
        };
        let play = Play { says: &says, every: ms(every), work: ms(work), patience: ms(900) };
        let served = play.run(10 * SECOND);
        let largest = rates.iter().max().map_or(0.0, |tenths| f64::from(*tenths) / 10.0).max(0.4);
        let most = served.most(4 * SECOND, LIMITED) as f64;
        assert!(most <= largest * 4.1 + 2.0, "{most} in 4 s, {largest} named");
    }
}

/// Guards against a burst at a target beside a daemon that has just started and does not know the limit which
/// the daemons of callers were told.
#[gtest]
fn a_restarted_gate_keeps_to_what_others_were_told() {
    let now = Instant::now();
    let mut gate = Gate::new(GateConfig::default());
    let told = Arrival { limit: Some(rate("2")), ..call(now) };
    let admissions: Vec<_> = (0..10).map(|_| gate.offer(told, now)).collect();
    let runs = admissions.iter().filter(|a| matches!(a, Admission::Run(_))).count();
    expect_that!(runs, eq(1));
    expect_that!(gate.load().limit, some(eq(rate("2"))));
    // For the log and the metrics the target has not named it to this daemon yet.
    expect_that!(gate.advertised_limit(), none());
    gate.observe_limit(Some(rate("2")), now, now + ms(60));
    expect_that!(gate.advertised_limit(), some(eq(rate("2"))));
}

/// Guards against a limit of an earlier incarnation that others still believe in and that outlasts the first
/// response.
#[gtest]
fn what_others_were_told_ends_with_the_first_response() {
    let now = Instant::now();
    let mut gate = Gate::new(GateConfig::default());
    let told = Arrival { limit: Some(rate("0")), ..call(now) };
    let Admission::Run(permit) = gate.offer(told, now) else { panic!("not run") };
    gate.observe_limit(None, now, now + ms(60));
    drop(gate.finish(permit, RunOutcome::Answered { status: 200, latency: ms(60) }, now + ms(60)));
    for _ in 0..10 {
        expect_that!(gate.offer(told, now + ms(60)), matches_pattern!(Admission::Run(_)));
    }
    expect_that!(gate.rate_limit(), none());
}

/// Guards against a daemon of callers that forgets a limit it was told, or carries it over to the next
/// incarnation of the target.
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
    // A response that was overtaken does not name it yet.
    expect_that!(ask(&mut dispatcher, None, start + ms(10)), some(eq(rate("3"))));
    expect_that!(ask(&mut dispatcher, None, start + SECOND), some(eq(rate("3"))));
    expect_that!(ask(&mut dispatcher, Some(rate("3")), start + SECOND), none());
    // The daemon beside the target was restarted and counts its targets anew.
    expect_that!(ask(&mut dispatcher, Some(rate("4")), start + 2 * SECOND), some(eq(rate("3"))));
    let moved = targets(start).into_iter().map(|old| Endpoint { target: 1, ..old });
    dispatcher.set_endpoints(moved.collect());
    expect_that!(ask(&mut dispatcher, Some(rate("4")), start + 2 * SECOND), some(eq(rate("4"))));
    dispatcher.set_endpoints(targets(start + 5 * SECOND));
    expect_that!(ask(&mut dispatcher, None, start + 6 * SECOND), none());
}

/// Guards against requests that wait at a target which has named a limit meanwhile, until a turn that comes
/// too late for them.
#[gtest]
fn a_new_limit_refuses_what_waits_in_vain_at_once() {
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
    // Ten have a turn within the second for which they wait.
    expect_that!(wakes.len(), all!(ge(8), le(11)));
    for wake in &wakes {
        let Wake::Refuse { refusal, .. } = wake else { panic!("run") };
        expect_that!((refusal.reason, refusal.outcome), eq((Reason::RateLimit, Outcome::NotRun)));
    }
    drop(gate.finish(permit, RunOutcome::NotStarted, now));
}
