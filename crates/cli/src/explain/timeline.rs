use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dw_log::{Field, Kind};

use super::line::LogLine;

/// What the logs say about one request.
#[derive(Debug)]
pub(super) struct Timeline {
    /// The lines that name the request, ordered by time.
    pub(super) lines: Vec<LogLine>,
    /// Lines about the hosts of the request from around the time of the request, ordered by time.
    pub(super) context: Vec<LogLine>,
    /// The time of the first line.
    pub(super) start: SystemTime,
    /// All lines about a process or its log: starts, stops, and lines that were sampled out or lost.
    pub(super) process_events: Vec<LogLine>,
    /// The hosts whose logs were read.
    pub(super) hosts: BTreeSet<String>,
}

impl Timeline {
    /// Builds the timeline of a request. Other lines are included if they were written at most
    /// `around` before or after it.
    pub(super) fn new(request: &str, lines: Vec<LogLine>, around: Duration) -> Self {
        let hosts = lines.iter().map(|line| line.host.clone()).collect();
        let (mut named, mut others): (Vec<_>, Vec<_>) =
            lines.into_iter().partition(|line| line.text(Field::Request) == request);
        named.sort_by_key(|line| line.time);
        others.sort_by_key(|line| line.time);
        let start = named.first().map_or(UNIX_EPOCH, |line| line.time);
        let end = named.last().map_or(UNIX_EPOCH, |line| line.time);
        let involved: BTreeSet<&str> =
            named.iter().flat_map(|line| [line.host.as_str(), line.text(Field::Target)]).collect();
        let (process_events, other_events): (Vec<_>, Vec<_>) = others
            .into_iter()
            .filter(|line| line.text(Field::Request).is_empty())
            .partition(|line| line.kind.is_some_and(is_process_event));
        let near = |line: &&LogLine| {
            line.time + around >= start && line.time <= end + around && concerns(line, &involved)
        };
        let context = other_events.iter().filter(near).cloned().collect();
        Self { context, start, process_events, hosts, lines: named }
    }

    /// The last line with the event `kind`.
    pub(super) fn last(&self, kind: Kind) -> Option<&LogLine> {
        self.lines.iter().rfind(|line| line.kind == Some(kind))
    }

    /// The host that took the request from its caller.
    pub(super) fn entry_host(&self) -> &str {
        let entered = |line: &&LogLine| {
            matches!(line.kind, Some(Kind::Placed | Kind::Refused | Kind::KeeperAsked))
        };
        self.lines.iter().find(entered).or(self.lines.first()).map_or("", |line| &line.host)
    }
}

/// Whether the event is about the process or its log rather than about requests or members.
const fn is_process_event(kind: Kind) -> bool {
    matches!(kind, Kind::Started | Kind::Stopped | Kind::LinesDropped | Kind::RequestsSampled)
}

/// Whether the line is about one of the hosts, or names no target and was written by one of them.
fn concerns(line: &LogLine, involved: &BTreeSet<&str>) -> bool {
    match line.text(Field::Target) {
        "" => involved.contains(line.host.as_str()),
        target => involved.contains(target),
    }
}
