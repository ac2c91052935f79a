use std::time::Duration;

use bytes::Bytes;
use dw_fakes::{check_answer, unix_ms};
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::{Instant, sleep, timeout};

use super::{
    client::{HttpClient, Reply},
    testbed::Entries,
};

/// Timeout of one attempt, longer than the deadline of any route.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a request with an unknown outcome is sent again with the same idempotency key.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of addresses that a caller tries until one accepts a connection.
const MAX_CONNECTS: usize = 3;

/// What a caller learned about a request that it sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target responded successfully and completely.
    Complete,
    /// The target responded with an error.
    Error,
    /// The request was not run.
    NotRun,
    /// The caller does not know whether the request ran.
    Unknown,
    /// The response belongs to another request, or is truncated without being marked so.
    Corrupt,
}

/// One request of a caller, with all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// The idempotency key of a request that must run at most once.
    pub key: Option<String>,
    /// Request id and outcome of each attempt.
    pub attempts: Vec<(String, Outcome)>,
    /// The reason stated by the last response.
    pub reason: Option<String>,
    /// Time from when the request was due until the last response.
    pub latency: Duration,
}

impl Record {
    /// The outcome of the last attempt.
    pub(crate) fn outcome(&self) -> Outcome {
        self.attempts.last().map_or(Outcome::NotRun, |(_, outcome)| *outcome)
    }
}

/// What the requests of a caller look like.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shape {
    /// One request in this many is not idempotent; 0 for none.
    pub once_every: usize,
    /// Headers of each request.
    pub headers: Vec<(&'static str, String)>,
    /// A path for all requests; without it, each request has a path of its own.
    pub path: Option<&'static str>,
}

/// Sends requests over connections that all clones share.
#[derive(Clone)]
pub(crate) struct Caller {
    pub client: HttpClient,
    pub entries: Entries,
    pub shape: Shape,
}

impl Caller {
    pub(crate) fn new(entries: Entries, shape: Shape) -> Self {
        Self { client: HttpClient::default(), entries, shape }
    }

    /// Sends request `number`. A request that must run at most once is sent a second time after an
    /// unknown outcome, as a real caller would do.
    pub(crate) async fn call(&self, number: usize, due: Instant) -> Record {
        let once = self.shape.once_every > 0 && number.is_multiple_of(self.shape.once_every);
        let key = once.then(|| format!("key-{number}"));
        let first_sent_ms = unix_ms(Instant::now());
        let mut record =
            Record { key, attempts: Vec::new(), reason: None, latency: Duration::ZERO };
        for attempt in 0..2 {
            let id = format!("r{number}-{attempt}");
            let reply =
                self.attempt(number + attempt, &id, record.key.as_deref(), first_sent_ms).await;
            record.reason = reason(&reply);
            let outcome = classify_reply(&record, &id, reply);
            record.attempts.push((id, outcome));
            if outcome != Outcome::Unknown || record.key.is_none() {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        record.latency = due.elapsed();
        record
    }

    async fn attempt(
        &self,
        entry: usize,
        id: &str,
        key: Option<&str>,
        first_sent_ms: u64,
    ) -> Reply {
        for offset in 0..MAX_CONNECTS {
            let (Some(addr), Some(request)) =
                (self.entries.at(entry + offset), self.request(id, key, first_sent_ms))
            else {
                break;
            };
            match timeout(CALLER_TIMEOUT, self.client.send(addr, request)).await {
                Ok(Reply::NotSent) => {}
                Ok(reply) => return reply,
                Err(_) => return Reply::Lost,
            }
        }
        Reply::NotSent
    }

    fn request(
        &self,
        id: &str,
        key: Option<&str>,
        first_sent_ms: u64,
    ) -> Option<Request<Full<Bytes>>> {
        let builder = match (key, self.shape.path) {
            (Some(_), _) => Request::post("/credit"),
            (None, Some(path)) => Request::get(path),
            (None, None) => Request::get(format!("/lookup/{id}")),
        };
        let mut builder = builder.header("host", "kiosk.test").header("x-request-id", id);
        if let Some(key) = key {
            builder = builder
                .header("idempotency-key", key)
                .header("damaskwick-first-sent", first_sent_ms.to_string());
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
        Reply::Complete(response) => {
            let value = response.headers().get("damaskwick-reason")?;
            value.to_str().ok().map(str::to_owned)
        }
        Reply::NotSent => Some("no-connection".to_owned()),
        Reply::Lost => Some("lost-at-caller".to_owned()),
    }
}

fn classify_reply(record: &Record, id: &str, reply: Reply) -> Outcome {
    match reply {
        Reply::Complete(response) => classify_response(record, id, &response),
        Reply::NotSent => Outcome::NotRun,
        Reply::Lost => Outcome::Unknown,
    }
}

fn classify_response(record: &Record, id: &str, response: &Response<Bytes>) -> Outcome {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    match header("damaskwick-outcome") {
        Some("not-run") => return Outcome::NotRun,
        Some("run") | None => {}
        Some(_) => return Outcome::Unknown,
    }
    if response.status().is_success() {
        // A repeated request gets the response to whichever attempt ran.
        let mut ids = record.attempts.iter().map(|(id, _)| id.as_str()).chain([id]);
        let good = ids.any(|id| check_answer(id, response.body()).is_ok());
        return if good { Outcome::Complete } else { Outcome::Corrupt };
    }
    // The baseline passes on refusals by targets, and adds error statuses of its own.
    match (header("damaskwick-outcome"), header("x-refusal")) {
        (Some(_), _) => Outcome::Error,
        (None, Some(_)) => Outcome::NotRun,
        (None, None) => Outcome::Unknown,
    }
}
