use std::time::Duration;

use bytes::Bytes;
use dw_fakes::{check_answer, unix_ms};
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::{Instant, sleep, timeout};

use super::{
    client::{Reply, Wire},
    testbed::Entries,
};

/// The longest wait of a caller; longer than each deadline of the routes.
const PATIENCE: Duration = Duration::from_secs(3);
/// Wait before a request with an unknown outcome is sent again under the same key.
const REPEAT_AFTER: Duration = Duration::from_millis(50);
/// Addresses that a caller tries until one accepts a connection.
const CONNECTS: usize = 3;

/// What a caller was told about a request that it sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Said {
    /// The target's complete response.
    Whole,
    /// A response of a target that reports an error.
    Error,
    /// The request was not run.
    NotRun,
    /// Anything else.
    Unknown,
    /// A response to another request, or a part of one that claims to be complete.
    Bad,
}

/// One request of a caller, which may have sent it twice.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// The key of a request that must run at most once.
    pub key: Option<String>,
    /// The id of each time it was sent, and the response.
    pub sent: Vec<(String, Said)>,
    /// The reason that the last response states.
    pub reason: Option<String>,
    /// Time from the moment it was due to the last response.
    pub latency: Duration,
}

impl Record {
    /// The last response.
    pub(crate) fn said(&self) -> Said {
        self.sent.last().map_or(Said::NotRun, |(_, said)| *said)
    }
}

/// What callers send.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shape {
    /// Every so many requests one is not idempotent; 0 for none.
    pub once_every: usize,
    /// Headers of each request.
    pub headers: Vec<(&'static str, String)>,
    /// The path of each request, in place of one that differs between them.
    pub path: Option<&'static str>,
}

/// Callers that share their connections.
#[derive(Clone)]
pub(crate) struct Caller {
    pub wire: Wire,
    pub entries: Entries,
    pub shape: Shape,
}

impl Caller {
    pub(crate) fn new(entries: Entries, shape: Shape) -> Self {
        Self { wire: Wire::default(), entries, shape }
    }

    /// Sends request `number`; one that must run at most once is sent again after an unknown
    /// outcome, as its caller would.
    pub(crate) async fn call(&self, number: usize, due: Instant) -> Record {
        let once = self.shape.once_every > 0 && number.is_multiple_of(self.shape.once_every);
        let key = once.then(|| format!("key-{number}"));
        let first = unix_ms(Instant::now());
        let mut record = Record { key, sent: Vec::new(), reason: None, latency: Duration::ZERO };
        for attempt in 0..2 {
            let id = format!("r{number}-{attempt}");
            let reply = self.attempt(number + attempt, &id, record.key.as_deref(), first).await;
            record.reason = reason(&reply);
            let said = said(&record, &id, reply);
            record.sent.push((id, said));
            if said != Said::Unknown || record.key.is_none() {
                break;
            }
            sleep(REPEAT_AFTER).await;
        }
        record.latency = due.elapsed();
        record
    }

    async fn attempt(&self, entry: usize, id: &str, key: Option<&str>, first: u64) -> Reply {
        for turn in 0..CONNECTS {
            let (Some(addr), Some(request)) =
                (self.entries.at(entry + turn), self.request(id, key, first))
            else {
                break;
            };
            match timeout(PATIENCE, self.wire.send(addr, request)).await {
                Ok(Reply::NotSent) => {}
                Ok(reply) => return reply,
                Err(_) => return Reply::Lost,
            }
        }
        Reply::NotSent
    }

    fn request(&self, id: &str, key: Option<&str>, first: u64) -> Option<Request<Full<Bytes>>> {
        let builder = match (key, self.shape.path) {
            (Some(_), _) => Request::post("/credit"),
            (None, Some(path)) => Request::get(path),
            (None, None) => Request::get(format!("/lookup/{id}")),
        };
        let mut builder = builder.header("host", "kiosk.test").header("x-request-id", id);
        if let Some(key) = key {
            builder = builder
                .header("idempotency-key", key)
                .header("damaskwick-first-sent", first.to_string());
        }
        for (name, value) in &self.shape.headers {
            builder = builder.header(*name, value);
        }
        let body = if key.is_some() { Full::from("credit") } else { Full::default() };
        builder.body(body).ok()
    }
}

fn reason(reply: &Reply) -> Option<String> {
    match reply {
        Reply::Whole(response) => {
            let value = response.headers().get("damaskwick-reason")?;
            value.to_str().ok().map(str::to_owned)
        }
        Reply::NotSent => Some("no-connection".to_owned()),
        Reply::Lost => Some("lost-at-caller".to_owned()),
    }
}

fn said(record: &Record, id: &str, reply: Reply) -> Said {
    match reply {
        Reply::Whole(response) => said_by(record, id, &response),
        Reply::NotSent => Said::NotRun,
        Reply::Lost => Said::Unknown,
    }
}

fn said_by(record: &Record, id: &str, response: &Response<Bytes>) -> Said {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    match header("damaskwick-outcome") {
        Some("not-run") => return Said::NotRun,
        Some("run") | None => {}
        Some(_) => return Said::Unknown,
    }
    if response.status().is_success() {
        // The response to a repeat is that to the request which ran.
        let mut ids = record.sent.iter().map(|(id, _)| id.as_str()).chain([id]);
        let good = ids.any(|id| check_answer(id, response.body()).is_ok());
        return if good { Said::Whole } else { Said::Bad };
    }
    // The baseline passes on the refusals of targets, and adds statuses of its own.
    match (header("damaskwick-outcome"), header("x-refusal")) {
        (Some(_), _) => Said::Error,
        (None, Some(_)) => Said::NotRun,
        (None, None) => Said::Unknown,
    }
}
