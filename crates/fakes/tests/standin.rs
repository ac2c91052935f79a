//! Tests of the platform's stand-in through its etcd gateway.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Http, b64};
use dw_fakes::{ManualClock, RunningStandin, Standin};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming};
use serde_json::{Value, json};

fn put(key: &str, value: &str, revision: i64) -> Value {
    json!({
        "compare": [{"key": b64(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string()}],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}

async fn txn(http: &Http, addr: SocketAddr, body: &Value) -> (StatusCode, Value) {
    http.post(addr, "/v3/kv/txn", body).await.unwrap()
}

async fn start() -> (RunningStandin, Http, SocketAddr) {
    let standin = Standin::new().start().await.unwrap();
    let addr = standin.addr();
    (standin, Http::new(), addr)
}

/// Reads one JSON line of a watch; the stand-in sends each line as one chunk.
async fn line(body: &mut Incoming) -> Value {
    let frame = body.frame().await.unwrap().unwrap();
    serde_json::from_slice(frame.data_ref().unwrap()).unwrap()
}

/// Guards against answers that a client of etcd's gateway cannot parse: numbers instead of
/// strings, keys that are not base64, or default values that should be omitted.
#[tokio::test]
async fn answers_follow_the_gateway() {
    let (standin, http, addr) = start().await;
    let (status, done) = txn(&http, addr, &put("a", "1", 0)).await;
    assert_that!(status, eq(StatusCode::OK));
    assert_that!(done["succeeded"], eq(&json!(true)));
    assert_that!(done["header"]["revision"], eq(&json!("2")));

    let (_, found) = http.post(addr, "/v3/kv/range", &json!({"key": b64("a")})).await.unwrap();
    let kv = json!({"key": b64("a"), "value": b64("1"), "create_revision": "2",
        "mod_revision": "2", "version": "1"});
    assert_that!(found["kvs"], eq(&json!([kv])));

    let (_, lost) = txn(&http, addr, &put("a", "2", 0)).await;
    assert_that!(lost.get("succeeded"), none());
    assert_that!(lost["responses"][0]["response_range"]["kvs"], eq(&json!([kv])));

    let (status, unknown) = http.post(addr, "/v3/kv/put", &json!({})).await.unwrap();
    assert_that!((status, unknown["code"].clone()), eq(&(StatusCode::NOT_FOUND, json!(5))));
    let counts = standin.counts();
    assert_that!((counts.txns, counts.conflicts, counts.ranges), eq((1, 1, 1)));
    standin.close().await;
}

/// Guards against a lease that outlives its time to live or can be renewed after it has ended.
#[tokio::test(start_paused = true)]
async fn leases_expire_by_the_clock() {
    let clock = ManualClock::new();
    let (standin, http, addr) = start().await;
    let (_, lease) = http.post(addr, "/v3/lease/grant", &json!({"TTL": "6"})).await.unwrap();
    let id = lease["ID"].clone();
    let write = json!({"success": [{"request_put":
        {"key": b64("relay"), "value": b64("x"), "lease": id}}]});
    txn(&http, addr, &write).await;

    clock.advance(Duration::from_secs(5)).await;
    let renew = json!({"ID": id});
    let (_, kept) = http.post(addr, "/v3/lease/keepalive", &renew).await.unwrap();
    assert_that!(kept["result"]["TTL"], eq(&json!("6")));
    clock.advance(Duration::from_secs(5)).await;
    let read = json!({"key": b64("relay")});
    let (_, found) = http.post(addr, "/v3/kv/range", &read).await.unwrap();
    assert_that!(found["count"], eq(&json!("1")));

    clock.advance(Duration::from_secs(2)).await;
    let (_, found) = http.post(addr, "/v3/kv/range", &read).await.unwrap();
    assert_that!(found.get("kvs"), none());
    let (_, gone) = http.post(addr, "/v3/lease/keepalive", &renew).await.unwrap();
    assert_that!(gone["result"].get("TTL"), none());
    let (status, _) = http.post(addr, "/v3/lease/revoke", &renew).await.unwrap();
    assert_that!(status, eq(StatusCode::NOT_FOUND));
    assert_that!(standin.counts().expired, eq(1));
    standin.close().await;
}

/// Guards against a watch that misses the end of a lease, reports keys outside its range, or
/// silently starts after the requested revision.
#[tokio::test]
async fn watches_start_from_a_revision_unless_it_is_compacted() {
    let (standin, http, addr) = start().await;
    for key in ["a/1", "b/1", "a/2"] {
        txn(&http, addr, &put(key, "x", 0)).await;
    }
    let create = json!({"create_request":
        {"key": b64("a/"), "range_end": b64("a0"), "start_revision": "3"}});
    let mut body = http.open(addr, "/v3/watch", &[], create.to_string()).await.unwrap().into_body();
    assert_that!(line(&mut body).await["result"]["created"], eq(&json!(true)));
    let events = line(&mut body).await["result"]["events"].clone();
    assert_that!(events[0]["kv"]["key"], eq(&json!(b64("a/2"))));
    assert_that!(events.as_array().unwrap().len(), eq(1));
    assert_that!(standin.counts().waiting, eq(1));

    standin.compact();
    let mut late = http.open(addr, "/v3/watch", &[], create.to_string()).await.unwrap().into_body();
    line(&mut late).await;
    let end = line(&mut late).await;
    assert_that!(end["result"]["canceled"], eq(&json!(true)));
    assert_that!(end["result"]["compact_revision"], eq(&json!("4")));
    standin.close().await;
}

/// Guards against a rate limit that does not count open watches, and against refused calls that
/// take effect.
#[tokio::test(start_paused = true)]
async fn rates_are_limited_and_watches_use_them_up() {
    let clock = ManualClock::new();
    let (standin, http, addr) = start().await;
    standin.limit(Some(2.0), Some(1.0));
    assert_that!(txn(&http, addr, &put("a", "1", 0)).await.0, eq(StatusCode::OK));
    let (status, refused) = txn(&http, addr, &put("b", "1", 0)).await;
    assert_that!(status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(refused["code"], eq(&json!(8)));
    assert_that!(standin.revision(), eq(2));

    let create = json!({"create_request": {"key": b64("a")}}).to_string();
    let watch = http.open(addr, "/v3/watch", &[], create).await.unwrap();
    clock.advance(Duration::from_secs(10)).await;
    let read = json!({"key": b64("a")});
    let mut answers = Vec::new();
    for _ in 0..2 {
        answers.push(http.post(addr, "/v3/kv/range", &read).await.unwrap().0);
    }
    assert_that!(answers, elements_are![eq(&StatusCode::OK), eq(&StatusCode::TOO_MANY_REQUESTS)]);
    drop(watch);
    clock.settle().await;
    assert_that!(standin.counts().waiting, eq(0));
    standin.close().await;
}

/// Guards against paths of the control endpoint that have no effect, and against a control
/// endpoint that goes down with the platform.
#[tokio::test]
async fn control_endpoint_switches_faults() {
    let (standin, http, addr) = start().await;
    let control = standin.control_addr();
    let switch = async |path: &str| http.post(control, path, &json!({})).await.unwrap();

    txn(&http, addr, &put("a", "1", 0)).await;
    switch("/snapshot").await;
    switch("/lose?answers=1").await;
    let lost = http.post(addr, "/v3/kv/txn", &put("a", "2", 2)).await;
    assert_that!(lost.is_err(), eq(true));
    assert_that!(standin.revision(), eq(3));

    switch("/down").await;
    let refused = http.post(addr, "/v3/kv/range", &json!({"key": b64("a")})).await;
    assert_that!(refused.is_err_and(|error| error.is_connect()), eq(true));
    switch("/up").await;
    switch("/restore").await;
    let (_, found) = http.post(addr, "/v3/kv/range", &json!({"key": b64("a")})).await.unwrap();
    assert_that!(found["kvs"][0]["value"], eq(&json!(b64("1"))));
    let (_, counts) = switch("/counts").await;
    assert_that!((&counts["lost"], &counts["ranges"]), eq((&json!(1), &json!(1))));
    assert_that!(switch("/unknown").await.0, eq(StatusCode::NOT_FOUND));
    standin.close().await;
}
