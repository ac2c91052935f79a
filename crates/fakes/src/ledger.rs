use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use serde::Serialize;
use tokio::time::Instant;

use crate::unix_ms;

/// Number of runs kept by default; each takes about 200 bytes.
const DEFAULT_MAX_RUNS: usize = 1_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// The run is still in progress.
    Running,
    /// The work was completed.
    Finished,
    /// The client closed the connection before the work was completed.
    Cancelled,
    /// The target crashed before the work was completed.
    Crashed,
}

/// One execution of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The value of the header `x-request-id`, empty if it was missing.
    pub request: Arc<str>,
    /// The value of the header `idempotency-key`.
    pub key: Option<Arc<str>>,
    /// The target's service.
    pub service: Arc<str>,
    /// The target's address.
    pub target: SocketAddr,
    /// Length of the request body in bytes.
    pub body: usize,
    /// When the work started.
    pub started: Instant,
    /// When the work ended; `None` while the run is in progress.
    pub ended: Option<Instant>,
    /// How the run ended.
    pub end: RunEnd,
}

impl Run {
    /// Formats the run for the control endpoint; times are in milliseconds since the Unix epoch.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "request": self.request, "key": self.key, "service": self.service,
            "target": self.target, "body": self.body, "end": self.end,
            "started": unix_ms(self.started), "ended": self.ended.map(unix_ms),
        })
    }
}

/// A record of the runs at one or more targets. Clones share the same record.
#[derive(Clone, Debug)]
pub struct Ledger(Arc<Mutex<Records>>);

#[derive(Debug)]
struct Records {
    runs: VecDeque<Run>,
    /// Number of old runs removed from the front.
    removed: usize,
    limit: usize,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_RUNS)
    }
}

impl Ledger {
    /// Creates a ledger that keeps the newest `limit` runs.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(Records { runs: VecDeque::new(), removed: 0, limit })))
    }

    /// The runs that are kept, in the order in which they started.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.records().runs.iter().cloned().collect()
    }

    /// The runs of one request.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        self.records().runs.iter().filter(|run| *run.request == *request).cloned().collect()
    }

    /// The runs with one idempotency key.
    #[must_use]
    pub fn runs_with_key(&self, key: &str) -> Vec<Run> {
        self.records().runs.iter().filter(|run| run.key.as_deref() == Some(key)).cloned().collect()
    }

    /// The idempotency keys with more than one run, and the number of their runs.
    #[must_use]
    pub fn repeated_keys(&self) -> Vec<(Arc<str>, usize)> {
        let records = self.records();
        let mut counts: HashMap<&Arc<str>, usize> = HashMap::new();
        for key in records.runs.iter().filter_map(|run| run.key.as_ref()) {
            *counts.entry(key).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(key, count)| (key.clone(), count)).collect()
    }

    /// Number of runs started, including those no longer kept.
    #[must_use]
    pub fn started(&self) -> usize {
        let records = self.records();
        records.removed + records.runs.len()
    }

    /// Records a start and returns the run's number.
    pub(crate) fn start(&self, run: Run) -> usize {
        let mut records = self.records();
        records.runs.push_back(run);
        if records.runs.len() > records.limit {
            records.runs.pop_front();
            records.removed += 1;
        }
        records.removed + records.runs.len() - 1
    }

    pub(crate) fn end(&self, number: usize, end: RunEnd, now: Instant) {
        let mut records = self.records();
        let index = number.checked_sub(records.removed);
        if let Some(run) = index.and_then(|index| records.runs.get_mut(index)) {
            run.end = end;
            run.ended = Some(now);
        }
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
