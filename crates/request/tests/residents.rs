//! Targets that announce themselves to the daemon beside them.

use std::time::Duration;

use dw_request::{LocalTargets, ReportEffect, TargetReport};
use googletest::prelude::*;
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_secs(4);

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
    }
}

fn names(residents: &LocalTargets) -> Vec<(u16, String)> {
    residents.list().iter().map(|r| (r.index, r.report.name.to_string())).collect()
}

/// Guards against a late report that ends a drain.
#[gtest]
fn late_reports_are_ignored() {
    let now = Instant::now();
    let mut residents = LocalTargets::new(SILENCE);
    expect_that!(residents.apply_report(report("a", 100, 4), now), eq(ReportEffect::Changed));
    expect_that!(residents.apply_report(report("a", 100, 5), now), eq(ReportEffect::Same));
    let draining = TargetReport { draining: true, ..report("a", 100, 7) };
    expect_that!(residents.apply_report(draining, now), eq(ReportEffect::Changed));
    expect_that!(residents.apply_report(report("a", 100, 6), now), eq(ReportEffect::Stale));
    expect_that!(residents.list()[0].is_open(), eq(false));
}

/// Guards against a report of an earlier incarnation, delayed by a partition, that replaces the
/// target now at the address, and against an index that two incarnations share.
#[gtest]
fn the_latest_incarnation_holds_the_address() {
    let now = Instant::now();
    let mut residents = LocalTargets::new(SILENCE);
    residents.apply_report(report("a", 100, 9), now);
    expect_that!(residents.apply_report(report("b", 200, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&residents), eq(&vec![(1, "b".to_owned())]));
    expect_that!(residents.apply_report(report("a", 100, 10), now), eq(ReportEffect::Stale));
    // The same name again, with counts that start anew.
    expect_that!(residents.apply_report(report("b", 300, 1), now), eq(ReportEffect::Changed));
    expect_that!(names(&residents), eq(&vec![(2, "b".to_owned())]));
    expect_that!(residents.apply_report(report("b", 200, 2), now), eq(ReportEffect::Stale));
}

/// Guards against a target that left and is brought back by a report which was under way.
#[gtest]
fn a_target_that_left_stays_away() {
    let now = Instant::now();
    let mut residents = LocalTargets::new(SILENCE);
    residents.apply_report(report("a", 100, 1), now);
    expect_that!(residents.leave("a", 500), eq(true));
    expect_that!(residents.leave("a", 500), eq(false));
    expect_that!(residents.apply_report(report("a", 100, 2), now), eq(ReportEffect::Stale));
    expect_that!(residents.apply_report(report("a", 101, 1), now), eq(ReportEffect::Changed));
}

/// Guards against requests for a target that ended without a word.
#[gtest]
fn silence_closes_a_target_until_it_reports_again() {
    let now = Instant::now();
    let mut residents = LocalTargets::new(SILENCE);
    residents.apply_report(report("a", 100, 1), now);
    expect_that!(residents.expire(now + SILENCE - Duration::from_millis(1)), eq(false));
    expect_that!(residents.expire(now + SILENCE), eq(true));
    expect_that!(residents.list()[0].is_open(), eq(false));
    expect_that!(
        residents.apply_report(report("a", 100, 2), now + SILENCE),
        eq(ReportEffect::Changed)
    );
    expect_that!(names(&residents), eq(&vec![(0, "a".to_owned())]));
    expect_that!(residents.list()[0].is_open(), eq(true));
}

/// Guards against a target that announced its end to a daemon which had just started and did not know
/// it yet, and that is taken back by a report which was under way: requests reached it seconds after
/// its end was acknowledged.
#[gtest]
fn a_target_that_left_before_it_was_known_stays_away() {
    let now = Instant::now();
    let mut residents = LocalTargets::new(SILENCE);
    expect_that!(residents.leave("a", 500), eq(false));
    expect_that!(residents.apply_report(report("a", 100, 9), now), eq(ReportEffect::Stale));
    expect_that!(residents.list().is_empty(), eq(true));
    // A later start under the same name is another target.
    expect_that!(residents.apply_report(report("a", 501, 1), now), eq(ReportEffect::Changed));
    // Another target is not concerned.
    let other = TargetReport { address: ([127, 0, 0, 1], 8001).into(), ..report("b", 100, 1) };
    expect_that!(residents.apply_report(other, now), eq(ReportEffect::Changed));
}
