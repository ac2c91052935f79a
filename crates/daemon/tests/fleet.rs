//! Tests of several daemons over real sockets.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use bytes::Bytes;
use dw_daemon::Running;
use dw_fakes::{RunningStandin, Standin};
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{
    Behaviour, RawTarget, connect, get, header, publish, send, send_once, settings, start, target,
};
use tokio::net::TcpStream;

/// Guards against a domain without access to the platform that does not get the version from another
/// domain, and against a request that does not reach a target on another daemon's host.
#[gtest]
#[tokio::test]
async fn spreads_a_version_to_a_domain_without_the_platform() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(Behaviour::Echo).await;
    let near = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    let far = settings("w1", "worcester")
        .with_join(vec![near.addrs().peers])
        .with_target(target("tally", raw.addr))
        .with_target(target("ledger", raw.addr));
    let far = start(far).await;
    far.wait_version(1).await;
    expect_that!(far.served(), eq(near.served()));
    expect_that!(far.counters().platform_calls(), eq(0));

    near.wait_members(|members| members.get("worcester", "w1").is_some()).await;
    let response = send(near.addrs().callers, get("/lookup")).await;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(header(&response, "damaskwick-outcome"), eq("run"));
    expect_that!(support::text(response).await?, starts_with("GET /lookup HTTP/1.1"));

    publish(standin.addr(), 2, support::tables()).await;
    far.wait_version(2).await;
    expect_that!(far.counters().control_bytes(), gt(0));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a response body that ends early and is relayed between two daemons as complete
/// (P4).
#[gtest]
#[tokio::test]
async fn does_not_complete_a_truncated_body_across_daemons() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let near = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    near.wait_version(1).await;
    for (host, behaviour) in [("p2", Behaviour::Truncate), ("p3", Behaviour::TruncateChunked)] {
        let raw = RawTarget::start(behaviour).await;
        let beside = settings(host, "portland")
            .with_join(vec![near.addrs().peers])
            .with_target(target("tally", raw.addr));
        let beside = start(beside).await;
        near.wait_members(|members| members.get("portland", host).is_some()).await;
        // Whether the head was flushed before the body failed depends on timing.
        expect_that!(support::fetch(near.addrs().callers, get("/lookup")).await, err(anything()));
        expect_that!(raw.count(), eq(1));
        beside.close().await;
    }
    near.kill().await;
    Ok(())
}

/// Guards against a key that runs twice because two daemons act as its keeper (P6).
#[gtest]
#[tokio::test]
async fn runs_a_key_once_whichever_daemon_is_asked() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(Behaviour::Echo).await;
    let first = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("ledger", raw.addr));
    let first = start(first).await;
    first.wait_version(1).await;
    let second = start(settings("p2", "portland").with_join(vec![first.addrs().peers])).await;
    second.wait_version(1).await;
    second.wait_members(|members| members.get("portland", "p1").is_some()).await;
    first.wait_members(|members| members.get("portland", "p2").is_some()).await;
    for key in 0..8 {
        let key = format!("k{key}");
        let one = send_once(first.addrs().callers, &key).await;
        let two = send_once(second.addrs().callers, &key).await;
        expect_that!(one.status().as_u16(), eq(200));
        expect_that!(two.status().as_u16(), eq(200));
        expect_that!(support::text(one).await?, eq(&support::text(two).await?));
    }
    expect_that!(raw.count(), eq(8));
    first.kill().await;
    second.kill().await;
    Ok(())
}

/// Guards against a target on another daemon's host that keeps working for a caller that has
/// disconnected.
#[gtest]
#[tokio::test]
async fn cancels_the_target_beside_another_daemon() -> Result<()> {
    let (_standin, near, _far, raw) = pair(Behaviour::Hold).await;
    let mut caller = connect(near.addrs().callers).await;
    let pending = tokio::spawn(async move { caller.send_request(get("/lookup")).await });
    raw.arrived.notified().await;
    pending.abort();
    raw.cancelled.notified().await;
    Ok(())
}

/// Guards against a large request body that is truncated, changed or delayed in transit.
#[gtest]
#[tokio::test]
async fn streams_a_body_that_is_too_large_to_keep() -> Result<()> {
    let (_standin, near, _far, raw) = pair(Behaviour::Echo).await;
    let body = vec![b'x'; 3_000_000];
    let request = Request::post("/lookup").header("host", "kiosk.test");
    let response = send(near.addrs().callers, request.body(Full::from(body))?).await;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(support::text(response).await?, contains_substring("content-length: 3000000"));
    expect_that!(raw.count(), eq(1));
    Ok(())
}

/// Guards against responses over HTTP/2 that differ from those over HTTP/1.1, and against a stream reset
/// that a caller takes for the end of a body (P4).
#[gtest]
#[tokio::test]
async fn serves_callers_over_http2() -> Result<()> {
    for (behaviour, complete) in [(Behaviour::Echo, true), (Behaviour::TruncateChunked, false)] {
        let (_standin, near, _far, _raw) = pair(behaviour).await;
        let stream = TcpStream::connect(near.addrs().callers).await?;
        let (mut sender, conn) =
            http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
        tokio::spawn(conn);
        let request = Request::get("http://kiosk.test/lookup").body(Full::<Bytes>::default())?;
        let result = async {
            let response = sender.send_request(request).await?;
            support::text(response).await
        };
        expect_that!(result.await.is_ok(), eq(complete));
    }
    Ok(())
}

/// Starts a daemon without targets and one with a target, in two domains.
async fn pair(behaviour: Behaviour) -> (RunningStandin, Running, Running, RawTarget) {
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(behaviour).await;
    let near = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    let far = settings("w1", "worcester")
        .with_join(vec![near.addrs().peers])
        .with_target(target("tally", raw.addr));
    let far = start(far).await;
    far.wait_version(1).await;
    near.wait_members(|members| members.get("worcester", "w1").is_some()).await;
    (standin, near, far, raw)
}
