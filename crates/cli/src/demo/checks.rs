use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use dw_fakes::{Run, RunEnd};
use serde::Serialize;
use tokio::time::Instant;

use super::{Attempt, Reply};

/// Maximum number of cases that a check lists; further cases are only counted.
const MAX_CASES: usize = 5;

/// Reasons of unknown outcomes that show that a request was interrupted after it was sent.
const INTERRUPTION_REASONS: [&str; 7] = [
    "connection broke at the caller",
    "response was reset",
    "connection-lost",
    "connection-unresponsive",
    "response-truncated",
    "target-died",
    "cancelled",
];

/// One promise and the cases in which it was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Check {
    /// The promise.
    pub promise: String,
    /// Whether the promise includes a time limit, so that it can be broken by a machine without
    /// free cores.
    pub timed: bool,
    /// How often the promise was broken.
    pub broken: usize,
    /// The first few cases in which it was broken.
    pub cases: Vec<String>,
}

impl Check {
    pub(super) fn new(promise: &str, cases: Vec<String>) -> Self {
        let broken = cases.len();
        let cases = cases.into_iter().take(MAX_CASES).collect();
        Self { promise: promise.to_owned(), timed: false, broken, cases }
    }

    pub(super) fn timed(self) -> Self {
        Self { timed: true, ..self }
    }
}

/// The time of a graceful stop of a target or a daemon.
#[derive(Clone, Debug)]
pub struct Window {
    /// The start of the stop.
    pub from: Instant,
    /// The end of the stop.
    pub to: Instant,
}

impl Window {
    fn overlaps(&self, from: Instant, to: Option<Instant>) -> bool {
        from <= self.to && to.is_none_or(|to| to >= self.from)
    }
}

/// Compares what the callers saw with what the targets ran.
#[must_use]
pub fn check_calls(attempts: &[Attempt], runs: &[Run]) -> Vec<Check> {
    let mut by_request: HashMap<&str, (Vec<&Attempt>, Vec<&Run>)> = HashMap::new();
    for attempt in attempts {
        by_request.entry(&attempt.request).or_default().0.push(attempt);
    }
    for run in runs {
        by_request.entry(&run.request).or_default().1.push(run);
    }
    let [mut repeated, mut misreported, mut unfinished] = [(); 3].map(|()| Vec::new());
    for (request, (attempts, runs)) in &by_request {
        if attempts.iter().any(|s| s.once) && runs.len() > 1 {
            repeated.push(format!("{request} ran {} times", runs.len()));
        }
        for run in runs.iter().filter(|run| !is_explained(run, attempts)) {
            let replies: Vec<_> = attempts.iter().map(|s| &s.reply).collect();
            misreported.push(format!("{request} ran at {}, callers got {replies:?}", run.target));
        }
        let answered = attempts.iter().any(|s| s.reply == Reply::Answered);
        if answered && !runs.iter().any(|run| run.end == RunEnd::Finished) {
            unfinished.push(format!("{request} was answered and has no finished run"));
        }
    }
    vec![
        Check::new("a request that may run once ran at most once", repeated),
        Check::new("a request reported as not run did not run", misreported),
        Check::new("a request reported as answered ran to its end", unfinished),
        Check::new(
            "each response is the complete answer to its own request",
            wrong_replies(attempts),
        ),
        Check::new("a refusal as not run says when to send again", without_retry(attempts)),
        Check::new("an accepted route is known to every daemon", without_route(attempts)),
    ]
}

/// Whether an attempt that may have been run was sent before the run started.
fn is_explained(run: &Run, attempts: &[&Attempt]) -> bool {
    let may_have_run =
        |s: &&Attempt| !matches!(s.reply, Reply::NotRun { .. }) && s.sent <= run.started;
    attempts.iter().any(may_have_run)
}

fn wrong_replies(attempts: &[Attempt]) -> Vec<String> {
    let case = |s: &Attempt| match &s.reply {
        Reply::Wrong { fault } => Some(format!("{}: {fault}", s.request)),
        _ => None,
    };
    attempts.iter().filter_map(case).collect()
}

fn without_retry(attempts: &[Attempt]) -> Vec<String> {
    let case = |s: &Attempt| match &s.reply {
        Reply::NotRun { reason, retry: None } => Some(format!("{}: {reason}", s.request)),
        _ => None,
    };
    attempts.iter().filter_map(case).collect()
}

fn without_route(attempts: &[Attempt]) -> Vec<String> {
    let unrouted =
        |s: &&Attempt| matches!(&s.reply, Reply::NotRun { reason, .. } if reason == "no-route");
    attempts.iter().filter(unrouted).map(|s| format!("{} found no route", s.request)).collect()
}

/// Checks that no request was interrupted by a graceful stop, either of the target with the address
/// `target` or of a daemon.
#[must_use]
pub fn check_interruptions(
    promise: &str,
    window: &Window,
    target: Option<SocketAddr>,
    attempts: &[Attempt],
    runs: &[Run],
) -> Check {
    let interrupted = |s: &&Attempt| {
        window.overlaps(s.sent, Some(s.ended))
            && matches!(
                &s.reply,
                Reply::Unknown { reason } if INTERRUPTION_REASONS.contains(&reason.as_str())
            )
    };
    let mut cases: Vec<String> = attempts
        .iter()
        .filter(interrupted)
        .map(|s| format!("{}: {:?}", s.request, s.reply))
        .collect();
    // A run also ends early if its deadline passes. Its caller then got the reason `timed-out`.
    let late: Vec<&Arc<str>> = attempts
        .iter()
        .filter(|s| matches!(&s.reply, Reply::Unknown { reason } if reason == "timed-out"))
        .map(|s| &s.request)
        .collect();
    let ended = |run: &&Run| {
        Some(run.target) == target
            && window.overlaps(run.started, run.ended)
            && run.end != RunEnd::Finished
            && !late.contains(&&run.request)
    };
    cases.extend(runs.iter().filter(ended).map(|run| format!("{}: {:?}", run.request, run.end)));
    Check::new(promise, cases)
}

/// Checks that a target got no new work in a window.
#[must_use]
pub fn check_idle(promise: &str, window: &Window, target: SocketAddr, runs: &[Run]) -> Check {
    let new =
        |run: &&Run| run.target == target && run.started >= window.from && run.started <= window.to;
    let case = |run: &Run| {
        let late = run.started.duration_since(window.from).as_millis();
        format!("{} started {late} ms after the target had to be idle", run.request)
    };
    Check::new(promise, runs.iter().filter(new).map(case).collect()).timed()
}
