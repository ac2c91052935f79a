use std::time::Duration;

use dw_log::{Event, Field, Kind, Trace};
use dw_request::{Attempt, Load, Outcome, Rate, Reason, Refusal};
use dw_tables::Name;
use tokio::time::Instant;

use super::body::BodyEnd;
use crate::counters::Counters;

/// A target was chosen for the request.
pub(super) fn placed(attempt: &Attempt, sent: Instant) -> Event {
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
        .with(Field::LeftMs, attempt.deadline.saturating_duration_since(sent))
}

/// An attempt ended without a response.
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

/// The request is sent again, to another target or to the same one.
pub(super) fn next_attempt(next: &Attempt, after: Duration) -> Event {
    let kind = if next.retried { Kind::Retried } else { Kind::Moved };
    Event::new(kind)
        .with(Field::Attempt, next.number)
        .with_some(Field::Reason, next.cause.map(Reason::as_str))
        .with(Field::RetryMs, after)
}

/// The daemon itself refuses the request.
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

/// The gate of the target admitted the request.
pub(super) fn admitted(target: &TargetLabel<'_>, waited: Duration, load: Load) -> Event {
    let event = Event::new(Kind::Admitted);
    with_load(target.add_to(event), load).with(Field::WaitMs, waited)
}

/// The gate of the target refused the request.
pub(super) fn turned_away(
    target: &TargetLabel<'_>,
    reason: Reason,
    load: Load,
    expected: Expected,
) -> Event {
    let event = target.add_to(Event::new(Kind::TurnedAway)).with(Field::Reason, reason.as_str());
    with_load(event, load)
        .with(Field::WaitMs, expected.wait)
        .with(Field::ServiceMs, expected.service)
        .with(Field::LeftMs, expected.left)
}

/// The target gave no usable response; the outcome says whether it may have run the request.
pub(super) fn not_run(
    target: &TargetLabel<'_>,
    reason: Reason,
    sent: Instant,
    detail: Option<String>,
) -> Event {
    target
        .add_to(Event::new(Kind::NotRun))
        .with(Field::Reason, reason.as_str())
        .with(Field::Outcome, reason.outcome().as_str())
        .with(Field::TookMs, sent.elapsed())
        .with_some(Field::Detail, detail)
}

/// The target responded; `ended` is how the body ended.
pub(super) fn ran(target: &TargetLabel<'_>, status: u16, sent: Instant, ended: BodyEnd) -> Event {
    let kind = match ended {
        BodyEnd::Complete => Kind::Ran,
        BodyEnd::Failed => Kind::Truncated,
        BodyEnd::Dropped => Kind::Cancelled,
    };
    target.add_to(Event::new(kind)).with(Field::Status, status).with(Field::TookMs, sent.elapsed())
}

fn with_load(event: Event, load: Load) -> Event {
    event
        .with(Field::InFlight, load.in_flight)
        .with(Field::Slots, load.slots)
        .with(Field::Queued, load.queued)
        .with_some(Field::Limit, load.limit.map(|rate| rate.to_string()))
}

/// A response changed what is known about its target.
pub(super) fn target_changed(target: &TargetLabel<'_>, change: NoticeChange) -> Event {
    let event = target.add_to(Event::new(Kind::TargetSaid));
    match change {
        NoticeChange::Limited(rate) => {
            event.with(Field::State, "limited").with(Field::Limit, rate.to_string())
        }
        NoticeChange::Unlimited => event.with(Field::State, "unlimited"),
        NoticeChange::Leaving => event.with(Field::State, "leaving"),
        NoticeChange::Unreadable => event.with(Field::State, "unreadable"),
    }
}

/// What a response changed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoticeChange {
    /// It accepts this rate of requests.
    Limited(Rate),
    /// It no longer advertises a limit.
    Unlimited,
    /// It is leaving.
    Leaving,
    /// It advertises a limit that can't be parsed.
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
    fn add_to(&self, event: Event) -> Event {
        event.with(Field::Service, self.service).with(Field::Index, self.index)
    }
}

/// The times that the gate expects for a request, for the log.
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
pub(super) struct Completion {
    pub(super) trace: Trace,
    pub(super) counters: Counters,
    /// The route, if an attempt was made.
    pub(super) route: Option<Name>,
    pub(super) status: u16,
    pub(super) started: Instant,
    /// After this moment the response counts as late.
    pub(super) late_at: Option<Instant>,
}

impl Completion {
    /// Logs and counts the request once the body has ended.
    pub(super) fn record(&self, ended: BodyEnd) {
        let late = self.late_at.is_some_and(|at| Instant::now() > at);
        if late || self.status >= 500 {
            self.trace.mark_failed();
        }
        if let Some(route) = &self.route {
            self.counters.observe_route(route, self.started.elapsed());
        }
        let kind = match ended {
            BodyEnd::Complete => Kind::Answered,
            BodyEnd::Failed => Kind::Truncated,
            BodyEnd::Dropped => Kind::Cancelled,
        };
        self.trace.end(|| {
            Event::new(kind)
                .with(Field::Status, self.status)
                .with(Field::TookMs, self.started.elapsed())
                .with(Field::Late, late)
        });
    }
}
