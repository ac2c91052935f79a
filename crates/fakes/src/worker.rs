use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use crate::{
    Ledger, Run, RunEnd, ServiceTime, answer_body,
    server::{Answer, Body, ConnectionAborted, Gate, full_body},
    standin::ANY_PORT,
    unix_ms,
};

/// Request counts of a target since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetCounts {
    /// Runs that finished.
    pub finished: u64,
    /// Runs cancelled because the client closed the connection.
    pub cancelled: u64,
    /// Runs ended by a crash.
    pub crashed: u64,
    /// Requests refused because all slots were in use.
    pub shed: u64,
    /// Requests refused while draining.
    pub drained: u64,
    /// Requests that arrived after their deadline.
    pub late: u64,
    /// Runs in progress.
    pub in_flight: usize,
    /// Most runs in progress at a time.
    pub peak: usize,
}

/// What a health or load endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Report<T> {
    /// The actual state.
    #[default]
    Actual,
    /// This value, regardless of the actual state.
    Fixed(T),
}

/// The part of a target's settings that its work depends on.
#[derive(Clone, Debug)]
pub(crate) struct WorkSettings {
    pub(crate) service: Arc<str>,
    pub(crate) slots: usize,
    pub(crate) service_time: ServiceTime,
    pub(crate) answer_size: usize,
    pub(crate) retry_after: u64,
    pub(crate) cold_start: Option<(Duration, f64)>,
}

/// The state that all connections of a target share.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) settings: WorkSettings,
    pub(crate) ledger: Ledger,
    pub(crate) crash: Notify,
    state: Mutex<WorkerState>,
}

#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) counts: TargetCounts,
    pub(crate) draining: bool,
    pub(crate) crashed: bool,
    pub(crate) started: Instant,
    pub(crate) health: Report<bool>,
    pub(crate) load: Report<f64>,
    /// The limit in requests per second that its answers announce, as text.
    pub(crate) limit: Option<String>,
    /// Whether its answers announce that it is leaving.
    pub(crate) leaving: bool,
    addr: Option<SocketAddr>,
}

impl Worker {
    pub(crate) fn new(settings: WorkSettings, ledger: Ledger) -> Self {
        let state = WorkerState {
            counts: TargetCounts::default(),
            draining: false,
            crashed: false,
            started: Instant::now(),
            health: Report::Actual,
            load: Report::Actual,
            limit: None,
            leaving: false,
            addr: None,
        };
        Self { settings, ledger, crash: Notify::new(), state: Mutex::new(state) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        self.lock().addr = Some(addr);
    }

    /// Resets the state to that of a new process in place of a crashed one: cold, and with nothing
    /// in progress.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.crashed = false;
        state.draining = false;
        state.limit = None;
        state.leaving = false;
        state.started = Instant::now();
    }

    pub(crate) fn request_crash(&self) {
        self.lock().crashed = true;
        self.crash.notify_one();
    }

    fn work_time(&self) -> Duration {
        let time = self.settings.service_time.draw(&mut rand::rng());
        match self.settings.cold_start {
            Some((cold, factor)) if self.lock().started.elapsed() < cold => time.mul_f64(factor),
            _ => time,
        }
    }

    fn health(&self) -> Response<Body> {
        let state = self.lock();
        let healthy = match state.health {
            Report::Actual => !state.draining,
            Report::Fixed(healthy) => healthy,
        };
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        respond(status, full_body(if healthy { "ok\n" } else { "failing\n" }))
    }

    /// The share of the slots in use.
    fn load(&self) -> Response<Body> {
        let state = self.lock();
        let load = match state.load {
            Report::Actual => ratio(state.counts.in_flight, self.settings.slots),
            Report::Fixed(load) => load,
        };
        respond(StatusCode::OK, full_body(json!({"load": load}).to_string()))
    }

    /// The headers by which answers report the target's own limit and departure.
    fn status_headers(&self) -> HeaderMap {
        let state = self.lock();
        let mut map = HeaderMap::new();
        if let Some(limit) = state.limit.as_deref().and_then(|text| text.parse().ok()) {
            map.insert("damaskwick-target-limit", limit);
        }
        if state.leaving {
            map.insert("damaskwick-target-leaving", HeaderValue::from_static("1"));
        }
        map
    }

    /// Takes a slot and records the start, or returns why the request is refused.
    fn admit(self: &Arc<Self>, headers: &HeaderMap, body: usize) -> Result<Slot, Refusal> {
        let mut state = self.lock();
        let now = Instant::now();
        let deadline: Option<u64> = number(headers, "damaskwick-deadline");
        if deadline.is_some_and(|deadline| unix_ms(now) >= deadline) {
            state.counts.late += 1;
            return Err(Refusal::Late);
        }
        if state.draining {
            state.counts.drained += 1;
            return Err(Refusal::Draining);
        }
        if state.counts.in_flight >= self.settings.slots {
            state.counts.shed += 1;
            return Err(Refusal::Shed);
        }
        state.counts.in_flight += 1;
        state.counts.peak = state.counts.peak.max(state.counts.in_flight);
        let run = self.ledger.start(Run {
            request: text(headers, "x-request-id").unwrap_or_default().into(),
            key: text(headers, "idempotency-key").map(Arc::from),
            service: self.settings.service.clone(),
            target: state.addr.unwrap_or(ANY_PORT),
            body,
            started: now,
            ended: None,
            end: RunEnd::Running,
        });
        Ok(Slot { worker: self.clone(), run, done: false })
    }
}

/// Why a target does not start a request.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Late,
    Draining,
    Shed,
}

impl Refusal {
    /// Builds the answer. The header `x-refusal` gives the reason to tests.
    fn answer(self, retry_after: u64) -> Response<Body> {
        let (status, reason) = match self {
            Self::Late => (StatusCode::GATEWAY_TIMEOUT, "late"),
            Self::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            Self::Shed => (StatusCode::SERVICE_UNAVAILABLE, "shed"),
        };
        let mut answer = respond(status, full_body(reason));
        let headers = answer.headers_mut();
        headers.insert("x-refusal", HeaderValue::from_static(reason));
        match self {
            Self::Late => {}
            Self::Shed => {
                headers.insert(RETRY_AFTER, HeaderValue::from(retry_after));
            }
            Self::Draining => {
                headers.insert(RETRY_AFTER, HeaderValue::from(retry_after));
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
        answer
    }
}

/// A slot in use, which is released when the request ends for any reason.
struct Slot {
    worker: Arc<Worker>,
    run: usize,
    done: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.worker.lock();
        state.counts.in_flight -= 1;
        let (end, count) = if self.done {
            (RunEnd::Finished, &mut state.counts.finished)
        } else if state.crashed {
            (RunEnd::Crashed, &mut state.counts.crashed)
        } else {
            (RunEnd::Cancelled, &mut state.counts.cancelled)
        };
        *count += 1;
        self.worker.ledger.end(self.run, end, Instant::now());
    }
}

/// Answers one request.
///
/// Request headers control the outcome: `x-crash` (the target crashes after that many
/// milliseconds of work), `x-work-ms` (service time), `x-answer-bytes` (length of the answer),
/// `x-cut-after` (the connection is closed after that many bytes of the answer).
pub(crate) async fn handle(
    worker: Arc<Worker>,
    request: Request<Incoming>,
    mut gate: Gate,
) -> Answer {
    match request.uri().path() {
        "/healthz" => return Ok(worker.health()),
        "/load" => return Ok(worker.load()),
        _ => {}
    }
    let (head, body) = request.into_parts();
    // An incomplete request is not run.
    let body = body.collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    gate.pass().await;
    let headers = &head.headers;
    let mut slot = match worker.admit(headers, body.len()) {
        Ok(slot) => slot,
        Err(refusal) => {
            let mut answer = refusal.answer(worker.settings.retry_after);
            answer.headers_mut().extend(worker.status_headers());
            return Ok(answer);
        }
    };
    if let Some(delay) = text(headers, "x-crash") {
        let delay = delay.parse().unwrap_or_default();
        work(Duration::from_millis(delay)).await;
        worker.request_crash();
        // The crash drops this connection, and this future with it.
        std::future::pending::<()>().await;
    }
    let time = number(headers, "x-work-ms").map(Duration::from_millis);
    work(time.unwrap_or_else(|| worker.work_time())).await;
    slot.done = true;
    drop(slot);
    let size = number(headers, "x-answer-bytes").unwrap_or(worker.settings.answer_size);
    let answer = answer_body(&text(headers, "x-request-id").unwrap_or_default(), size);
    let length = HeaderValue::from(answer.len());
    let body = match number(headers, "x-cut-after") {
        Some(at) => cut_body(&answer, at),
        None => full_body(answer),
    };
    let mut response = respond(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response.headers_mut().extend(worker.status_headers());
    Ok(response)
}

/// Sleeps for the duration of the work. Work of zero length sets no timer, because timers have a
/// granularity of 1 ms.
async fn work(time: Duration) {
    if time > Duration::ZERO {
        tokio::time::sleep(time).await;
    }
}

fn cut_body(answer: &Bytes, at: usize) -> Body {
    let sent = answer.slice(..at.min(answer.len()));
    StreamBody::new(stream::iter([Ok(Frame::data(sent)), Err(ConnectionAborted)])).boxed_unsync()
}

fn respond(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

fn ratio(part: usize, whole: usize) -> f64 {
    let float = |count| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    float(part) / float(whole.max(1))
}
