//! Admission of requests by the gate of a target.

mod support;

use dw_request::{
    Admission, Arrival, Death, Fingerprint, Gate, GateConfig, Goal, Outcome, Permit, Reason,
    Refusal, RunOutcome, Suspects, Ticket, Wake,
};
use googletest::prelude::*;
use support::ms;
use tokio::time::Instant;

const DONE: RunOutcome = RunOutcome::Answered { status: 200, latency: ms(10) };

fn gate(slots: u32, queue: u32) -> Gate {
    Gate::new(GateConfig { slots, queue, ..GateConfig::default() })
}

fn call(depth: u8, deadline: Instant) -> Arrival {
    Arrival { depth, deadline, goal: None, fingerprint: None, limit: None }
}

fn run(admission: Admission) -> Permit {
    match admission {
        Admission::Run(permit) => permit,
        other => panic!("not run: {other:?}"),
    }
}

fn wait(admission: Admission) -> Ticket {
    match admission {
        Admission::Wait(ticket) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

fn refuse(admission: Admission) -> Refusal {
    match admission {
        Admission::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn refusals(wakes: &[Wake]) -> Vec<(Ticket, Reason, Outcome)> {
    let refused = |wake: &Wake| match wake {
        Wake::Refuse { ticket, refusal } => Some((*ticket, refusal.reason, refusal.outcome)),
        Wake::Run { .. } => None,
    };
    wakes.iter().filter_map(refused).collect()
}

fn started(wakes: Vec<Wake>) -> Vec<(Ticket, Permit)> {
    let started = |wake| match wake {
        Wake::Run { ticket, permit } => Some((ticket, permit)),
        Wake::Refuse { .. } => None,
    };
    wakes.into_iter().filter_map(started).collect()
}

/// Guards against more requests at a target than it has slots or connections, and against an unbounded
/// queue.
#[gtest]
fn slots_and_queue_are_bounded_exactly() {
    let now = Instant::now();
    let end = now + ms(5000);
    for (slots, connections, limit) in [(3, 100, 3), (100, 4, 4)] {
        let config = GateConfig { slots, connections, queue: 2, ..GateConfig::default() };
        let mut g = Gate::new(config);
        let mut permits: Vec<_> = (0..limit).map(|_| run(g.offer(call(0, end), now))).collect();
        let first = wait(g.offer(call(0, end), now));
        wait(g.offer(call(0, end), now));
        let refusal = refuse(g.offer(call(0, end), now));
        expect_that!((refusal.reason, refusal.outcome), eq((Reason::QueueFull, Outcome::NotRun)));
        expect_that!(
            (g.load().in_flight, g.load().queued, g.load().shedding),
            eq((limit, 2, true))
        );
        let wakes = g.finish(permits.remove(0), DONE, now);
        let started = started(wakes);
        expect_that!(started.len(), eq(1));
        expect_that!(started[0].0, eq(first));
        expect_that!(g.load().in_flight, eq(limit));
    }
}

/// Guards against a call chain that fails at its last call after all the others did their work, and
/// against a preempted shallow request that is never refused.
#[gtest]
fn the_deepest_call_goes_first() {
    let now = Instant::now();
    let end = now + ms(5000);
    let mut g = gate(1, 3);
    let permit = run(g.offer(call(0, end), now));
    let shallow = wait(g.offer(call(0, end), now));
    let older = wait(g.offer(call(2, end), now));
    let newer = wait(g.offer(call(2, end), now));
    expect_that!(g.deadline(), some(eq(now + ms(100))));
    let deep = wait(g.offer(call(5, end), now));
    expect_that!(g.deadline(), some(eq(now)));
    let wakes = g.expire(now);
    let preempted = (shallow, Reason::QueuePreempted, Outcome::NotRun);
    expect_that!(refusals(&wakes), elements_are![eq(&preempted)]);
    expect_that!(refuse(g.offer(call(1, end), now)).reason, eq(Reason::QueueFull));
    let mut order = Vec::new();
    let mut next = Some(permit);
    while let Some(permit) = next.take() {
        for (ticket, permit) in started(g.finish(permit, DONE, now)) {
            order.push(ticket);
            next = Some(permit);
        }
    }
    expect_that!(order, elements_are![eq(&deep), eq(&older), eq(&newer)]);
    expect_that!(g.is_idle(), eq(true));
}

/// Guards against requests that wait although they cannot finish in time, and against running requests
/// whose callers no longer wait.
#[gtest]
fn requests_that_cannot_finish_in_time_are_refused() {
    let now = Instant::now();
    let end = now + ms(5000);
    let mut g = gate(1, 10);
    expect_that!(refuse(g.offer(call(0, now), now)).reason, eq(Reason::DeadlinePassed));
    let permit = run(g.offer(call(0, end), now));
    let slow = RunOutcome::Answered { status: 200, latency: ms(50) };
    g.finish(permit, slow, now);
    let permit = run(g.offer(call(0, end), now));
    // Wait and service together take 100 ms on average.
    expect_that!(refuse(g.offer(call(0, now + ms(99)), now)).reason, eq(Reason::DeadlineUnmet));
    let short = wait(g.offer(call(0, now + ms(110)), now));
    let long = wait(g.offer(call(0, end), now));
    let gone = wait(g.offer(call(0, end), now));
    g.cancel(gone);
    expect_that!(g.deadline(), some(eq(now + ms(60))));
    let wakes = g.expire(now + ms(60));
    expect_that!(
        refusals(&wakes),
        elements_are![eq(&(short, Reason::DeadlineUnmet, Outcome::NotRun))]
    );
    let wakes = g.finish(permit, DONE, now + ms(100));
    expect_that!(refusals(&wakes), elements_are![eq(&(long, Reason::QueueWait, Outcome::NotRun))]);
    expect_that!(g.is_idle(), eq(true));
}

/// Guards against a second request in a slot in which the target may still run a lost one.
#[gtest]
fn a_lost_request_keeps_its_slot_for_a_while() {
    let now = Instant::now();
    let end = now + ms(5000);
    let mut g = gate(1, 10);
    let permit = run(g.offer(call(0, end), now));
    g.set_queue(10, ms(2000));
    let ticket = wait(g.offer(call(0, end), now));
    expect_that!(g.finish(permit, RunOutcome::Lost, now), is_empty());
    expect_that!(g.load().in_flight, eq(1));
    expect_that!(g.deadline(), some(eq(now + ms(500))));
    let started = started(g.expire(now + ms(500)));
    expect_that!(started.iter().map(|s| s.0).collect::<Vec<_>>(), elements_are![eq(&ticket)]);
}

/// Guards against a concurrency limit that stays above what the target can serve, and one that never
/// recovers.
#[gtest]
fn the_concurrency_limit_follows_load_shedding() {
    let mut now = Instant::now();
    let mut g = gate(10, 0);
    let shed = RunOutcome::Answered { status: 503, latency: ms(1) };
    for (outcome, rounds, slots) in [(shed, 3, 5), (shed, 20, 1), (DONE, 100, 10)] {
        for _ in 0..rounds {
            now += ms(200);
            let end = now + ms(5000);
            let mut permits = Vec::new();
            while let Admission::Run(permit) = g.offer(call(0, end), now) {
                permits.push(permit);
            }
            for permit in permits {
                g.finish(permit, outcome, now);
            }
        }
        expect_that!(g.load().slots, eq(slots));
    }
    expect_that!(refuse_when_full(&mut g, now), eq(Reason::QueueFull));
}

fn refuse_when_full(g: &mut Gate, now: Instant) -> Reason {
    loop {
        if let Admission::Refuse(refusal) = g.offer(call(0, now + ms(5000)), now) {
            return refusal.reason;
        }
    }
}

/// Guards against a drain that interrupts requests or admits new ones (P7, P8).
#[gtest]
fn drain_refuses_new_and_ends_old_requests() {
    let now = Instant::now();
    let end = now + ms(5000);
    let mut g = gate(1, 10);
    let permit = run(g.offer(call(0, end), now));
    wait(g.offer(call(0, end), now));
    g.drain();
    let refusal = refuse(g.offer(call(7, end), now));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::Draining, Outcome::NotRun)));
    expect_that!(g.is_idle(), eq(false));
    let mut queued = started(g.finish(permit, DONE, now));
    expect_that!(g.is_idle(), eq(false));
    g.finish(queued.remove(0).1, DONE, now);
    expect_that!(g.is_idle(), eq(true));
}

/// Guards against a poison request that runs again, and against a report of suspects that misses it.
#[gtest]
fn a_dead_target_returns_the_requests_in_flight() {
    let now = Instant::now();
    let end = now + ms(5000);
    let mut g = gate(10, 10);
    let fingerprints = ["open", "lost", "fine"].map(Fingerprint::of_key);
    let offer = |g: &mut Gate, fingerprint| {
        run(g.offer(
            Arrival {
                depth: 0,
                deadline: end,
                goal: None,
                fingerprint: Some(fingerprint),
                limit: None,
            },
            now,
        ))
    };
    let [open, lost, fine] = fingerprints.map(|fingerprint| offer(&mut g, fingerprint));
    g.finish(fine, DONE, now);
    g.finish(lost, RunOutcome::Lost, now);
    let suspects = g.target_died(now + ms(200));
    expect_that!(suspects, unordered_elements_are![eq(&fingerprints[0]), eq(&fingerprints[1])]);
    g.finish(open, RunOutcome::Lost, now);
    expect_that!(g.load().in_flight, eq(0));
    for (host, start) in [("a", 1), ("b", 1)] {
        let death = Death { host: host.into(), target: 0, start };
        g.poison_mut()
            .merge(&Suspects { death, fingerprints: suspects.clone(), too_many: false }, now);
    }
    let again = Arrival {
        depth: 0,
        deadline: end,
        goal: None,
        fingerprint: Some(fingerprints[0]),
        limit: None,
    };
    let refusal = refuse(g.offer(again, now));
    expect_that!((refusal.reason, refusal.outcome), eq((Reason::Poisoned, Outcome::Unknown)));
}

/// Guards against a busy route whose service time is forgotten because rarer routes were added after it,
/// so that its requests are admitted without knowledge of how long they take.
#[gtest]
fn the_least_recently_used_kind_is_forgotten_first() {
    let mut g = gate(4, 8);
    let start = Instant::now();
    let arrival = |objective: u64, now: Instant| Arrival {
        goal: Some(Goal { objective: ms(objective), late_at: now + ms(objective), priority: 0 }),
        ..call(0, now + ms(5000))
    };
    let busy = 5000;
    for step in 0..20 {
        let now = start + ms(step * 10);
        for (objective, latency) in [(busy, ms(10)), (100 + step, ms(500))] {
            let permit = run(g.offer(arrival(objective, now), now));
            g.finish(permit, RunOutcome::Answered { status: 200, latency }, now);
        }
        expect_that!(g.estimate(&arrival(busy, now), now).1, eq(ms(10)), "step {step}");
    }
}
