//! Targets that send a late duplicate of a response on a connection that is already in use again.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use dw_daemon::{Daemon, Dialect, Running, TargetSettings};
use dw_fakes::{RunningStandin, Standin};
use googletest::prelude::*;
use http::{HeaderName, Request};
use http_body_util::Full;
use support::{connect, publish, settings, target, text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Slots of the target, more than the requests of a test.
const SLOTS: u32 = 256;

/// When the duplicate of the previous response is sent.
#[derive(Clone, Copy, Debug)]
enum Duplicate {
    /// Together with the response.
    AtOnce,
    /// After the response, while the connection is idle.
    Idle,
    /// When the next request has arrived, before its own response.
    InUse,
}

/// The requests that a target ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// A response with the header names of the tests' dialect.
fn response(id: &str, refused: bool) -> String {
    let body = format!("for {id}");
    let (status, mark) = if refused { ("503 full", "x-not-run: 1\r\n") } else { ("200 OK", "") };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\n{mark}content-length: {length}\r\n\r\n{body}")
}

/// Reads the head of a request and returns its id.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.lines().find_map(|line| line.strip_prefix("x-id: ").map(str::to_owned))
}

/// Serves requests, and responds twice to the first one on each connection. If `refused` is set, that
/// request is refused as not run. All others are run and recorded in `runs`.
async fn serve(mut stream: TcpStream, duplicate: Duplicate, refused: bool, runs: Runs) {
    let mut previous: Option<String> = None;
    while let Some(id) = read_id(&mut stream).await {
        let refuses = refused && previous.is_none();
        if !refuses {
            runs.lock().expect("runs").push(id.clone());
        }
        let mut first = response(&id, refuses);
        if let Some(previous) = previous.replace(id.clone()) {
            if matches!(duplicate, Duplicate::InUse) {
                // The daemon may close the connection because of the duplicate.
                let _ = stream.write_all(response(&previous, refused).as_bytes()).await;
                sleep(Duration::from_millis(30)).await;
            }
        } else if matches!(duplicate, Duplicate::AtOnce) {
            first = first.repeat(2);
        }
        if stream.write_all(first.as_bytes()).await.is_err() {
            return;
        }
        if matches!(duplicate, Duplicate::Idle) {
            sleep(Duration::from_millis(5)).await;
            let _ = stream.write_all(first.as_bytes()).await;
        }
    }
}

/// A daemon with one target that sends duplicates as `duplicate` says.
async fn start_daemon(
    duplicate: Duplicate,
    refused: bool,
    retries: u32,
) -> (RunningStandin, Running, Runs) {
    start_daemon_with_connections(duplicate, refused, retries, SLOTS).await
}

/// Like [`start_daemon`], with a limit on the connections to the target.
async fn start_daemon_with_connections(
    duplicate: Duplicate,
    refused: bool,
    retries: u32,
    connections: u32,
) -> (RunningStandin, Running, Runs) {
    let runs = Runs::default();
    let noted = runs.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, duplicate, refused, noted.clone()));
        }
    });
    let standin = Standin::new().start().await.expect("the stand-in must start");
    let mut tables = support::tables();
    tables.routes.iter_mut().for_each(|route| route.retries = retries);
    publish(standin.addr(), 1, tables).await;
    let dialect = Dialect {
        request_id: Some(HeaderName::from_static("x-id")),
        refused: Some(HeaderName::from_static("x-not-run")),
        ..Dialect::default()
    };
    // The slot of a request whose end was not seen stays in use for a while.
    let target = TargetSettings { slots: SLOTS, connections, ..target("ledger", addr) };
    let settings =
        settings("p1", "portland").with_platform(vec![standin.addr()]).with_target(target);
    let running = Daemon::new(settings).with_dialect(dialect).start().await.expect("a daemon");
    running.wait_version(1).await;
    (standin, running, runs)
}

/// Sends a request that may run only once and returns its status and body, or `None` if the connection
/// failed.
async fn credit(addr: SocketAddr, id: &str) -> Option<(u16, String)> {
    let request = Request::post("/credit").header("host", "kiosk.test").header("x-id", id);
    let request = request.body(Full::from("credit")).expect("request");
    let answer = connect(addr).await.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    Some((status, text(answer).await.ok()?))
}

/// Sends requests and checks that no caller receives the response to another request.
async fn check_duplicates(duplicate: Duplicate) -> Result<()> {
    let (standin, running, _) = start_daemon(duplicate, false, 0).await;
    for n in 0..40 {
        let id = format!("r{n}");
        match credit(running.addrs().callers, &id).await {
            Some((200, body)) => expect_that!(body, eq(&format!("for {id}")), "{duplicate:?}"),
            Some((status, _)) => expect_that!(status, any![eq(502), eq(504)], "{duplicate:?}"),
            None => {}
        }
    }
    running.kill().await;
    standin.close().await;
    Ok(())
}

/// Guards against a duplicate that is taken for the response to the next request on the connection.
#[gtest]
#[tokio::test]
async fn a_duplicate_response_reaches_no_caller() -> Result<()> {
    check_duplicates(Duplicate::AtOnce).await?;
    check_duplicates(Duplicate::Idle).await?;
    check_duplicates(Duplicate::InUse).await
}

/// Guards against a duplicate of a refusal that is taken for a refusal of the next request: the target
/// runs that request, but its caller is told that it was not run.
#[gtest]
#[tokio::test]
async fn a_duplicate_refusal_does_not_apply_to_the_next_request() -> Result<()> {
    let (standin, running, runs) = start_daemon(Duplicate::InUse, true, 0).await;
    let first = credit(running.addrs().callers, "r1").await;
    expect_that!(first.map(|(status, _)| status), some(eq(503)));
    let second = credit(running.addrs().callers, "r2").await;
    expect_that!(runs.lock().expect("runs").as_slice(), elements_are![eq("r2")]);
    expect_that!(second.map(|(status, _)| status), not(some(eq(503))));
    running.kill().await;
    standin.close().await;
    Ok(())
}

/// Guards against a duplicate of a refusal that is taken for a refusal of the next attempt of the same
/// request, whose id the duplicate carries.
#[gtest]
#[tokio::test]
async fn a_duplicate_refusal_does_not_apply_to_the_next_attempt() -> Result<()> {
    let (standin, running, runs) = start_daemon(Duplicate::InUse, true, 2).await;
    let status = credit(running.addrs().callers, "r1").await.map(|(status, _)| status);
    let ran = runs.lock().expect("runs").iter().any(|id| id == "r1");
    expect_that!((status, ran), not(eq((Some(503), true))));
    running.kill().await;
    standin.close().await;
    Ok(())
}

/// Guards against an attempt that waits for a connection until its deadline, because the only one that
/// the target accepts is idle but was used by the previous attempt.
#[gtest]
#[tokio::test]
async fn the_next_attempt_gets_the_only_connection() -> Result<()> {
    let (standin, running, _) = start_daemon_with_connections(Duplicate::InUse, true, 1, 1).await;
    let begin = Instant::now();
    credit(running.addrs().callers, "r1").await;
    expect_that!(begin.elapsed(), lt(Duration::from_secs(3)));
    running.kill().await;
    standin.close().await;
    Ok(())
}
