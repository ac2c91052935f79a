use std::time::Duration;

use dw_log::{Event, Field, Kind, Trace};
use dw_request::{Attempt, Load, Outcome, Rate, Reason, Refusal};
use dw_tables::Name;
use tokio::time::Instant;

use super::body::Ended;
use crate::counters::Counters;

/// A target was chosen for the request.
pub(super) fn placed(attempt: &Attempt) -> Event {
    let endpoint = &attempt.endpoint;
    Event::new(Kind::Placed)
        .with(Field::Route, &attempt.route.name)
        .with(Field::Service, &endpoint.service)
        .with(Field::Target, &endpoint.host)
        .with(Field::Index, endpoint.target)
        .with(Field::Attempt, attempt.number)
        .with(Field::Version, attempt.version)
        .with(Field::Candidates, attempt.basis.candidates)
        .with(Field::InFlight, attempt.basis.in_flight)
        .with(Field::Slots, endpoint.slots)
        .with_some(Field::AgeMs, attempt.basis.load_age)
        .with_some(Field::Limit, attempt.basis.limit.map(|rate| rate.to_string()))
        .with(Field::LeftMs, attempt.timeout)
}

/// The attempt led to no response.
pub(super) fn failed(
    attempt: &Attempt,
    reason: Reason,
    outcome: Outcome,
    sent: Instant,
    detail: Option<String>,
) -> Event {
    Event::new(Kind::AttemptFailed)
        .with(Field::Target, &attempt.endpoint.host)
        .with(Field::Index, attempt.endpoint.target)
        .with(Field::Attempt, attempt.number)
        .with(Field::Reason, reason.as_str())
        .with(Field::Outcome, outcome.as_str())
        .with(Field::TookMs, sent.elapsed())
        .with_some(Field::Detail, detail)
}

/// The request goes to another target, or to the same one once more.
pub(super) fn again(next: &Attempt, after: Duration) -> Event {
    let kind = if next.retried { Kind::Retried } else { Kind::Moved };
    Event::new(kind)
        .with(Field::Attempt, next.number)
        .with_some(Field::Reason, next.cause.map(Reason::as_str))
        .with(Field::RetryMs, after)
}

/// The request is answered by the daemon itself.
pub(super) fn refused(refusal: &Refusal, deadline: Option<Instant>) -> Event {
    let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
    let detail = refusal.no_retry.map(|reason| format!("not retried: {reason}"));
    Event::new(Kind::Refused)
        .with(Field::Reason, refusal.reason.as_str())
        .with(Field::Outcome, refusal.outcome.as_str())
        .with(Field::Status, refusal.status)
        .with(Field::RetryMs, refusal.retry_after)
        .with_some(Field::LeftMs, left)
        .with_some(Field::Detail, detail)
}

/// The daemon beside the target hands the request over.
pub(super) fn admitted(target: &TargetLabel<'_>, waited: Duration, load: Load) -> Event {
    let event = Event::new(Kind::Admitted);
    with_load(target.name(event), load).with(Field::WaitMs, waited)
}

/// The daemon beside the target does not hand the request over.
pub(super) fn turned_away(
    target: &TargetLabel<'_>,
    reason: Reason,
    load: Load,
    expected: Expected,
) -> Event {
    let event = target.name(Event::new(Kind::TurnedAway)).with(Field::Reason, reason.as_str());
    with_load(event, load)
        .with(Field::WaitMs, expected.wait)
        .with(Field::ServiceMs, expected.service)
        .with(Field::LeftMs, expected.left)
}

/// The target ended the request, or it is not known what became of it there.
pub(super) fn not_run(
    target: &TargetLabel<'_>,
    reason: Reason,
    sent: Instant,
    detail: Option<String>,
) -> Event {
    target
        .name(Event::new(Kind::NotRun))
        .with(Field::Reason, reason.as_str())
        .with(Field::Outcome, reason.outcome().as_str())
        .with(Field::TookMs, sent.elapsed())
        .with_some(Field::Detail, detail)
}

/// The target answered; `ended` says how the body ended.
pub(super) fn ran(target: &TargetLabel<'_>, status: u16, sent: Instant, ended: Ended) -> Event {
    let kind = match ended {
        Ended::Complete => Kind::Ran,
        Ended::Failed => Kind::Truncated,
        Ended::Dropped => Kind::Cancelled,
    };
    target.name(Event::new(kind)).with(Field::Status, status).with(Field::TookMs, sent.elapsed())
}

fn with_load(event: Event, load: Load) -> Event {
    event
        .with(Field::InFlight, load.in_flight)
        .with(Field::Slots, load.slots)
        .with(Field::Queued, load.queued)
        .with_some(Field::Limit, load.limit.map(|rate| rate.to_string()))
}

/// A target's responses say something new.
pub(super) fn said(target: &TargetLabel<'_>, saying: Saying) -> Event {
    let event = target.name(Event::new(Kind::TargetSaid));
    match saying {
        Saying::Limited(rate) => {
            event.with(Field::State, "limited").with(Field::Limit, rate.to_string())
        }
        Saying::Unlimited => event.with(Field::State, "unlimited"),
        Saying::Leaving => event.with(Field::State, "leaving"),
        Saying::Unreadable => event.with(Field::State, "unreadable"),
    }
}

/// What is new in a target's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Saying {
    /// It takes this many requests a second.
    Limited(Rate),
    /// It names no limit any more.
    Unlimited,
    /// It is leaving.
    Leaving,
    /// It names a limit that cannot be read.
    Unreadable,
}

/// A target on this host, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetLabel<'a> {
    /// Its service.
    pub(super) service: &'a Name,
    /// Its index.
    pub(super) index: u16,
}

impl TargetLabel<'_> {
    fn name(&self, event: Event) -> Event {
        event.with(Field::Service, self.service).with(Field::Index, self.index)
    }
}

/// What the gate expects of a request, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// The wait for a slot.
    pub(super) wait: Duration,
    /// The time at the target.
    pub(super) service: Duration,
    /// The time until the deadline.
    pub(super) left: Duration,
}

/// What is logged when the body of a response to a caller ends.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) trace: Trace,
    pub(super) counters: Counters,
    /// The route, if an attempt was made.
    pub(super) route: Option<Name>,
    pub(super) status: u16,
    pub(super) started: Instant,
    /// After this moment the answer is worth less.
    pub(super) late_at: Option<Instant>,
}

impl Ending {
    /// The body ended.
    pub(super) fn record(&self, ended: Ended) {
        let late = self.late_at.is_some_and(|at| Instant::now() > at);
        if late || self.status >= 500 {
            self.trace.mark_failed();
        }
        if let Some(route) = &self.route {
            self.counters.observe_route(route, self.started.elapsed());
        }
        let kind = match ended {
            Ended::Complete => Kind::Answered,
            Ended::Failed => Kind::Truncated,
            Ended::Dropped => Kind::Cancelled,
        };
        self.trace.end(|| {
            Event::new(kind)
                .with(Field::Status, self.status)
                .with(Field::TookMs, self.started.elapsed())
                .with(Field::Late, late)
        });
    }
}
