use std::{collections::HashMap, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode, header::HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::{
    gateway::respond,
    server::{Answer, Body, ConnectionAborted, Gate},
    standin::{Shared, State},
    store::{Change, Op, OpResult, Record, Span, StoreError},
};

/// Path prefix of the users' platform's API; all other paths belong to the etcd gateway.
pub(crate) const PREFIX: &str = "/-/kv-";

/// The header that reports how often the store was restored from a snapshot.
const ERA_HEADER: &str = "store-era";

/// Key prefixes that only the operator may write.
const OPERATOR_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Most rows in a transaction.
const MAX_ROWS: usize = 32;

/// Most items on a page.
const MAX_PAGE_ITEMS: usize = 500;

/// Longest time that a watch call waits for a change.
const MAX_WAIT_MS: u64 = 30_000;

/// One call of the users' platform's API.
pub(crate) struct KvCall {
    pub(crate) method: Method,
    /// The path after [`PREFIX`].
    pub(crate) name: String,
    pub(crate) query: HashMap<String, String>,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    expect: Vec<ExpectedRevision>,
    #[serde(default)]
    set_keys: Vec<KeyWrite>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct ExpectedRevision {
    key: String,
    revision: i64,
}

#[derive(Deserialize)]
struct KeyWrite {
    key: String,
    value: String,
    #[serde(default)]
    lease_id: i64,
}

#[derive(Deserialize)]
struct Lease {
    ttl_ms: u64,
}

type Reply = (StatusCode, Value);

/// The reply to a call, and whether the call wrote anything; only answers to writes are dropped
/// by fault injection.
struct CallResult {
    reply: Reply,
    wrote: bool,
}

impl KvCall {
    /// Parses the query of a path, in which keys are plain text.
    pub(crate) fn new(method: Method, name: &str, query: Option<&str>, body: Bytes) -> Self {
        let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        Self { method, name: name.to_owned(), query, body }
    }

    fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// Answers one call. A call takes effect once it is received, even if the client gives up before
/// the answer.
pub(crate) async fn handle(shared: Arc<Shared>, call: KvCall, mut gate: Gate) -> Answer {
    let delay = shared.lock().delay;
    if delay > Duration::ZERO {
        tokio::time::sleep(delay).await;
    }
    if call.method == Method::GET && call.name == "watch" {
        let reply = watch(&shared, &call).await;
        gate.pass().await;
        return Ok(answer(&shared, &reply));
    }
    let done = shared.update(|state| run(state, &call));
    if done.wrote && shared.lock().lose_answer() {
        return Err(ConnectionAborted);
    }
    Ok(answer(&shared, &done.reply))
}

fn answer(shared: &Shared, (status, body): &Reply) -> Response<Body> {
    let mut state = shared.lock();
    let mut answer = state.count_answer(respond(*status, body));
    answer.headers_mut().insert(ERA_HEADER, HeaderValue::from(state.era));
    answer
}

fn run(state: &mut State, call: &KvCall) -> CallResult {
    state.counts.bytes_in += call.body.len() as u64;
    let read = call.method == Method::GET;
    let renewal = call.name.starts_with("keep/");
    if !renewal && !state.admit(read) {
        state.counts.overloaded += 1;
        return read_only((StatusCode::TOO_MANY_REQUESTS, json!({})));
    }
    let now = Instant::now();
    match (call.method.as_str(), call.name.split_once('/').unwrap_or((&call.name, ""))) {
        ("GET", ("key", _)) => read_only(key(state, call)),
        ("GET", ("range", _)) => read_only(range(state, call)),
        ("POST", ("txn", _)) => txn(state, call),
        ("POST", ("lease", _)) => match serde_json::from_slice::<Lease>(&call.body) {
            Ok(Lease { ttl_ms }) => grant(state, ttl_ms, now),
            Err(error) => read_only((StatusCode::BAD_REQUEST, json!(error.to_string()))),
        },
        ("POST", ("keep", id)) => {
            state.counts.keepalives += 1;
            let ttl = id.parse().ok().and_then(|id| state.store.renew(id, now));
            read_only(match ttl {
                Some(ttl) => (StatusCode::OK, json!({ "ttl_ms": ttl.as_millis() })),
                None => (StatusCode::NOT_FOUND, json!({})),
            })
        }
        ("DELETE", ("lease-end", id)) => {
            state.counts.revokes += 1;
            let ended = id.parse().is_ok_and(|id| state.store.revoke(id).is_ok());
            let status = if ended { StatusCode::OK } else { StatusCode::NOT_FOUND };
            CallResult { reply: (status, json!({})), wrote: ended }
        }
        _ => read_only((StatusCode::NOT_FOUND, json!({}))),
    }
}

const fn read_only(reply: Reply) -> CallResult {
    CallResult { reply, wrote: false }
}

fn key(state: &mut State, call: &KvCall) -> Reply {
    state.counts.ranges += 1;
    let span = Span { key: Bytes::from(call.text("key").to_owned()), end: Bytes::new() };
    match state.store.range(&span).first() {
        Some((key, record)) => {
            let mut item = item(key, record);
            item["at"] = state.store.revision.into();
            (StatusCode::OK, item)
        }
        None => (StatusCode::NOT_FOUND, json!({})),
    }
}

fn range(state: &mut State, call: &KvCall) -> Reply {
    state.counts.ranges += 1;
    let after = call.text("after").as_bytes();
    let found = state.store.range(&prefix_span(call.text("path_prefix")));
    let rest: Vec<_> = found.iter().filter(|(key, _)| key.as_ref() > after).collect();
    let items: Vec<_> =
        rest.iter().take(MAX_PAGE_ITEMS).map(|(key, record)| item(key, record)).collect();
    let more = rest.len() > MAX_PAGE_ITEMS;
    (StatusCode::OK, json!({ "items": items, "has_more": more, "at": state.store.revision }))
}

fn txn(state: &mut State, call: &KvCall) -> CallResult {
    let txn: Txn = match serde_json::from_slice(&call.body) {
        Ok(txn) => txn,
        Err(error) => return read_only((StatusCode::BAD_REQUEST, json!(error.to_string()))),
    };
    let keys = txn.set_keys.iter().map(|row| &row.key).chain(&txn.remove);
    if keys.clone().any(|key| OPERATOR_PREFIXES.iter().any(|prefix| key.starts_with(prefix))) {
        return read_only((StatusCode::FORBIDDEN, json!({})));
    }
    if txn.expect.len() + txn.set_keys.len() + txn.remove.len() > MAX_ROWS {
        return read_only((StatusCode::BAD_REQUEST, json!("too many rows")));
    }
    let one = |key: &str| Span { key: Bytes::from(key.to_owned()), end: Bytes::new() };
    let revision_of = |row: &ExpectedRevision| state.store.revision_of(&row.key.clone().into());
    if txn.expect.iter().any(|row| revision_of(row) != row.revision) {
        state.counts.conflicts += 1;
        let found = txn.expect.iter().flat_map(|row| state.store.range(&one(&row.key)));
        let items: Vec<_> = found.map(|(key, record)| item(&key, &record)).collect();
        return read_only((StatusCode::PRECONDITION_FAILED, json!({ "items": items })));
    }
    let mut ops = Vec::new();
    for row in &txn.set_keys {
        let Ok(value) = BASE64_STANDARD.decode(&row.value) else {
            return read_only((StatusCode::BAD_REQUEST, json!("a value is not base64")));
        };
        let key = row.key.clone().into();
        ops.push(Op::Put { key, value: value.into(), lease: row.lease_id });
    }
    ops.extend(txn.remove.iter().map(|key| Op::Delete(one(key))));
    match state.store.run(ops) {
        Ok(results) => {
            state.counts.txns += 1;
            let wrote = results.iter().any(|result| !matches!(result, OpResult::Delete(0)));
            CallResult {
                reply: (StatusCode::OK, json!({ "revision": state.store.revision })),
                wrote,
            }
        }
        Err(StoreError::LeaseNotFound) => read_only((StatusCode::NOT_FOUND, json!({}))),
        Err(error) => read_only((StatusCode::BAD_REQUEST, json!(error.to_string()))),
    }
}

fn grant(state: &mut State, ttl_ms: u64, now: Instant) -> CallResult {
    state.counts.grants += 1;
    match state.store.grant(0, Duration::from_millis(ttl_ms), now) {
        Ok(id) => CallResult {
            reply: (StatusCode::OK, json!({ "lease_id": id, "ttl_ms": ttl_ms })),
            wrote: true,
        },
        Err(error) => read_only((StatusCode::BAD_REQUEST, json!(error.to_string()))),
    }
}

/// Waits until a key with the given prefix changes or the caller's wait time is over.
async fn watch(shared: &Shared, call: &KvCall) -> Reply {
    let admitted = shared.update(|state| {
        state.counts.watches += 1;
        state.admit(true)
    });
    if !admitted {
        shared.lock().counts.overloaded += 1;
        return (StatusCode::TOO_MANY_REQUESTS, json!({}));
    }
    let span = prefix_span(call.text("path_prefix"));
    let after = i64::try_from(call.number("after")).unwrap_or(i64::MAX);
    let until = Instant::now() + Duration::from_millis(call.number("wait_ms").min(MAX_WAIT_MS));
    let mut revision = shared.revision.subscribe();
    loop {
        revision.mark_unchanged();
        let (changes, at) = {
            let state = shared.lock();
            (state.store.changes(&span, after + 1), state.store.revision)
        };
        // A store that was restored from a snapshot does not know any later revisions.
        let (Ok(changes), true) = (changes, after <= at) else {
            return (StatusCode::GONE, json!({}));
        };
        let left = until.saturating_duration_since(Instant::now());
        if !changes.is_empty() || left.is_zero() {
            let events: Vec<_> = changes.iter().map(event).collect();
            return (StatusCode::OK, json!({ "events": events, "at": at }));
        }
        // The next iteration detects the end of the wait.
        let _ = timeout(left, revision.changed()).await;
    }
}

fn event(change: &Change) -> Value {
    let key = String::from_utf8_lossy(&change.key);
    match &change.record {
        Some(record) => item(&change.key, record),
        None => json!({ "key": key, "revision": change.revision, "deleted": true }),
    }
}

fn item(key: &[u8], record: &Record) -> Value {
    json!({
        "key": String::from_utf8_lossy(key),
        "value": BASE64_STANDARD.encode(&record.value),
        "revision": record.revision,
        "created_rev": record.created,
        "lease_id": record.lease,
    })
}

/// The span of all keys that start with `prefix`.
fn prefix_span(prefix: &str) -> Span {
    let mut end = prefix.as_bytes().to_vec();
    match end.last_mut() {
        // Keys are text, whose bytes are below 0xff.
        Some(last) => *last += 1,
        None => end.push(0),
    }
    Span { key: Bytes::from(prefix.to_owned()), end: end.into() }
}
