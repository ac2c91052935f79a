use std::{collections::BTreeSet, time::Duration};

use dw_log::{Field, Kind};

use super::{line::LogLine, timeline::Timeline};

/// How long after a request a `requests-sampled` or `lines-dropped` line may still cover it. Such
/// lines are written once a second.
const SUMMARY_DELAY: Duration = Duration::from_secs(2);

/// The hosts that received the request but logged nothing about it, each with the likely reason.
pub(super) fn gaps(timeline: &Timeline) -> Vec<String> {
    let reached = |line: &&LogLine| matches!(line.kind, Some(Kind::Placed | Kind::KeeperAsked));
    let reached: BTreeSet<&str> =
        timeline.lines.iter().filter(reached).map(|line| line.text(Field::Target)).collect();
    let heard: BTreeSet<&str> = timeline
        .lines
        .iter()
        .filter(|line| !matches!(line.kind, Some(Kind::Placed | Kind::KeeperAsked)))
        .map(|line| line.host.as_str())
        .collect();
    let silent = reached.difference(&heard).filter(|host| !host.is_empty());
    let silent =
        silent.map(|host| format!("{host} says nothing of it: {}", missing_reason(timeline, host)));
    let entered = |line: &LogLine| {
        matches!(line.kind, Some(Kind::Placed | Kind::Refused | Kind::KeeperAsked))
    };
    let entry = (!timeline.lines.iter().any(entered)).then(|| {
        let incomplete: BTreeSet<&str> = timeline
            .process_events
            .iter()
            .filter(|line| matches!(line.kind, Some(Kind::RequestsSampled | Kind::LinesDropped)))
            .map(|line| line.host.as_str())
            .collect();
        let why = match incomplete.is_empty() {
            true => "its log was not given, or it was killed".to_owned(),
            false => {
                format!("hosts that left requests out: {}", Vec::from_iter(incomplete).join(", "))
            }
        };
        format!("the daemon that took it from its caller says nothing of it: {why}")
    });
    entry.into_iter().chain(silent).collect()
}

/// Why no line in the given logs names the request.
pub(super) fn reason_absent(timeline: &Timeline) -> String {
    let sampled =
        timeline.process_events.iter().any(|line| line.kind == Some(Kind::RequestsSampled));
    let lost = timeline.process_events.iter().any(|line| line.kind == Some(Kind::LinesDropped));
    match (sampled, lost) {
        (_, true) => "lines were lost there, see lines-dropped".to_owned(),
        (true, false) => "requests were left out there, see requests-sampled".to_owned(),
        (false, false) => {
            "nothing was left out there, so look in the logs of other hosts".to_owned()
        }
    }
}

/// Why a host that received the request logged nothing about it.
fn missing_reason(timeline: &Timeline, host: &str) -> String {
    if !timeline.hosts.contains(host) {
        return "its log was not given".to_owned();
    }
    let end = timeline.lines.last().map_or(timeline.start, |line| line.time);
    let after = |line: &&LogLine| line.host == host && line.time >= timeline.start;
    let soon = |line: &&LogLine| after(line) && line.time <= end + SUMMARY_DELAY;
    let is = |kind: Kind| move |line: &LogLine| line.kind == Some(kind);
    let process_events = || timeline.process_events.iter();
    if process_events().filter(soon).any(is(Kind::LinesDropped)) {
        return "its output lost lines then".to_owned();
    }
    if process_events().filter(soon).any(is(Kind::RequestsSampled)) {
        return "it left requests out of its log then".to_owned();
    }
    let stopped = process_events()
        .filter(after)
        .find(|line| matches!(line.kind, Some(Kind::Started | Kind::Stopped)));
    match stopped {
        Some(line) if line.kind == Some(Kind::Started) => {
            "it was killed: it started again later without having stopped".to_owned()
        }
        _ => "the request did not arrive, or the host was killed or has not ended it".to_owned(),
    }
}
