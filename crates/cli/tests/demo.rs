//! The whole demo at a low rate of calls, and the checks on its results.

#![allow(clippy::expect_used)]

use std::{net::SocketAddr, time::Duration};

use dw_cli::{
    Attempt, Check, Console, Deployment, Reply, Schedule, Window, check_calls, check_idle,
    check_interruptions, run_demo,
};
use dw_fakes::{Run, RunEnd};
use googletest::prelude::*;
use tokio::time::Instant;

/// A schedule with short steps. Waits for a state of the fleet end as soon as it is reached.
fn short() -> Schedule {
    Schedule {
        rate: 150,
        pause: Duration::from_millis(200),
        drained_time: Duration::from_millis(200),
        drain_notice: Duration::from_millis(200),
        outage: Duration::from_millis(200),
        wait_limit: Duration::from_secs(120),
        ..Schedule::default()
    }
}

/// Runs the demo and expects that every promise is kept, except those that depend on the speed of
/// the machine.
async fn keeps_promises(deployment: Deployment, hosts: usize) -> Result<()> {
    let mut console = Console::new(true, Box::new(std::io::sink()), Box::new(std::io::sink()));
    let report = run_demo(deployment, &short(), &mut console).await?;
    let broken: Vec<_> = report.broken().into_iter().filter(|check| !check.timed).collect();
    expect_that!(broken, is_empty());
    expect_that!(report.in_force.len(), eq(hosts));
    expect_that!(report.in_force.values().all(|version| *version == Some(3)), eq(true));
    expect_that!(report.calls.answered, gt(0));
    expect_that!(report.runs, gt(0));
    Ok(())
}

/// Guards against a broken promise in the Cooperative's deployment while its tables are edited, a
/// target is drained, a daemon is stopped, a host fails and the platform is down.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_promises_to_the_cooperative() -> Result<()> {
    keeps_promises(Deployment::Cooperative, 13).await
}

/// Guards against a broken promise in the Verband's deployment under the same disturbances.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_promises_to_the_verband() -> Result<()> {
    keeps_promises(Deployment::Verband, 14).await
}

const TARGET: &str = "127.0.0.1:8000";

fn target() -> SocketAddr {
    TARGET.parse().expect("address")
}

fn run(request: &str, started: Instant, end: RunEnd) -> Run {
    Run {
        request: request.into(),
        key: None,
        service: "ledger".into(),
        target: target(),
        body: 0,
        started,
        ended: Some(started),
        end,
    }
}

fn attempt(request: &str, sent: Instant, reply: Reply) -> Attempt {
    Attempt { request: request.into(), once: true, sent, ended: sent, reply }
}

fn not_run(reason: &str, retry: Option<u64>) -> Reply {
    Reply::NotRun { reason: reason.to_owned(), retry }
}

fn broken(checks: &[Check]) -> Vec<&str> {
    checks.iter().filter(|check| check.broken > 0).map(|check| check.promise.as_str()).collect()
}

/// Guards against checks of the demo that pass although a promise was broken.
#[gtest]
fn checks_of_calls_find_each_fault() {
    let at = Instant::now();
    let later = at + Duration::from_secs(1);
    let finished = |id| run(id, at, RunEnd::Finished);
    let cases = [
        (vec![attempt("a", at, Reply::Answered)], vec![finished("a")], ""),
        (
            vec![attempt("a", at, Reply::Answered)],
            vec![finished("a"), finished("a")],
            "at most once",
        ),
        (vec![attempt("a", at, not_run("draining", Some(1)))], vec![finished("a")], "did not run"),
        (
            vec![
                attempt("a", at, not_run("draining", Some(1))),
                attempt("a", later, Reply::Answered),
            ],
            vec![finished("a")],
            "did not run",
        ),
        (
            vec![attempt("a", at, not_run("draining", Some(1))), attempt("a", at, Reply::Answered)],
            vec![finished("a")],
            "",
        ),
        (vec![attempt("a", at, Reply::Answered)], vec![], "ran to its end"),
        (
            vec![attempt("a", at, Reply::Wrong { fault: "short".to_owned() })],
            vec![finished("a")],
            "complete answer",
        ),
        (vec![attempt("a", at, not_run("draining", None))], vec![], "when to send again"),
        (vec![attempt("a", at, not_run("no-route", Some(1)))], vec![], "accepted route"),
    ];
    for (attempts, runs, promise) in cases {
        let checks = check_calls(&attempts, &runs);
        let broken = broken(&checks);
        if promise.is_empty() {
            expect_that!(broken, is_empty());
        } else {
            expect_that!(broken, elements_are![contains_substring(promise)], "{attempts:?}");
        }
    }
}

/// Guards against a demo that does not notice that a graceful stop interrupts requests, or that a
/// draining target gets new work.
#[gtest]
fn checks_of_stops_find_each_fault() {
    let at = Instant::now();
    let window = Window { from: at, to: at + Duration::from_secs(4) };
    let unknown = |reason: &str| Reply::Unknown { reason: reason.to_owned() };
    let interruptions = |reply: Reply, end| {
        let (attempts, runs) = ([attempt("a", at, reply)], [run("a", at, end)]);
        check_interruptions("", &window, Some(target()), &attempts, &runs).broken
    };
    expect_that!(interruptions(Reply::Answered, RunEnd::Finished), eq(0));
    expect_that!(interruptions(unknown("response was reset"), RunEnd::Finished), eq(1));
    expect_that!(interruptions(unknown("connection-lost"), RunEnd::Cancelled), eq(2));
    expect_that!(interruptions(unknown("timed-out"), RunEnd::Cancelled), eq(0));
    let before = at.checked_sub(Duration::from_secs(1)).expect("time");
    let idle = |started| check_idle("", &window, target(), &[run("a", started, RunEnd::Finished)]);
    expect_that!(idle(before).broken, eq(0));
    expect_that!(idle(at + Duration::from_secs(1)).broken, eq(1));
}
