use std::{sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::{
    kv::{self, KvCall},
    messages::{
        CompareResult, CompareTarget, LeaseRequest, RangeRequest, RequestOp, TxnRequest,
        WatchRequest,
    },
    server::{Answer, Body, ConnectionAborted, Gate, full_body},
    standin::{Shared, State},
    store::{Change, Op, OpResult, Record, Span, StoreError},
    watch_stream,
};

/// Largest request body, which leaves room for several values in one transaction.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A failed call in the gateway's error format.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    status: StatusCode,
    code: u32,
    message: String,
}

impl Failure {
    fn invalid(message: &str) -> Self {
        Self { status: StatusCode::BAD_REQUEST, code: 3, message: message.to_string() }
    }

    fn overloaded() -> Self {
        let message = "etcdserver: too many requests".to_owned();
        Self { status: StatusCode::TOO_MANY_REQUESTS, code: 8, message }
    }

    fn answer(&self) -> Response<Body> {
        let body = json!({"error": self.message, "message": self.message, "code": self.code});
        respond(self.status, &body)
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        let (status, code) = match error {
            StoreError::Compacted(_) => (StatusCode::BAD_REQUEST, 11),
            StoreError::LeaseNotFound => (StatusCode::NOT_FOUND, 5),
            StoreError::LeaseExists => (StatusCode::PRECONDITION_FAILED, 9),
            StoreError::TooLarge | StoreError::DuplicateKey | StoreError::TooManyOps => {
                (StatusCode::BAD_REQUEST, 3)
            }
        };
        Self { status, code, message: error.to_string() }
    }
}

/// The answer to a call, and whether the call wrote anything; only answers to writes are dropped
/// by fault injection.
struct CallResult {
    body: Value,
    wrote: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Kind {
    fn of(path: &str) -> Option<Self> {
        match path {
            "/v3/kv/range" => Some(Self::Range),
            "/v3/kv/txn" => Some(Self::Txn),
            "/v3/lease/grant" => Some(Self::Grant),
            "/v3/lease/keepalive" => Some(Self::KeepAlive),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Some(Self::Revoke),
            "/v3/watch" => Some(Self::Watch),
            _ => None,
        }
    }

    fn reads(self) -> bool {
        matches!(self, Self::Range | Self::Watch)
    }
}

/// Answers one call of the etcd gateway or, by its path, of the users' platform's API.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>, gate: Gate) -> Answer {
    let kind = Kind::of(request.uri().path());
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Err(ConnectionAborted);
    };
    let body = body.to_bytes();
    if let Some(name) = head.uri.path().strip_prefix(kv::PREFIX) {
        let call = KvCall::new(head.method, name, head.uri.query(), body);
        let run = tokio::spawn(kv::handle(shared, call, gate));
        return run.await.unwrap_or(Err(ConnectionAborted));
    }
    let Some(kind) = kind else {
        let message = "Not Found".to_owned();
        return Ok(Failure { status: StatusCode::NOT_FOUND, code: 5, message }.answer());
    };
    // A call takes effect once it is received, even if the client gives up before the answer.
    let run = {
        let shared = shared.clone();
        async move {
            let delay = shared.lock().delay;
            if delay > Duration::ZERO {
                tokio::time::sleep(delay).await;
            }
            shared.update(|state| call(state, kind, &body))
        }
    };
    let outcome = tokio::spawn(run).await.map_err(|_| ConnectionAborted)?;
    let answer = match outcome {
        Ok(CallOutcome::Done(done)) => {
            if done.wrote && shared.lock().lose_answer() {
                return Err(ConnectionAborted);
            }
            respond(StatusCode::OK, &done.body)
        }
        Ok(CallOutcome::Watch(span, from)) => {
            return Ok(watch_stream::open(shared, span, from, gate));
        }
        Err(failure) => failure.answer(),
    };
    Ok(shared.lock().count_answer(answer))
}

enum CallOutcome {
    Done(CallResult),
    Watch(Span, i64),
}

fn call(state: &mut State, kind: Kind, body: &Bytes) -> Result<CallOutcome, Failure> {
    state.counts.bytes_in += body.len() as u64;
    if !state.admit(kind.reads()) {
        state.counts.overloaded += 1;
        return Err(Failure::overloaded());
    }
    let done = match kind {
        Kind::Range => range(state, body),
        Kind::Txn => txn(state, body),
        Kind::Grant => grant(state, body),
        Kind::KeepAlive => keep_alive(state, body),
        Kind::Revoke => revoke(state, body),
        Kind::Watch => return watch(state, body).inspect_err(|_| state.counts.refused += 1),
    };
    done.map(CallOutcome::Done).inspect_err(|_| state.counts.refused += 1)
}

fn range(state: &mut State, body: &[u8]) -> Result<CallResult, Failure> {
    let request: RangeRequest = parse(body)?;
    state.counts.ranges += 1;
    let found = state.store.range(&span(request.key.0, request.range_end.0));
    let mut answer = range_answer(&found);
    answer["header"] = header(state.store.revision);
    Ok(CallResult { body: answer, wrote: false })
}

fn txn(state: &mut State, body: &[u8]) -> Result<CallResult, Failure> {
    let request: TxnRequest = parse(body)?;
    let holds = request.compare.into_iter().all(|compare| match (compare.target, compare.result) {
        (CompareTarget::Mod, CompareResult::Equal) => {
            state.store.revision_of(&compare.key.0.into()) == compare.mod_revision.0
        }
    });
    let branch = if holds { request.success } else { request.failure };
    let before = state.store.revision;
    let results = state.store.run(branch.into_iter().map(op).collect())?;
    let revision = state.store.revision;
    *(if holds { &mut state.counts.txns } else { &mut state.counts.conflicts }) += 1;
    let responses: Vec<_> = results.iter().map(|result| op_answer(result, revision)).collect();
    let mut answer = json!({"header": header(revision), "responses": responses});
    if holds {
        answer["succeeded"] = true.into();
    }
    Ok(CallResult { body: answer, wrote: revision > before })
}

fn grant(state: &mut State, body: &[u8]) -> Result<CallResult, Failure> {
    let request: LeaseRequest = parse(body)?;
    let Ok(ttl @ 1..) = u64::try_from(request.ttl.0) else {
        return Err(Failure::invalid("etcdserver: too small lease TTL"));
    };
    let now = tokio::time::Instant::now();
    let id = state.store.grant(request.id.0, Duration::from_secs(ttl), now)?;
    state.counts.grants += 1;
    let header = header(state.store.revision);
    let body = json!({"header": header, "ID": id.to_string(), "TTL": ttl.to_string()});
    Ok(CallResult { body, wrote: true })
}

fn keep_alive(state: &mut State, body: &[u8]) -> Result<CallResult, Failure> {
    let request: LeaseRequest = parse(body)?;
    state.counts.keepalives += 1;
    let ttl = state.store.renew(request.id.0, tokio::time::Instant::now());
    let mut result =
        json!({"header": header(state.store.revision), "ID": request.id.0.to_string()});
    if let Some(ttl) = ttl {
        result["TTL"] = ttl.as_secs().to_string().into();
    }
    Ok(CallResult { body: json!({"result": result}), wrote: false })
}

fn revoke(state: &mut State, body: &[u8]) -> Result<CallResult, Failure> {
    let request: LeaseRequest = parse(body)?;
    state.store.revoke(request.id.0)?;
    state.counts.revokes += 1;
    Ok(CallResult { body: json!({"header": header(state.store.revision)}), wrote: true })
}

fn watch(state: &mut State, body: &[u8]) -> Result<CallOutcome, Failure> {
    let request: WatchRequest = parse(body)?;
    let create = request.create_request;
    state.counts.watches += 1;
    let from = match create.start_revision.0 {
        ..=0 => state.store.revision + 1,
        from => from,
    };
    Ok(CallOutcome::Watch(span(create.key.0, create.range_end.0), from))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::invalid(&error.to_string()))
}

fn span(key: Vec<u8>, end: Vec<u8>) -> Span {
    Span { key: key.into(), end: end.into() }
}

fn op(request: RequestOp) -> Op {
    match request {
        RequestOp::Range(range) => Op::Range(span(range.key.0, range.range_end.0)),
        RequestOp::Delete(delete) => Op::Delete(span(delete.key.0, delete.range_end.0)),
        RequestOp::Put(put) => {
            Op::Put { key: put.key.0.into(), value: put.value.0.into(), lease: put.lease.0 }
        }
    }
}

fn op_answer(result: &OpResult, revision: i64) -> Value {
    let header = json!({"revision": revision.to_string()});
    match result {
        OpResult::Put => json!({"response_put": {"header": header}}),
        OpResult::Range(found) => {
            let mut answer = range_answer(found);
            answer["header"] = header;
            json!({"response_range": answer})
        }
        OpResult::Delete(count) => {
            json!({"response_delete_range": {"header": header, "deleted": count.to_string()}})
        }
    }
}

/// Formats the result of a range. Like etcd's gateway, it omits fields with their default value.
fn range_answer(found: &[(Bytes, Record)]) -> Value {
    if found.is_empty() {
        return json!({});
    }
    let kvs: Vec<_> = found.iter().map(|(key, record)| key_value(key, record)).collect();
    json!({"kvs": kvs, "count": found.len().to_string()})
}

fn key_value(key: &Bytes, record: &Record) -> Value {
    let mut kv = json!({
        "key": BASE64_STANDARD.encode(key),
        "create_revision": record.created.to_string(),
        "mod_revision": record.revision.to_string(),
        "version": record.version.to_string(),
    });
    if !record.value.is_empty() {
        kv["value"] = BASE64_STANDARD.encode(&record.value).into();
    }
    if record.lease != 0 {
        kv["lease"] = record.lease.to_string().into();
    }
    kv
}

/// Formats one event of a watch.
pub(crate) fn event(change: &Change) -> Value {
    match &change.record {
        Some(record) => json!({"kv": key_value(&change.key, record)}),
        None => json!({"type": "DELETE", "kv": {
            "key": BASE64_STANDARD.encode(&change.key),
            "mod_revision": change.revision.to_string(),
        }}),
    }
}

/// The `header` object of every answer.
pub(crate) fn header(revision: i64) -> Value {
    json!({
        "cluster_id": "1", "member_id": "1", "raft_term": "1", "revision": revision.to_string(),
    })
}

pub(crate) fn respond(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
