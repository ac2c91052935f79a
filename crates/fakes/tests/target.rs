//! Tests of the simulated targets through HTTP, and of the runs that their ledger records.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::Http;
use dw_fakes::{
    AnswerError, Ledger, ManualClock, Report, RunEnd, RunningTarget, ServiceTime, Target,
    answer_body, check_answer, unix_ms,
};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{StatusCode, header::RETRY_AFTER};
use serde_json::json;
use tokio::{task::JoinHandle, time::Instant};

struct Setup {
    clock: ManualClock,
    target: RunningTarget,
    http: Http,
}

/// Starts a target with one second of work per request, so that tests control when it finishes.
async fn setup(settings: Target) -> Setup {
    let clock = ManualClock::new();
    let target = settings.with_service_time(Duration::from_secs(1)).start().await.unwrap();
    Setup { clock, target, http: Http::new() }
}

/// Status and body, or `None` if there was no complete answer.
type Outcome = Option<(StatusCode, Vec<u8>)>;

async fn send(http: &Http, addr: SocketAddr, headers: &[(&str, &str)]) -> Outcome {
    let response = http.open(addr, "/", headers, "body").await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body.to_vec()))
}

impl Setup {
    /// Sends a request in the background and waits until it has reached the target.
    async fn begin(&self, id: &str, more: &[(&str, &str)]) -> JoinHandle<Outcome> {
        let (http, addr, id) = (self.http.clone(), self.target.addr(), id.to_owned());
        let more: Vec<_> = more.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let task = tokio::spawn(async move {
            let mut headers = vec![("x-request-id", id.as_str())];
            headers.extend(more.iter().map(|(n, v)| (n.as_str(), v.as_str())));
            send(&http, addr, &headers).await
        });
        self.clock.settle().await;
        task
    }
}

/// Guards against answers of other requests and truncated answers that pass the check.
#[gtest]
fn mixed_and_short_answers_are_recognised() {
    let body = answer_body("r-1", 300);
    assert_that!(body.len(), eq(300));
    assert_that!(check_answer("r-1", &body), ok(eq(&())));
    let short = AnswerError::Truncated { found: 299, wanted: 300 };
    assert_that!(check_answer("r-1", &body[..299]), err(eq(&short)));
    for other in ["r-2", "r", "r-11", ""] {
        let mixed = AnswerError::WrongRequest { request: other.to_owned() };
        assert_that!(check_answer(other, &body), err(eq(&mixed)));
    }
    assert_that!(check_answer("r-1", b""), err(anything()));
    assert_that!(check_answer("long-id", &answer_body("long-id", 0)), ok(eq(&())));
}

/// Guards against a target that processes more requests than it has slots, and against shed
/// requests that run nevertheless.
#[tokio::test(start_paused = true)]
async fn full_slots_shed() {
    let setup = setup(Target::new("tally").with_slots(2).with_retry_after(3)).await;
    let (one, two) = (setup.begin("one", &[]).await, setup.begin("two", &[]).await);
    let shed = setup.http.open(setup.target.addr(), "/", &[("x-request-id", "three")], "");
    let shed = shed.await.unwrap();
    assert_that!(shed.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(shed.headers()[RETRY_AFTER].to_str().unwrap(), eq("3"));
    setup.clock.advance(Duration::from_secs(1)).await;
    for (id, task) in [("one", one), ("two", two)] {
        let (status, body) = task.await.unwrap().unwrap();
        assert_that!(status, eq(StatusCode::OK));
        assert_that!(check_answer(id, &body), ok(eq(&())));
    }
    let counts = setup.target.counts();
    assert_that!((counts.finished, counts.shed, counts.peak), eq((2, 1, 2)));
    assert_that!(setup.target.ledger().runs_of("three"), is_empty());
    setup.target.close().await;
}

/// Guards against a ledger that misses runs or repeated runs; the at-most-once tests rely on it.
#[tokio::test(start_paused = true)]
async fn ledger_records_every_run() {
    let ledger = Ledger::default();
    let setup = setup(Target::new("ledger").with_ledger(ledger.clone())).await;
    let start = Instant::now();
    let keyed = [("idempotency-key", "credit-7")];
    let (one, two) = (setup.begin("one", &keyed).await, setup.begin("two", &keyed).await);
    setup.clock.advance(Duration::from_secs(1)).await;
    one.await.unwrap().unwrap();
    two.await.unwrap().unwrap();
    let runs = ledger.runs_with_key("credit-7");
    assert_that!(runs.len(), eq(2));
    assert_that!((runs[0].started, runs[0].end, runs[0].body), eq((start, RunEnd::Finished, 4)));
    assert_that!(runs[0].ended, some(eq(start + Duration::from_secs(1))));
    assert_that!(runs[0].target, eq(setup.target.addr()));
    assert_that!(ledger.repeated_keys(), elements_are![eq(&("credit-7".into(), 2))]);

    let small = Ledger::new(1);
    let other = Target::new("ledger").with_ledger(small.clone()).start().await.unwrap();
    for id in ["a", "b"] {
        let headers = [("x-request-id", id), ("x-work-ms", "0")];
        send(&setup.http, other.addr(), &headers).await.unwrap();
    }
    assert_that!((small.started(), small.runs().len()), eq((2, 1)));
    assert_that!(small.runs_of("b")[0].end, eq(RunEnd::Finished));
    other.close().await;
    setup.target.close().await;
}

/// Guards against work that starts after its deadline, and against cancelled work that keeps its
/// slot.
#[tokio::test(start_paused = true)]
async fn deadlines_and_cancellation_are_respected() {
    let setup = setup(Target::new("tally").with_slots(1)).await;
    let deadline = (unix_ms(Instant::now()) + 500).to_string();
    let header = [("damaskwick-deadline", deadline.as_str())];
    let kept = setup.begin("kept", &header).await;
    assert_that!(setup.target.counts().in_flight, eq(1));
    kept.abort();
    while setup.target.counts().in_flight > 0 {
        setup.clock.settle().await;
    }
    assert_that!(setup.target.ledger().runs_of("kept")[0].end, eq(RunEnd::Cancelled));

    setup.clock.advance(Duration::from_millis(500)).await;
    let (status, _) = setup.begin("late", &header).await.await.unwrap().unwrap();
    assert_that!(status, eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(setup.target.ledger().runs_of("late"), is_empty());

    // A request that waited in a paused target is late when the target resumes.
    setup.target.pause();
    let deadline = (unix_ms(Instant::now()) + 100).to_string();
    let waiting = setup.begin("waiting", &[("damaskwick-deadline", &deadline)]).await;
    setup.clock.advance(Duration::from_millis(100)).await;
    setup.target.resume();
    assert_that!(waiting.await.unwrap().unwrap().0, eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(setup.target.counts().late, eq(2));
    setup.target.close().await;
}

/// Guards against a crash that leaves connections open, answers requests in progress, or is
/// recorded as a cancellation.
#[tokio::test(start_paused = true)]
async fn marked_request_crashes_the_target() {
    let setup = setup(Target::new("clearing")).await;
    let bystander = setup.begin("bystander", &[]).await;
    let poison = setup.begin("poison", &[("x-crash", "10")]).await;
    assert_that!(setup.target.connections().0, eq(2));
    setup.clock.advance(Duration::from_millis(10)).await;
    assert_that!(poison.await.unwrap(), none());
    assert_that!(bystander.await.unwrap(), none());
    for id in ["poison", "bystander"] {
        assert_that!(setup.target.ledger().runs_of(id)[0].end, eq(RunEnd::Crashed));
    }
    let refused = setup.http.open(setup.target.addr(), "/", &[], "").await;
    assert_that!(refused.is_err_and(|error| error.is_connect()), eq(true));
    assert_that!(setup.target.counts().in_flight, eq(0));

    setup.target.restart().await;
    let after = setup.begin("after", &[]).await;
    setup.clock.advance(Duration::from_secs(1)).await;
    assert_that!(after.await.unwrap().unwrap().0, eq(StatusCode::OK));
    setup.target.close().await;
}

/// Guards against a silenced connection that answers, and against new connections that do not.
#[tokio::test(start_paused = true)]
async fn silence_stops_existing_connections_only() {
    let setup = setup(Target::new("diary")).await;
    let old = setup.begin("old", &[]).await;
    setup.target.silence();
    let new = Http::new();
    let addr = setup.target.addr();
    let new = tokio::spawn(async move { send(&new, addr, &[("x-request-id", "new")]).await });
    setup.clock.settle().await;
    setup.clock.advance(Duration::from_secs(2)).await;
    assert_that!(new.await.unwrap().unwrap().0, eq(StatusCode::OK));
    setup.clock.advance(Duration::from_secs(3_600)).await;
    assert_that!(old.is_finished(), eq(false));
    setup.target.close().await;
    assert_that!(old.await.unwrap(), none());
}

/// Guards against a drain that interrupts work or admits new work, and against a connection limit
/// that is not enforced.
#[tokio::test(start_paused = true)]
async fn drain_and_connection_limit() {
    let setup = setup(Target::new("diary").with_connections(1)).await;
    let going = setup.begin("going", &[]).await;
    assert_that!(setup.begin("second", &[]).await.await.unwrap(), none());
    assert_that!(setup.target.accepted(), eq((1, 1)));
    setup.target.drain(true);
    setup.clock.advance(Duration::from_secs(1)).await;
    assert_that!(going.await.unwrap().unwrap().0, eq(StatusCode::OK));
    let refused = setup.begin("new", &[]).await.await.unwrap().unwrap();
    assert_that!(refused, eq(&(StatusCode::SERVICE_UNAVAILABLE, b"draining".to_vec())));
    assert_that!(setup.target.ledger().started(), eq(1));
    setup.target.close().await;
}

/// Guards against health and load endpoints that cannot report a false state, and against a cold
/// start that ends too early or never.
#[tokio::test(start_paused = true)]
async fn reports_mislead_and_cold_starts_end() {
    let cold = Target::new("tally").with_cold_start(Duration::from_secs(10), 3.0);
    let setup = setup(cold).await;
    let addr = setup.target.addr();
    let status = async |path| setup.http.open(addr, path, &[], "").await.unwrap().status();
    setup.target.drain(true);
    assert_that!(status("/healthz").await, eq(StatusCode::SERVICE_UNAVAILABLE));
    setup.target.set_health(Report::Fixed(true));
    assert_that!(status("/healthz").await, eq(StatusCode::OK));
    setup.target.drain(false);
    setup.target.set_load(Report::Fixed(0.25));
    let (_, load) = setup.http.post(addr, "/load", &json!({})).await.unwrap();
    assert_that!(load, eq(&json!({"load": 0.25})));

    let slow = setup.begin("slow", &[]).await;
    setup.clock.advance(Duration::from_millis(2_900)).await;
    assert_that!(slow.is_finished(), eq(false));
    setup.clock.advance(Duration::from_millis(100)).await;
    slow.await.unwrap().unwrap();
    setup.clock.advance(Duration::from_secs(7)).await;
    let warm = setup.begin("warm", &[]).await;
    setup.clock.advance(Duration::from_secs(1)).await;
    warm.await.unwrap().unwrap();
    setup.target.close().await;
}

/// Guards against a truncated answer that clients accept as complete.
#[tokio::test(start_paused = true)]
async fn cut_answer_is_an_error() {
    let setup = setup(Target::new("tally")).await;
    let headers = [("x-answer-bytes", "100000"), ("x-cut-after", "5000"), ("x-work-ms", "0")];
    assert_that!(setup.begin("cut", &headers).await.await.unwrap(), none());
    let whole = setup.begin("whole", &headers[..1]).await;
    setup.clock.advance(Duration::from_secs(1)).await;
    let (_, body) = whole.await.unwrap().unwrap();
    assert_that!(body.len(), eq(100_000));
    assert_that!(check_answer("whole", &body), ok(eq(&())));
    setup.target.close().await;
}

/// Guards against a control endpoint that crashes with the target, and against uniformly
/// distributed service times outside their range.
#[tokio::test(start_paused = true)]
async fn control_endpoint_and_spread() {
    let clock = ManualClock::new();
    let (from, to) = (Duration::from_millis(10), Duration::from_millis(30));
    let settings = Target::new("tally").with_service_time(ServiceTime::Uniform { from, to });
    let setup = Setup { clock, target: settings.start().await.unwrap(), http: Http::new() };
    let mut tasks = Vec::new();
    for id in 0..10 {
        tasks.push(setup.begin(&id.to_string(), &[]).await);
    }
    setup.clock.advance(Duration::from_millis(9)).await;
    assert_that!(setup.target.counts().in_flight, eq(10));
    setup.clock.advance(Duration::from_millis(22)).await;
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    let control = setup.target.control_addr();
    let switch = async |path: &str| setup.http.post(control, path, &json!({})).await.unwrap();
    switch("/crash").await;
    let (_, counts) = switch("/counts").await;
    assert_that!(counts["finished"], eq(&json!(10)));
    let (_, ledger) = switch("/ledger").await;
    assert_that!(ledger.as_str().unwrap().lines().count(), eq(10));
    switch("/restart").await;
    switch("/drain").await;
    let refused = setup.begin("late", &[]).await.await.unwrap().unwrap();
    assert_that!(refused.0, eq(StatusCode::SERVICE_UNAVAILABLE));
    setup.target.close().await;
}
