//! Planned stops: what a daemon accepts until its process ends, and how that ends.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::time::Duration;

use bytes::Bytes;
use dw_daemon::Running;
use dw_fakes::{RunningStandin, Standin};
use dw_tables::Millis;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use support::{Behaviour, RawTarget, connect, get, header, publish, settings, start, target, text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::sleep,
};

/// From the signal to the end of the process.
const GRACE: Millis = Millis::new(1500);

/// How long the daemon accepts new work after the signal.
const DRAIN_DELAY: Millis = Millis::new(600);

/// A moment late in the grace at which the daemon still accepts new work.
const LATE: Duration = Duration::from_millis(300);

/// A response time objective for which too little of the grace is left then.
const LONG: Millis = Millis::new(1700);

/// A response time objective for which enough of it is left.
const SHORT: Millis = Millis::new(100);

/// Two daemons in one failure domain. `near` is stopped; beside it is a target that runs `/lookup`, and beside the other
/// one a target that runs `/credit`.
struct Fleet {
    standin: RunningStandin,
    lookups: RawTarget,
    credits: RawTarget,
    near: Option<Running>,
    far: Running,
}

impl Fleet {
    /// Starts the fleet. Requests have this response time objective and a deadline of 10 s.
    async fn start(objective: Millis) -> Self {
        let standin = Standin::new().start().await.expect("the stand-in must start");
        let mut tables = support::tables();
        tables.routes.iter_mut().for_each(|route| route.objective = objective);
        publish(standin.addr(), 1, tables).await;
        let lookups = RawTarget::start(Behaviour::Hold).await;
        let credits = RawTarget::start(Behaviour::Hold).await;
        let mut near = settings("p1", "portland")
            .with_platform(vec![standin.addr()])
            .with_target(target("tally", lookups.addr))
            .with_grace(GRACE);
        near.drain_delay = DRAIN_DELAY;
        let near = start(near).await;
        let far = settings("p2", "portland")
            .with_platform(vec![standin.addr()])
            .with_target(target("ledger", credits.addr))
            .with_join(vec![near.addrs().peers]);
        let far = start(far).await;
        for daemon in [&near, &far] {
            daemon.wait_version(1).await;
            daemon.wait_members(|members| members.len() == 2).await;
        }
        Self { standin, lookups, credits, near: Some(near), far }
    }

    /// A connection of a caller to the daemon that will be stopped.
    async fn connect_near(&self) -> SendRequest<Full<Bytes>> {
        connect(self.near.as_ref().expect("a running daemon").addrs().callers).await
    }

    /// Stops the daemon as a signal does; its process ends afterwards.
    fn stop_near(&mut self) -> JoinHandle<()> {
        tokio::spawn(self.near.take().expect("a running daemon").close())
    }

    async fn close(self, stopped: JoinHandle<()>) {
        stopped.await.expect("the daemon must stop");
        self.far.kill().await;
        self.standin.close().await;
    }
}

/// A request that may run only once.
fn credit() -> http::request::Builder {
    Request::post("/credit").header("host", "kiosk.test")
}

/// Sends a request late in the grace, on a connection that was opened before.
async fn send_late(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>> {
    sleep(LATE).await;
    Ok(sender.send_request(request).await?)
}

/// Guards against a request that is taken late in the grace although it cannot be expected to end before the process does,
/// and is then cut off without a response.
#[gtest]
#[tokio::test]
async fn a_request_that_cannot_end_in_time_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(LONG).await;
    let sender = fleet.connect_near().await;
    let stopped = fleet.stop_near();
    let response = send_late(sender, credit().body(Full::default())?).await?;
    expect_that!(header(&response, "damaskwick-reason"), eq("draining"));
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(fleet.credits.count(), eq(0));
    fleet.close(stopped).await;
    Ok(())
}

/// Guards against a request that is taken late in the grace, takes much longer than usual, and is cut off without a
/// response.
#[gtest]
#[tokio::test]
async fn a_request_that_takes_too_long_gets_a_response() -> Result<()> {
    let mut fleet = Fleet::start(SHORT).await;
    let sender = fleet.connect_near().await;
    let stopped = fleet.stop_near();
    let response = send_late(sender, credit().body(Full::default())?).await?;
    expect_that!(response.status().as_u16(), eq(504));
    expect_that!(header(&response, "damaskwick-outcome"), eq("unknown"));
    expect_that!(text(response).await, ok(anything()));
    expect_that!(fleet.credits.count(), eq(1));
    fleet.close(stopped).await;
    Ok(())
}

/// Guards against a request from a peer that is taken late in the grace and then lost with the connection between the daemons,
/// although the peer could have sent it to another target.
#[gtest]
#[tokio::test]
async fn a_request_of_a_peer_that_may_outlast_the_process_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(SHORT).await;
    let sender = connect(fleet.far.addrs().callers).await;
    let stopped = fleet.stop_near();
    let response = send_late(sender, get("/lookup")).await?;
    expect_that!(header(&response, "damaskwick-reason"), eq("draining"));
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(fleet.lookups.count(), eq(0));
    fleet.close(stopped).await;
    Ok(())
}

/// Guards against a nested call, which a draining daemon still accepts, that is passed on although the process ends before
/// it does.
#[gtest]
#[tokio::test]
async fn a_nested_call_that_cannot_end_in_time_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(LONG).await;
    let sender = fleet.connect_near().await;
    let stopped = fleet.stop_near();
    sleep(DRAIN_DELAY.into()).await;
    let request = credit().header("damaskwick-depth", "1").body(Full::default())?;
    let response = send_late(sender, request).await?;
    expect_that!(header(&response, "damaskwick-reason"), eq("draining"));
    expect_that!(fleet.credits.count(), eq(0));
    fleet.close(stopped).await;
    Ok(())
}

/// Guards against a request that is passed on although its body ends only after the daemon has begun to refuse new work.
#[gtest]
#[tokio::test]
async fn a_body_that_ends_late_in_the_grace_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(SHORT).await;
    let addr = fleet.near.as_ref().map(Running::addrs).or_fail()?.callers;
    let mut stream = TcpStream::connect(addr).await?;
    let head = "POST /credit HTTP/1.1\r\nhost: kiosk.test\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(format!("{head}12").as_bytes()).await?;
    sleep(LATE).await;
    let stopped = fleet.stop_near();
    sleep(Duration::from(DRAIN_DELAY) + LATE).await;
    stream.write_all(b"34").await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    expect_that!(response, starts_with("HTTP/1.1 503"));
    expect_that!(response, contains_substring("damaskwick-reason: draining"));
    expect_that!(fleet.credits.count(), eq(0));
    fleet.close(stopped).await;
    Ok(())
}
