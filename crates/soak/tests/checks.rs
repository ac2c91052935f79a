//! Runs each check of the soak on a history that keeps its promise, and on one that breaks it.

use std::time::Duration;

use dw_soak::{Answer, History, Named, Promise, Sent, Trouble, Visit, check};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time at which all faults are over.
const FAULTS_OVER: Duration = ms(20_000);

/// Records a request that is sent to host 0 at `at`, reaches the target and is answered.
fn serve(history: &mut History, id: u64, at: Duration, status: u16) {
    history.sent.insert(id, Sent { at, host: 0, once: true });
    let visit = Visit { at: at + ms(1), target: "i-1".to_owned(), id, ran: status == 200 };
    history.visits.push(visit);
    let target = (status == 200).then(|| "i-1".to_owned());
    let answer = Answer { at: at + ms(20), status, target, whole: status == 200, leaving: false };
    history.answers.insert(id, answer);
}

/// A history of 20 requests per second for 25 s, all of them served.
fn served_history() -> History {
    let mut history = History::default();
    for id in 0..500 {
        serve(&mut history, id, ms(id * 50), 200);
    }
    history
}

fn broken(history: &History) -> Vec<Promise> {
    let mut promises: Vec<_> = check(history, FAULTS_OVER).iter().map(|f| f.promise).collect();
    promises.dedup();
    promises
}

/// Guards against checks with false positives.
#[gtest]
fn a_good_history_breaks_nothing() {
    expect_that!(broken(&served_history()), is_empty());
}

/// Guards against a check that misses requests in excess of a limit.
#[gtest]
fn too_many_requests_for_a_limit_are_found() {
    let named = |rate| Named { target: "i-1".to_owned(), rate, from: ms(2_000), until: ms(15_000) };
    let mut history = served_history();
    history.named = vec![named(13.0)];
    // The target gets 80 requests in 4 s; 83 are allowed at a limit of 13, and 65 at a limit of 10.
    expect_that!(broken(&history), is_empty());
    history.named = vec![named(10.0)];
    expect_that!(broken(&history), elements_are![eq(&Promise::Limit)]);
}

/// Guards against a check that misses new requests sent to a target that is leaving.
#[gtest]
fn new_requests_for_a_target_that_leaves_are_found() {
    let mut history = served_history();
    if let Some(answer) = history.answers.get_mut(&490) {
        answer.leaving = true;
    }
    // All later requests are sent within 0.5 s of the announcement, and may still reach the target.
    expect_that!(broken(&history), is_empty());
    if let Some(answer) = history.answers.get_mut(&400) {
        answer.leaving = true;
    }
    expect_that!(broken(&history), elements_are![eq(&Promise::Leaving)]);
    history.troubles = vec![Trouble { host: 0, from: ms(20_100), until: ms(20_500) }];
    expect_that!(broken(&history), is_empty());
}

/// Guards against checks that miss a repeated run, or a run of a request that was refused as not
/// run.
#[gtest]
fn unwanted_runs_are_found() {
    let mut history = served_history();
    let visit = history.visits[7].clone();
    history.visits.push(visit);
    expect_that!(broken(&history), elements_are![eq(&Promise::Once)]);
    let mut history = served_history();
    if let Some(answer) = history.answers.get_mut(&7) {
        (answer.status, answer.target) = (503, None);
    }
    expect_that!(broken(&history), elements_are![eq(&Promise::NotRun)]);
}

/// Guards against a check that misses an answer which is incomplete or belongs to another request.
#[gtest]
fn answers_of_others_are_found() {
    let mut history = served_history();
    if let Some(answer) = history.answers.get_mut(&7) {
        answer.whole = false;
    }
    expect_that!(broken(&history), elements_are![eq(&Promise::Whole)]);
}

/// Guards against checks that miss a fleet which does not recover, or a daemon that does not stop.
#[gtest]
fn a_fleet_that_stays_down_is_found() {
    let mut history = served_history();
    for id in 400..460 {
        history.answers.remove(&id);
    }
    history.overdue = vec![3];
    expect_that!(broken(&history), elements_are![eq(&Promise::Stopped), eq(&Promise::Recovered)]);
}

/// Guards against a check that misses requests to a target whose end was acknowledged.
#[gtest]
fn requests_for_a_target_that_has_left_are_found() {
    let mut history = served_history();
    history.departed = vec![("i-1".to_owned(), ms(23_500))];
    expect_that!(broken(&history), is_empty());
    history.departed = vec![("i-1".to_owned(), ms(20_000))];
    expect_that!(broken(&history), elements_are![eq(&Promise::Departed)]);
}

/// Guards against a check that misses a target that is not used although it reports itself.
#[gtest]
fn targets_that_are_not_used_are_found() {
    let mut history = served_history();
    history.reporting = vec!["i-1".to_owned()];
    expect_that!(broken(&history), is_empty());
    history.reporting.push("i-2".to_owned());
    expect_that!(broken(&history), elements_are![eq(&Promise::Used)]);
}
