use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    Budget, CallReason, Commit, Entry, HttpWatch, LeaseId, Platform, PlatformError, Txn,
    failure::{call_error, stream_error},
    messages::{LeaseResponse, RangeRequest, RangeResponse, Streamed, TxnResponse},
    read_body,
    requests::{encode, grant_request, lease_request, protocol_error, txn_request, watch_request},
};

/// Size of the largest value that the platform accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Size of the largest response body that is read; a range may return many values.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Idle connections kept to each address; a relay makes only a few concurrent calls.
const MAX_IDLE_PER_ADDRESS: usize = 2;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limits of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a new connection, 500 ms by default.
    pub connect: Duration,
    /// For a call from its start to the head of the response, and for each pause within the response
    /// body, 2 s by default. A call that also has to connect may reach this limit before `connect` if
    /// this one is the shorter.
    pub call: Duration,
    /// For a watch on which nothing arrives, 10 s by default. It should be a multiple of the
    /// platform's progress notification interval; otherwise idle watches are reopened.
    pub watch_idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            watch_idle: Duration::from_secs(10),
        }
    }
}

/// A client of etcd's v3 JSON gateway. Clones share connections and budget.
///
/// A call for which no connection could be established is retried at the next address, and so is a
/// read or lease renewal that was sent without a response. Any other write without a response is
/// not retried and fails with `Unanswered`.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addrs: Arc<[SocketAddr]>,
    preferred: Arc<AtomicUsize>,
    http: Client<HttpConnector, Full<Bytes>>,
    timeouts: Timeouts,
    budget: Budget,
}

/// Whether a call that was sent without a response may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    Safe,
    Never,
}

impl HttpPlatform {
    /// A client of one platform that serves at each of these addresses.
    #[must_use]
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        let timeouts = Timeouts::default();
        Self {
            addrs: addrs.into(),
            preferred: Arc::default(),
            http: http_client(timeouts),
            timeouts,
            budget: Budget::default(),
        }
    }

    /// Sets the time limits.
    #[must_use]
    pub fn with_timeouts(self, timeouts: Timeouts) -> Self {
        Self { http: http_client(timeouts), timeouts, ..self }
    }

    /// Sets the call budget.
    #[must_use]
    pub fn with_budget(self, budget: Budget) -> Self {
        Self { budget, ..self }
    }

    /// The call budget, with the counts of refusals, failures and retries.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Makes later calls start at the address after this one.
    pub(crate) fn avoid(&self, index: usize) {
        self.preferred.store(index + 1, Relaxed);
    }

    /// Runs `attempt` at one address after another until the platform responds.
    async fn try_addresses<T, F>(
        &self,
        repeat: Repeat,
        attempt: impl Fn(usize, SocketAddr) -> F + Send,
    ) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>> + Send,
    {
        let first = self.preferred.load(Relaxed);
        let mut failure = PlatformError::Unreachable { addr: "(no address)".to_owned() };
        for tried in 0..self.addrs.len() {
            let index = (first + tried) % self.addrs.len();
            if !self.budget.take(Instant::now()) {
                return Err(if tried == 0 { PlatformError::BudgetExhausted } else { failure });
            }
            if tried > 0 {
                self.budget.record(retry_reason(&failure));
            }
            match attempt(index, self.addrs[index]).await {
                Err(PlatformError::Unanswered) => {
                    self.avoid(index);
                    failure = PlatformError::Unanswered;
                    if repeat == Repeat::Never {
                        break;
                    }
                }
                Err(unreachable @ PlatformError::Unreachable { .. }) => {
                    // `Unanswered` is kept, since an earlier attempt may have taken effect.
                    if failure != PlatformError::Unanswered {
                        failure = unreachable;
                    }
                }
                result => {
                    self.preferred.store(index, Relaxed);
                    return result;
                }
            }
        }
        Err(failure)
    }

    async fn call<R: DeserializeOwned>(
        &self,
        repeat: Repeat,
        path: &str,
        request: &impl Serialize,
        size: usize,
    ) -> Result<R, PlatformError> {
        let body = encode(request)?;
        let response = self
            .try_addresses(repeat, |_, addr| self.send_and_read(addr, path, body.clone(), size))
            .await;
        let response = response.inspect_err(|error| self.record_failure(error))?;
        serde_json::from_slice(&response).map_err(|error| protocol_error(&error))
    }

    fn record_failure(&self, error: &PlatformError) {
        let reason = match error {
            PlatformError::Unreachable { .. } => CallReason::Unreachable,
            PlatformError::Unanswered => CallReason::Unanswered,
            PlatformError::Overloaded => CallReason::Overloaded,
            PlatformError::TooLarge { .. } => CallReason::TooLarge,
            // The budget counts its own refusals; the other errors are responses of the platform.
            PlatformError::BudgetExhausted
            | PlatformError::LeaseGone
            | PlatformError::Compacted
            | PlatformError::Protocol(_) => return,
        };
        self.budget.record(reason);
    }

    /// Sends a call to one address and reads the whole response.
    async fn send_and_read(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        size: usize,
    ) -> Result<Bytes, PlatformError> {
        let limit = self.timeouts.call;
        let response = tokio::time::timeout(limit, self.send(addr, path, body))
            .await
            .unwrap_or(Err(PlatformError::Unanswered))?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, limit).await?;
        if status == StatusCode::OK { Ok(body) } else { Err(call_error(status, &body, size)) }
    }

    /// Sends a call to one address and reads the head of the response.
    async fn send(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, PlatformError> {
        let mut request = Request::post(format!("http://{addr}{path}"))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        // Any error except a failed connection may occur after the request was sent.
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::Unreachable { addr: addr.to_string() }
            } else {
                PlatformError::Unanswered
            }
        })
    }

    /// Watches a range of keys for changes after `revision`.
    async fn watch_range(
        &self,
        range: RangeRequest,
        revision: u64,
    ) -> Result<HttpWatch, PlatformError> {
        let body = encode(&watch_request(range, revision + 1))?;
        let open = |index, addr| self.open_watch(index, addr, body.clone(), revision);
        self.try_addresses(Repeat::Safe, open).await.inspect_err(|error| self.record_failure(error))
    }

    async fn open_watch(
        &self,
        index: usize,
        addr: SocketAddr,
        body: Bytes,
        revision: u64,
    ) -> Result<HttpWatch, PlatformError> {
        let open = async {
            let response = self.send(addr, "/v3/watch", body).await?;
            let status = response.status();
            if status == StatusCode::OK {
                return HttpWatch::open(self.clone(), index, response.into_body(), revision).await;
            }
            let body =
                read_body(response.into_body(), MAX_RESPONSE_BYTES, self.timeouts.call).await?;
            Err(call_error(status, &body, 0))
        };
        tokio::time::timeout(self.timeouts.call, open)
            .await
            .unwrap_or(Err(PlatformError::Unanswered))
    }

    /// How long a watch may receive nothing before it counts as silent.
    pub(crate) fn watch_idle(&self) -> Duration {
        self.timeouts.watch_idle
    }
}

impl Platform for HttpPlatform {
    type Watch = HttpWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let request = RangeRequest::key(key);
        let response: RangeResponse = self.call(Repeat::Safe, "/v3/kv/range", &request, 0).await?;
        Ok(response.into_entries()?.pop())
    }

    async fn range(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.call(Repeat::Safe, "/v3/kv/range", &request, 0).await?;
        response.into_entries()
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        let size = txn.puts.iter().map(|put| put.value.len()).max().unwrap_or_default();
        if size > MAX_VALUE_BYTES {
            self.budget.record(CallReason::TooLarge);
            return Err(PlatformError::TooLarge { size, limit: MAX_VALUE_BYTES });
        }
        let request = txn_request(txn);
        let txn_response: TxnResponse =
            self.call(Repeat::Never, "/v3/kv/txn", &request, size).await?;
        if txn_response.succeeded {
            return Ok(Commit::Done { revision: txn_response.header.revision.revision() });
        }
        let ranges =
            txn_response.responses.into_iter().filter_map(|response| response.response_range);
        let present = ranges.map(RangeResponse::into_entries).collect::<Result<Vec<_>, _>>()?;
        Ok(Commit::Conflict { present: present.concat() })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let request = grant_request(ttl);
        let response: LeaseResponse =
            self.call(Repeat::Never, "/v3/lease/grant", &request, 0).await?;
        Ok(LeaseId(response.id.0))
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let request = lease_request(lease);
        let response: Streamed<LeaseResponse> =
            self.call(Repeat::Safe, "/v3/lease/keepalive", &request, 0).await?;
        match response {
            Streamed::Result(renewed) if renewed.ttl.0 > 0 => Ok(()),
            Streamed::Result(_) => Err(PlatformError::LeaseGone),
            Streamed::Error(error) => Err(stream_error(&error)),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let request = lease_request(lease);
        let _: serde_json::Value =
            self.call(Repeat::Never, "/v3/lease/revoke", &request, 0).await?;
        Ok(())
    }

    /// Reads the key first, so that opening a watch takes two calls. A key that has not changed
    /// since `revision` is watched from the current revision on; otherwise a compaction past
    /// `revision` would prevent the watch.
    async fn watch(&self, key: &str, revision: u64) -> Result<HttpWatch, PlatformError> {
        let request = RangeRequest::key(key);
        let response: RangeResponse = self.call(Repeat::Safe, "/v3/kv/range", &request, 0).await?;
        let present = response.header.revision.revision();
        if present < revision {
            // The platform was restored from a backup; a watch would miss the changes until the
            // platform reaches this revision again.
            return Err(PlatformError::Compacted);
        }
        let changed = match response.into_entries()?.pop() {
            Some(entry) => entry.revision > revision,
            None => revision > 0,
        };
        let from = if changed { revision } else { present };
        self.watch_range(RangeRequest::key(key), from).await
    }

    async fn watch_prefix(&self, prefix: &str) -> Result<(Vec<Entry>, HttpWatch), PlatformError> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.call(Repeat::Safe, "/v3/kv/range", &request, 0).await?;
        let present = response.header.revision.revision();
        let entries = response.into_entries()?;
        Ok((entries, self.watch_range(request, present).await?))
    }
}

fn http_client(timeouts: Timeouts) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
        .build(connector)
}

fn retry_reason(failure: &PlatformError) -> CallReason {
    if *failure == PlatformError::Unanswered {
        CallReason::RetryRead
    } else {
        CallReason::RetryConnect
    }
}
