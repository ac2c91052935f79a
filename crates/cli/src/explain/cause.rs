use dw_log::{Field, Kind};

use super::{line::LogLine, timeline::Timeline};

/// Explains the outcome of the request in one sentence.
pub(super) fn cause_of(timeline: &Timeline) -> String {
    let entry = timeline.entry_host();
    let end = timeline.lines.iter().rfind(|line| {
        let ends = matches!(
            line.kind,
            Some(Kind::Refused | Kind::Answered | Kind::Truncated | Kind::Cancelled)
        );
        ends && line.host == entry
    });
    let Some(end) = end else {
        return unfinished(timeline);
    };
    match end.kind {
        Some(Kind::Refused) => refused(timeline, end),
        Some(Kind::Truncated) => format!(
            "the response with status {} ended early after {} ms{}",
            number(end, Field::Status),
            number(end, Field::TookMs),
            longest_step(timeline)
        ),
        Some(Kind::Cancelled) => {
            let after = end.time.duration_since(timeline.start).unwrap_or_default();
            format!("the caller went away after {} ms{}", after.as_millis(), longest_step(timeline))
        }
        _ => answered(timeline, end),
    }
}

/// Explains a request for which the daemon that received it from its caller logged no outcome.
fn unfinished(timeline: &Timeline) -> String {
    let unknown_reply = "no line says what its caller was told";
    let turned_away = timeline.last(Kind::TurnedAway);
    match turned_away.or_else(|| timeline.last(Kind::NotRun)).or_else(|| timeline.last(Kind::Ran)) {
        Some(line) if line.kind == Some(Kind::Ran) => format!(
            "{unknown_reply}; the target on {} answered {} after {} ms",
            line.host,
            number(line, Field::Status),
            number(line, Field::TookMs)
        ),
        Some(line) => format!("{unknown_reply}; {}", at_target(line)),
        None => unknown_reply.to_owned(),
    }
}

/// What the daemon of a target logged about a request that the target did not answer.
fn at_target(line: &LogLine) -> String {
    let host = &line.host;
    if line.kind == Some(Kind::TurnedAway) {
        let limit = line.text(Field::Limit);
        let limit = match limit.is_empty() {
            true => String::new(),
            false => format!("; the target takes {limit} requests a second"),
        };
        return format!(
            "{host} turned it away, {}: {} of {} slots taken and {} waiting, {} ms of waiting and \
             {} ms of service expected, {} ms left{limit}",
            line.text(Field::Reason),
            number(line, Field::InFlight),
            number(line, Field::Slots),
            number(line, Field::Queued),
            number(line, Field::WaitMs),
            number(line, Field::ServiceMs),
            number(line, Field::LeftMs)
        );
    }
    let (reason, took) = (line.text(Field::Reason), number(line, Field::TookMs));
    format!("{host} handed it to the target, {reason} after {took} ms{}", detail_suffix(line))
}

fn answered(timeline: &Timeline, end: &LogLine) -> String {
    let (status, took) = (number(end, Field::Status), number(end, Field::TookMs));
    let retries =
        timeline.lines.iter().filter(|line| line.kind == Some(Kind::AttemptFailed)).count();
    let after_retries = match retries {
        0 => String::new(),
        1 => ", after one failed attempt".to_owned(),
        many => format!(", after {many} failed attempts"),
    };
    if end.flag(Field::Late) {
        return format!(
            "answered late, status {status} after {took} ms{after_retries}{}",
            longest_step(timeline)
        );
    }
    if end.number(Field::Status).is_some_and(|status| status >= 500) {
        return format!(
            "the target answered {status} after {took} ms{after_retries}{}",
            longest_step(timeline)
        );
    }
    format!("answered in time, status {status} after {took} ms{after_retries}")
}

fn refused(timeline: &Timeline, end: &LogLine) -> String {
    let (reason, outcome) = (end.text(Field::Reason), end.text(Field::Outcome));
    let retry_ms = end.number(Field::RetryMs).unwrap_or_default();
    let answer = format!(
        "answered {} by {}, {reason}, outcome {outcome}, told to return after {retry_ms} ms",
        number(end, Field::Status),
        end.host
    );
    let Some(failed) = timeline.last(Kind::AttemptFailed) else {
        return format!("{answer}; no target was tried");
    };
    let target = failed.text(Field::Target);
    let refusal = timeline.lines.iter().rfind(|line| {
        matches!(line.kind, Some(Kind::TurnedAway | Kind::NotRun)) && line.host == target
    });
    let why = match refusal {
        Some(line) => at_target(line),
        None if failed.text(Field::Outcome) == "not-run" => format!(
            "{target} did not take it: {}{}{}",
            failed.text(Field::Reason),
            detail_suffix(failed),
            state_report(timeline, target)
        ),
        None => format!(
            "{target} gave no answer within {} ms{}{}",
            number(failed, Field::TookMs),
            detail_suffix(failed),
            state_report(timeline, target)
        ),
    };
    let tried = timeline.lines.iter().filter(|line| line.kind == Some(Kind::Placed)).count();
    let tried = if tried > 1 { format!("; {tried} targets were tried") } else { String::new() };
    format!("{answer}; {why}{tried}")
}

/// What the membership events say about a host that did not answer.
fn state_report(timeline: &Timeline, target: &str) -> String {
    let about = |line: &&LogLine| {
        line.kind == Some(Kind::MemberChanged)
            && line.text(Field::Target) == target
            && line.text(Field::State) != "alive"
            && line.time >= timeline.start
    };
    let Some(line) = timeline.context.iter().find(about) else { return String::new() };
    let after = line.time.duration_since(timeline.start).unwrap_or_default().as_millis();
    format!(
        "; {} held it for {} {after} ms after the request came",
        line.host,
        line.text(Field::State)
    )
}

/// Names the step that took longest, if it took at least half of the total time.
fn longest_step(timeline: &Timeline) -> String {
    let steps = timeline.lines.iter().filter_map(|line| {
        let (field, what) = match line.kind? {
            Kind::Admitted => (Field::WaitMs, "in the queue at"),
            Kind::Ran | Kind::NotRun => (Field::TookMs, "at the target on"),
            Kind::AttemptFailed => (Field::TookMs, "in a failed attempt at"),
            Kind::Retried => (Field::RetryMs, "before another attempt at"),
            _ => return None,
        };
        let host = match line.kind? {
            Kind::AttemptFailed => line.text(Field::Target),
            _ => line.host.as_str(),
        };
        Some((line.number(field)?, what, host.to_owned()))
    });
    let total = timeline
        .lines
        .last()
        .map_or(0, |line| line.time.duration_since(timeline.start).unwrap_or_default().as_millis());
    match steps.max_by_key(|(time, ..)| *time) {
        Some((time, what, host)) if u128::from(time) * 2 >= total && time > 0 => {
            format!("; {time} ms of it {what} {host}")
        }
        _ => String::new(),
    }
}

fn detail_suffix(line: &LogLine) -> String {
    match line.text(Field::Detail) {
        "" => String::new(),
        detail => format!(" ({detail})"),
    }
}

fn number(line: &LogLine, field: Field) -> String {
    line.number(field).map_or_else(|| "?".to_owned(), |number| number.to_string())
}
