//! Reports of targets to the daemon beside them.

use std::time::Duration;

use dw_request::{ReportEffect, ReportedTargets, TargetReport};
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
    expect_that!(targets.apply_report(report("b", 200, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&targets), eq(&vec![(1, "b".to_owned())]));
    expect_that!(targets.apply_report(report("a", 100, 10), now), eq(ReportEffect::Stale));
    // A new incarnation with the same name, whose sequence numbers start again.
    expect_that!(targets.apply_report(report("b", 300, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&targets), eq(&vec![(2, "b".to_owned())]));
    expect_that!(targets.apply_report(report("b", 200, 2), now), eq(ReportEffect::Stale));
}

/// Guards against a target that left and is restored by a report still in transit.
#[gtest]
fn a_target_that_left_stays_away() {
    let now = Instant::now();
    let mut targets = ReportedTargets::new(SILENCE_TIMEOUT);
    targets.apply_report(report("a", 100, 1), now);
    expect_that!(targets.leave("a", 500), eq(true));
    expect_that!(targets.leave("a", 500), eq(false));
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
    expect_that!(targets.leave("a", 500), eq(false));
    expect_that!(targets.apply_report(report("a", 100, 9), now), eq(ReportEffect::Stale));
    expect_that!(targets.list().is_empty(), eq(true));
    // A later start under the same name is another target.
    expect_that!(targets.apply_report(report("a", 501, 1), now), eq(ReportEffect::Changed));
    // Another target is not affected.
    let other = TargetReport { address: ([127, 0, 0, 1], 8001).into(), ..report("b", 100, 1) };
    expect_that!(targets.apply_report(other, now), eq(ReportEffect::Changed));
}
