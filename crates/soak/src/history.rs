use std::{collections::HashMap, time::Duration};

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Since the start.
    pub at: Duration,
    /// The host that got it from the caller.
    pub host: usize,
    /// Whether it may run at most once.
    pub once: bool,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Since the start.
    pub at: Duration,
    /// HTTP status.
    pub status: u16,
    /// The target that signed the answer; `None` for one of a daemon.
    pub target: Option<String>,
    /// Whether the body is the whole one that belongs to the request.
    pub whole: bool,
    /// Whether the target said that it leaves.
    pub leaving: bool,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Visit {
    /// Since the start.
    pub at: Duration,
    /// The target's incarnation.
    pub target: String,
    /// The request.
    pub id: u64,
    /// Whether the target ran it.
    pub ran: bool,
}

/// A limit that a target named.
#[derive(Clone, Debug)]
pub struct Named {
    /// The target's incarnation.
    pub target: String,
    /// Requests a second.
    pub rate: f64,
    /// Since the start.
    pub from: Duration,
    /// Since the start.
    pub until: Duration,
}

/// A time in which a host was disturbed from outside.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The host.
    pub host: usize,
    /// Since the start.
    pub from: Duration,
    /// When it worked again, since the start.
    pub until: Duration,
}

/// Everything that callers and targets saw.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By request.
    pub sent: HashMap<u64, Sent>,
    /// By request; none for a connection that ended without an answer.
    pub answers: HashMap<u64, Answer>,
    /// In the order of arrival.
    pub visits: Vec<Visit>,
    /// In the order of their start.
    pub named: Vec<Named>,
    /// In the order of their start.
    pub troubles: Vec<Trouble>,
    /// Hosts whose daemon had to be killed because it did not end in time after SIGTERM.
    pub overdue: Vec<usize>,
}
