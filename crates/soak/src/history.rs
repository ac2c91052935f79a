use std::{collections::HashMap, time::Duration};

/// A request sent by a caller.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When it was sent, since the start of the recording.
    pub at: Duration,
    /// The host to which the caller sent it.
    pub host: usize,
    /// Whether it must run at most once.
    pub once: bool,
}

/// An answer received by a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When it was received, since the start of the recording.
    pub at: Duration,
    /// HTTP status.
    pub status: u16,
    /// The target named in the answer's header; `None` if a daemon answered itself.
    pub target: Option<String>,
    /// Whether the body is complete and belongs to the request.
    pub whole: bool,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
}

/// The arrival of a request at a target.
#[derive(Clone, Debug)]
pub struct Visit {
    /// When it arrived, since the start of the recording.
    pub at: Duration,
    /// Name of the target's incarnation.
    pub target: String,
    /// Number of the request.
    pub id: u64,
    /// Whether the target ran it.
    pub ran: bool,
}

/// A limit that a target announced.
#[derive(Clone, Debug)]
pub struct Named {
    /// Name of the target's incarnation.
    pub target: String,
    /// The limit in requests per second.
    pub rate: f64,
    /// When the target began to announce it, since the start of the recording.
    pub from: Duration,
    /// When the target stopped announcing it, since the start of the recording.
    pub until: Duration,
}

/// An interval in which a fault affected a host's daemon.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The host.
    pub host: usize,
    /// When the fault began, since the start of the recording.
    pub from: Duration,
    /// When the daemon was ready again, since the start of the recording.
    pub until: Duration,
}

/// Everything that callers and targets observed, and the faults of hosts that explain it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests by their number.
    pub sent: HashMap<u64, Sent>,
    /// Answers by the number of their request; a connection that ended without an answer has none.
    pub answers: HashMap<u64, Answer>,
    /// Requests that reached a target, in the order of arrival.
    pub visits: Vec<Visit>,
    /// Limits that targets announced, in the order in which they ended.
    pub named: Vec<Named>,
    /// Faults of daemons, in the order in which they ended.
    pub troubles: Vec<Trouble>,
    /// Targets whose end their daemon acknowledged, with the time of that.
    pub departed: Vec<(String, Duration)>,
    /// The targets that report at the end of the run.
    pub reporting: Vec<String>,
    /// Hosts whose daemon had to be killed because it did not end in time after SIGTERM.
    pub overdue: Vec<usize>,
}
