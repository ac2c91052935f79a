use std::{collections::HashMap, time::Duration};

use derive_more::Display;

use crate::{History, Named, Sent};

/// Length of the sliding windows in which a target's requests are counted; from the users' rules.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after a target first announces its limit from which its requests count; from the users'
/// rules.
const LIMIT_LEAD_TIME: Duration = Duration::from_secs(3);

/// Requests allowed in a window in addition to [`LIMIT_FACTOR`] times the announced limit; from the
/// users' rules.
const LIMIT_SLACK: f64 = 5.0;

/// Multiple of the announced limit that is allowed in a window; from the users' rules.
const LIMIT_FACTOR: f64 = 1.5;

/// Time after an answer that announces a target's departure during which the target may still get
/// new requests; from the users' rules.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Time after the acknowledgement of a target's end in which it may still get requests; from the users' rules.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Share of the requests in the last seconds of a run, after all faults, that must be served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// A property that callers and targets rely on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Promise {
    /// A target gets no more requests than the limit it announces.
    #[display("limit")]
    Limit,
    /// A target that announces its departure gets no new requests.
    #[display("leaving")]
    Leaving,
    /// A target whose end was acknowledged gets no new requests.
    #[display("departed")]
    Departed,
    /// A target that reports itself gets requests.
    #[display("used")]
    Used,
    /// A request that must not be repeated runs at most once.
    #[display("once")]
    Once,
    /// A request whose refusal states that it was not run was not run.
    #[display("not-run")]
    NotRun,
    /// A caller gets the complete answer to its own request.
    #[display("whole")]
    Whole,
    /// A daemon that receives SIGTERM ends in time.
    #[display("stopped")]
    Stopped,
    /// Requests are served again after all faults.
    #[display("recovered")]
    Recovered,
}

/// A violation of a promise.
#[derive(Clone, Debug, Display)]
#[display("{promise}: {detail}")]
pub struct Finding {
    /// The promise that was broken.
    pub promise: Promise,
    /// What was observed.
    pub detail: String,
}

/// Returns every violation in a history; all faults are over at the time `faults_over`.
#[must_use]
pub fn check(history: &History, faults_over: Duration) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(history.named.iter().filter_map(|named| check_limit(history, named)));
    findings.extend(check_leaving(history));
    findings.extend(check_departed(history));
    findings.extend(check_used(history, faults_over));
    findings.extend(check_runs(history));
    findings.extend(check_answers(history));
    let overdue = |host: &usize| Finding {
        promise: Promise::Stopped,
        detail: format!("the daemon of host {host} did not end after SIGTERM"),
    };
    findings.extend(history.overdue.iter().map(overdue));
    findings.extend(check_recovered(history, faults_over));
    findings
}

/// The most requests that a target got in one window while it announced a limit, and the number
/// that is allowed.
pub(crate) fn busiest_window(history: &History, named: &Named) -> (usize, f64) {
    let times: Vec<_> = history
        .visits
        .iter()
        .filter(|visit| visit.target == named.target)
        .map(|visit| visit.at)
        .filter(|at| (named.from + LIMIT_LEAD_TIME..named.until).contains(at))
        .collect();
    let within = |first: usize| {
        times[first..].iter().take_while(|at| **at < times[first] + LIMIT_WINDOW).count()
    };
    let most = (0..times.len()).map(within).max().unwrap_or_default();
    (most, named.rate * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK)
}

fn check_limit(history: &History, named: &Named) -> Option<Finding> {
    let (most, allowed) = busiest_window(history, named);
    let Named { target, rate, from, .. } = named;
    let detail = format!(
        "{target}, which named {rate} a second at {from:?}, got {most} in 4 s of {allowed}"
    );
    (to_f64(most) > allowed).then_some(Finding { promise: Promise::Limit, detail })
}

/// Finds requests that a host accepted and sent to a target after it had forwarded the target's
/// announcement that it is leaving.
fn check_leaving(history: &History) -> Vec<Finding> {
    let mut announced: HashMap<(usize, &str), Duration> = HashMap::new();
    for (id, answer) in &history.answers {
        if let (true, Some(target), Some(sent)) =
            (answer.leaving, &answer.target, history.sent.get(id))
        {
            let at = announced.entry((sent.host, target)).or_insert(answer.at);
            *at = answer.at.min(*at);
        }
    }
    let broken = history.visits.iter().filter_map(|visit| {
        let sent = history.sent.get(&visit.id)?;
        let at = *announced.get(&(sent.host, visit.target.as_str()))?;
        let excused = history.troubles.iter().any(|trouble| {
            trouble.host == sent.host && trouble.until >= at && trouble.from <= sent.at
        });
        let detail = format!(
            "host {} was told at {at:?} that {} leaves, and sent it a request of {:?}",
            sent.host, visit.target, sent.at
        );
        (sent.at > at + LEAVING_GRACE && !excused)
            .then_some(Finding { promise: Promise::Leaving, detail })
    });
    broken.collect()
}

/// Finds requests that reached a target after its end was acknowledged, from hosts whose daemons could know of it.
fn check_departed(history: &History) -> Vec<Finding> {
    let found = history.departed.iter().filter_map(|(target, at)| {
        let late = |visit: &&crate::Visit| {
            let excused = history.sent.get(&visit.id).is_none_or(|sent| {
                let mut of_sender = history.troubles.iter().filter(|t| t.host == sent.host);
                of_sender.any(|t| t.until >= *at && t.from <= visit.at)
            });
            visit.target == *target && visit.at > *at + DRAIN_TIME && !excused
        };
        let count = history.visits.iter().filter(late).count();
        let detail =
            format!("{target}, whose end was acknowledged at {at:?}, got {count} requests");
        (count > 0).then_some(Finding { promise: Promise::Departed, detail })
    });
    found.collect()
}

/// Finds targets that run nothing after all faults although they report themselves.
fn check_used(history: &History, faults_over: Duration) -> Vec<Finding> {
    let unused = history.reporting.iter().filter(|name| {
        !history.visits.iter().any(|v| v.target == **name && v.at >= faults_over && v.ran)
    });
    let finding = |name| Finding {
        promise: Promise::Used,
        detail: format!("{name} reports itself and got no request after all faults"),
    };
    unused.map(finding).collect()
}

/// Finds requests that ran more than once although they must not, and requests that ran although
/// their caller was told that they did not.
fn check_runs(history: &History) -> Vec<Finding> {
    let mut runs: HashMap<u64, u32> = HashMap::new();
    for visit in history.visits.iter().filter(|visit| visit.ran) {
        *runs.entry(visit.id).or_default() += 1;
    }
    let mut findings = Vec::new();
    for (id, count) in runs {
        if history.sent.get(&id).is_some_and(|sent| sent.once) && count > 1 {
            let detail = format!("request {id:x} ran {count} times");
            findings.push(Finding { promise: Promise::Once, detail });
        }
        let refused = |status| matches!(status, 408 | 421 | 429 | 503);
        if let Some(answer) = history.answers.get(&id)
            && answer.target.is_none()
            && refused(answer.status)
        {
            let detail = format!("request {id:x} ran and was answered {}", answer.status);
            findings.push(Finding { promise: Promise::NotRun, detail });
        }
    }
    findings
}

fn check_answers(history: &History) -> Vec<Finding> {
    let broken = history.answers.iter().filter(|(_, answer)| {
        (200..300).contains(&answer.status) && !(answer.whole && answer.target.is_some())
    });
    let finding = |(id, answer): (&u64, &crate::Answer)| Finding {
        promise: Promise::Whole,
        detail: format!("request {id:x} got {} with another body or no signature", answer.status),
    };
    broken.map(finding).collect()
}

fn check_recovered(history: &History, faults_over: Duration) -> Option<Finding> {
    let late: Vec<(&u64, &Sent)> =
        history.sent.iter().filter(|(_, sent)| sent.at >= faults_over).collect();
    let good = |id: &u64| history.answers.get(id).is_some_and(|answer| answer.status == 200);
    let served = late.iter().filter(|(id, _)| good(id)).count();
    let detail = format!("{served} of {} requests after all faults were served", late.len());
    (to_f64(served) < MIN_SERVED_SHARE * to_f64(late.len()) || late.is_empty())
        .then_some(Finding { promise: Promise::Recovered, detail })
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
