//! Reports of targets to the daemon beside them.

use std::time::Duration;

use dw_request::{ReportEffect, ReportedTargets, TargetReport};
use dw_tables::Tombstone;
use googletest::prelude::*;
use tokio::time::Instant;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

fn report(name: &str, started: u64, sequence: u64) -> TargetReport {
    TargetReport {
        name: name.into(),
        started,
        sequence,
        service: "tally".into(),
        address: ([127, 0, 0, 1], 8000).into(),
        slots: 12,
        draining: false,
        warmup_left: Duration::ZERO,
        version: None,
    }
}

fn names(targets: &ReportedTargets) -> Vec<(u16, String)> {
    targets.list().iter().map(|r| (r.index, r.report.name.to_string())).collect()
}

/// Guards against a delayed report that ends a drain.
#[gtest]
fn late_reports_are_ignored() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    expect_that!(targets.apply_report(report("a", 100, 4), now), eq(ReportEffect::Changed));
    expect_that!(targets.apply_report(report("a", 100, 5), now), eq(ReportEffect::Same));
    let draining = TargetReport { draining: true, ..report("a", 100, 7) };
    expect_that!(targets.apply_report(draining, now), eq(ReportEffect::Changed));
    expect_that!(targets.apply_report(report("a", 100, 6), now), eq(ReportEffect::Stale));
    expect_that!(targets.list()[0].is_open(), eq(false));
}

/// Guards against a report of an earlier incarnation, delayed by a partition, that replaces the current
/// target at the address, and against two incarnations with the same index.
#[gtest]
fn the_latest_incarnation_holds_the_address() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 9), now);
    // The earlier incarnation has ended: its reports are overdue.
    let now = now + OVERDUE;
    expect_that!(targets.apply_report(report("b", 200, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&targets), eq(&vec![(1, "b".to_owned())]));
    expect_that!(targets.apply_report(report("a", 100, 10), now), eq(ReportEffect::Held));
    // A new incarnation with the same name, whose sequence numbers start again.
    let now = now + OVERDUE;
    expect_that!(targets.apply_report(report("b", 300, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&targets), eq(&vec![(2, "b".to_owned())]));
    expect_that!(targets.apply_report(report("b", 200, 2), now), eq(ReportEffect::Held));
    expect_that!(names(&targets), eq(&vec![(2, "b".to_owned())]));
}

/// A time after which a target that goes on reporting has sent its next report.
const OVERDUE: Duration = SILENCE_TIMEOUT.checked_div(2).expect("not zero");

/// The time between two reports of a target.
const PERIOD: Duration = SILENCE_TIMEOUT.checked_div(3).expect("not zero");

/// Guards against a report of another writer, with the address of a target and a service that nobody runs here, that
/// takes the target out for good.
#[gtest]
fn a_report_of_another_service_displaces_no_target() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT).with_service("tally".into());
    targets.apply_report(report("a", 100, 1), now);
    let foreign = |name: &str| TargetReport { service: "another".into(), ..report(name, 900, 1) };
    for at in [now, now + OVERDUE, now + SILENCE_TIMEOUT * 3] {
        targets.expire(at);
        expect_that!(targets.apply_report(foreign("b"), at), eq(ReportEffect::Foreign));
        expect_that!(targets.apply_report(foreign("a"), at), eq(ReportEffect::Foreign));
    }
    let at = now + SILENCE_TIMEOUT * 3;
    expect_that!(targets.apply_report(report("a", 100, 2), at), eq(ReportEffect::Changed));
    expect_that!(targets.list()[0].is_open(), eq(true));
    expect_that!(names(&targets), eq(&vec![(0, "a".to_owned())]));
}

/// Guards against another writer that takes out a target which goes on reporting: with its name or its address, a start
/// before or after its own, a drain, once or again and again.
#[gtest]
fn a_target_that_goes_on_reporting_is_not_displaced() {
    for name in ["a", "b"] {
        for started in [0, 99, 100, 101, u64::MAX] {
            for draining in [false, true] {
                let now = Instant::now();
                let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
                targets.apply_report(report("a", 100, 1), now);
                let port = if name == "a" { 8001 } else { 8000 };
                for turn in 1..10 {
                    let other = TargetReport {
                        address: ([127, 0, 0, 1], port).into(),
                        draining,
                        ..report(name, started, turn)
                    };
                    let at = now + PERIOD * u32::try_from(turn).expect("small");
                    let effect = targets.apply_report(other, at - PERIOD / 2);
                    expect_that!(effect, eq(ReportEffect::Held), "{name} {started} {draining}");
                    let effect = targets.apply_report(report("a", 100, turn + 1), at);
                    expect_that!(effect, eq(ReportEffect::Same), "{name} {started} {draining}");
                    targets.expire(at);
                    expect_that!(targets.list()[0].is_open(), eq(true));
                }
                expect_that!(names(&targets), eq(&vec![(0, "a".to_owned())]));
                expect_that!(targets.take_unsaved(), is_empty());
            }
        }
    }
}

/// Guards against a target that stays out after another writer took its address while its reports were held up.
#[gtest]
fn a_displaced_target_that_goes_on_reporting_comes_back() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 1), now);
    let mut at = now + OVERDUE;
    expect_that!(targets.apply_report(report("b", 900, 1), at), eq(ReportEffect::Changed));
    for sequence in 2..6 {
        at += PERIOD;
        targets.expire(at);
        targets.apply_report(report("a", 100, sequence), at);
    }
    expect_that!(names(&targets), eq(&vec![(2, "a".to_owned())]));
    expect_that!(targets.list()[0].is_open(), eq(true));
    // The other writer's next reports are those of an incarnation that was replaced.
    expect_that!(targets.apply_report(report("b", 900, 2), at), eq(ReportEffect::Held));
    expect_that!(targets.apply_report(report("a", 100, 6), at), eq(ReportEffect::Same));
}

/// Guards against late reports of an incarnation that crashed which, one after the other or together,
/// take the place of the next one, and against those that arrive after the next one has left.
#[gtest]
fn late_reports_of_a_crashed_target_do_not_bring_it_back() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 1), now);
    let mut at = now + OVERDUE;
    expect_that!(targets.apply_report(report("b", 200, 1), at), eq(ReportEffect::Changed));
    for sequence in 2..6 {
        at += PERIOD;
        expect_that!(targets.apply_report(report("a", 100, sequence), at), eq(ReportEffect::Held));
        targets.apply_report(report("b", 200, sequence), at);
    }
    targets.leave("b", 500, at);
    let at = at + SILENCE_TIMEOUT;
    for sequence in 6..9 {
        expect_that!(targets.apply_report(report("a", 100, sequence), at), eq(ReportEffect::Held));
    }
    expect_that!(targets.list(), is_empty());
}

/// Guards against a target that left and is restored by a report still in transit.
#[gtest]
fn a_target_that_left_stays_away() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 1), now);
    expect_that!(targets.leave("a", 500, now), eq(true));
    expect_that!(targets.leave("a", 500, now), eq(false));
    expect_that!(targets.apply_report(report("a", 100, 2), now), eq(ReportEffect::Stale));
    expect_that!(targets.apply_report(report("a", 101, 1), now), eq(ReportEffect::Changed));
}

/// Guards against sending requests to a target that ended without announcing it.
#[gtest]
fn silence_closes_a_target_until_it_reports_again() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 1), now);
    expect_that!(targets.expire(now + SILENCE_TIMEOUT - Duration::from_millis(1)), eq(false));
    expect_that!(targets.expire(now + SILENCE_TIMEOUT), eq(true));
    expect_that!(targets.list()[0].is_open(), eq(false));
    expect_that!(
        targets.apply_report(report("a", 100, 2), now + SILENCE_TIMEOUT),
        eq(ReportEffect::Changed)
    );
    expect_that!(names(&targets), eq(&vec![(0, "a".to_owned())]));
    expect_that!(targets.list()[0].is_open(), eq(true));
}

/// Guards against a target that announces its end to a daemon that has just started and does not know it
/// yet, and that is then added by a report still in transit. Requests reached such a target seconds after
/// its end was acknowledged.
#[gtest]
fn a_target_that_left_before_it_was_known_stays_away() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    expect_that!(targets.leave("a", 500, now), eq(false));
    expect_that!(targets.apply_report(report("a", 100, 9), now), eq(ReportEffect::Stale));
    expect_that!(targets.list().is_empty(), eq(true));
    // A later start under the same name is another target.
    expect_that!(targets.apply_report(report("a", 501, 1), now), eq(ReportEffect::Changed));
    // Another target is not affected.
    let other = TargetReport { address: ([127, 0, 0, 1], 8001).into(), ..report("b", 100, 1) };
    expect_that!(targets.apply_report(other, now), eq(ReportEffect::Changed));
}

const INTERVAL: Duration = Duration::from_millis(700);

/// A process that knows from another one that the incarnation `a`, started at 100, has left.
fn restarted(tombstones: &[Tombstone], now: Instant) -> ReportedTargets {
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT).with_unknown_former(INTERVAL);
    // The next process has to be told of it as well.
    expect_that!(targets.learn_former(tombstones, true, now), eq(true));
    expect_that!(targets.learn_former(tombstones, true, now), eq(false));
    targets
}

/// Guards against a process that takes back a target which left before it started, because of a report that was sent
/// earlier and arrives late.
#[gtest]
fn a_target_that_left_before_a_restart_stays_away() {
    let now = Instant::now();
    let mut before = ReportedTargets::new(SILENCE_TIMEOUT);
    before.apply_report(report("a", 100, 1), now);
    before.leave("a", 500, now);
    let unsaved = before.take_unsaved();
    expect_that!(unsaved, elements_are![eq(&Tombstone::of_departed("a".into(), 100))]);
    expect_that!(before.take_unsaved(), is_empty());
    expect_that!(before.tombstones(now), eq(&unsaved));

    let mut after = restarted(&unsaved, now);
    expect_that!(after.apply_report(report("a", 100, 2), now), eq(ReportEffect::Stale));
    expect_that!(after.list().is_empty(), eq(true));
    // The store has it already.
    expect_that!(after.take_unsaved(), is_empty());
    expect_that!(after.tombstones(now), eq(&unsaved));
    expect_that!(after.apply_report(report("a", 101, 1), now), eq(ReportEffect::Changed));
    expect_that!(after.list()[0].is_open(), eq(true));
}

/// Guards against a process that opens a target which was draining before it started, because of an earlier report.
#[gtest]
fn a_drain_outlives_a_restart() {
    let now = Instant::now();
    let mut before = ReportedTargets::new(SILENCE_TIMEOUT);
    before.apply_report(report("a", 100, 1), now);
    for sequence in [3, 4, 5] {
        before.apply_report(TargetReport { draining: true, ..report("a", 100, sequence) }, now);
    }
    let unsaved = before.take_unsaved();
    // Later reports of the same drain are not saved again.
    let tombstone = Tombstone { name: "a".into(), started: 100, sequence: 3 };
    expect_that!(unsaved, elements_are![eq(&tombstone)]);

    let mut after = restarted(&unsaved, now);
    expect_that!(after.apply_report(report("a", 100, 2), now), eq(ReportEffect::Stale));
    let draining = TargetReport { draining: true, ..report("a", 100, 6) };
    expect_that!(after.apply_report(draining, now), eq(ReportEffect::Changed));
    expect_that!(after.list()[0].is_open(), eq(false));
    expect_that!(after.leave("a", 500, now), eq(true));
    expect_that!(after.take_unsaved().last(), some(eq(&Tombstone::of_departed("a".into(), 100))));
}

/// Guards against a process that forgets the end of a target which left while it did not know it.
#[gtest]
fn a_target_that_leaves_after_its_drain_and_a_restart_stays_away() {
    let now = Instant::now();
    let mut after = restarted(&[Tombstone { name: "a".into(), started: 100, sequence: 3 }], now);
    expect_that!(after.leave("a", 500, now), eq(false));
    expect_that!(after.apply_report(report("a", 100, 9), now), eq(ReportEffect::Stale));
    expect_that!(after.take_unsaved(), elements_are![eq(&Tombstone::of_departed("a".into(), 100))]);
}

/// Guards against requests to a target that left, before the new process has been told of it.
#[gtest]
fn a_target_is_closed_until_the_past_is_known() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT).with_unknown_former(INTERVAL);
    let other = TargetReport { address: ([127, 0, 0, 1], 8001).into(), ..report("b", 100, 1) };
    targets.apply_report(report("a", 100, 2), now);
    targets.apply_report(other, now);
    expect_that!(targets.list().iter().any(|r| r.is_open()), eq(false));
    // A peer knows a part of it.
    let tombstones = [Tombstone::of_departed("a".into(), 100)];
    expect_that!(targets.learn_former(&tombstones, false, now), eq(true));
    expect_that!(names(&targets), eq(&vec![(1, "b".to_owned())]));
    expect_that!(targets.list()[0].is_open(), eq(false));
    expect_that!(targets.learn_former(&[], true, now), eq(true));
    expect_that!(targets.list()[0].is_open(), eq(true));
}

/// Guards against a target that gets no request for as long as nobody can tell whether it left, and
/// against late reports that arrive together and open one.
#[gtest]
fn a_target_that_keeps_reporting_is_opened_without_knowing_the_past() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT).with_unknown_former(INTERVAL);
    for sequence in [1, 2, 3] {
        targets.apply_report(report("a", 100, sequence), now);
    }
    expect_that!(targets.list()[0].is_open(), eq(false));
    let later = now + INTERVAL;
    expect_that!(targets.apply_report(report("a", 100, 4), later), eq(ReportEffect::Changed));
    expect_that!(targets.list()[0].is_open(), eq(true));
}

/// Guards against a target that is not used because a late report of one that left arrived before it,
/// at a process that has just started.
#[gtest]
fn a_late_report_after_a_restart_holds_no_address() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT).with_unknown_former(INTERVAL);
    targets.apply_report(report("a", 100, 2), now);
    expect_that!(targets.apply_report(report("b", 200, 1), now), eq(ReportEffect::Changed));
    targets.learn_former(&[Tombstone::of_departed("a".into(), 100)], true, now);
    expect_that!(names(&targets), eq(&vec![(1, "b".to_owned())]));
    expect_that!(targets.list()[0].is_open(), eq(true));
}
