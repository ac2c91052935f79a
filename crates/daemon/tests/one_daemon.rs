//! Tests of one daemon over real sockets, with a caller, a target and a stand-in for the platform.

mod support;

use dw_tables::Tables;
use googletest::prelude::*;
use support::{Behaviour, connect, get, header, post, publish, send, send_once, served};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Guards against a version on the platform that is not served, and against a request that does
/// not reach its target or loses its headers.
#[gtest]
#[tokio::test]
async fn carries_a_request_to_the_target_and_back() -> Result<()> {
    let (_standin, _raw, running) = served(Behaviour::Echo).await;
    let mut request = get("/lookup/4711?unsold=1");
    request.headers_mut().insert("connection", "x-hop".parse()?);
    request.headers_mut().insert("x-hop", "1".parse()?);
    request.headers_mut().insert("damaskwick-target", "7".parse()?);
    let response = send(running.addrs().callers, request).await;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(header(&response, "damaskwick-outcome"), eq("run"));
    let head = support::text(response).await?;
    expect_that!(head, starts_with("GET /lookup/4711?unsold=1 HTTP/1.1"));
    expect_that!(head, contains_substring("host: kiosk.test"));
    expect_that!(head, contains_substring("damaskwick-deadline: "));
    expect_that!(head, contains_substring("damaskwick-depth: 1"));
    expect_that!(head, not(contains_substring("x-hop")));
    expect_that!(head, not(contains_substring("damaskwick-target")));
    running.kill().await;
    Ok(())
}

/// Guards against a refusal that does not say that the request was not run.
#[gtest]
#[tokio::test]
async fn refuses_requests_that_match_no_route() {
    let (_standin, raw, running) = served(Behaviour::Echo).await;
    let response = send(running.addrs().callers, get("/nowhere")).await;
    expect_that!(response.status().as_u16(), eq(404));
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(header(&response, "damaskwick-reason"), eq("no-route"));
    expect_that!(raw.count(), eq(0));
    running.kill().await;
}

/// Guards against a body that ends early and is relayed as complete (P4).
#[gtest]
#[tokio::test]
async fn does_not_complete_a_truncated_body() {
    for behaviour in [Behaviour::Truncate, Behaviour::TruncateChunked] {
        let (_standin, _raw, running) = served(behaviour).await;
        // Whether the head was flushed before the body failed depends on timing.
        expect_that!(
            support::fetch(running.addrs().callers, get("/lookup")).await,
            err(anything())
        );
        running.kill().await;
    }
}

/// Guards against a target that keeps working for a caller that has disconnected.
#[gtest]
#[tokio::test]
async fn cancels_the_target_when_the_caller_goes_away() {
    let (_standin, raw, running) = served(Behaviour::Hold).await;
    let mut caller = connect(running.addrs().callers).await;
    let pending = tokio::spawn(async move { caller.send_request(get("/lookup")).await });
    raw.arrived.notified().await;
    pending.abort();
    raw.cancelled.notified().await;
    running.kill().await;
}

/// Guards against running a request twice with the same key (P6), also while the first run is in
/// progress.
#[gtest]
#[tokio::test]
async fn runs_a_key_once() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Hold).await;
    let addr = running.addrs().callers;
    let first = tokio::spawn(send_once(addr, "k1"));
    raw.arrived.notified().await;
    let repeat = send(addr, post("/credit", "k1")).await;
    expect_that!(repeat.status().as_u16(), eq(409));
    expect_that!(header(&repeat, "damaskwick-reason"), eq("in-progress"));
    raw.release.notify_one();
    let first = support::text(first.await?).await?;
    let repeat = send(addr, post("/credit", "k1")).await;
    expect_that!(repeat.status().as_u16(), eq(200));
    expect_that!(support::text(repeat).await?, eq(&first));
    expect_that!(raw.count(), eq(1));
    running.kill().await;
    Ok(())
}

/// Guards against a response that is sent to another caller because both chose the same key (P4).
#[gtest]
#[tokio::test]
async fn keys_of_two_callers_do_not_collide() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Echo).await;
    let addr = running.addrs().callers;
    for credentials in ["Bearer kiosk-1", "Bearer kiosk-2", "Bearer kiosk-1"] {
        let value: http::HeaderValue = credentials.parse()?;
        let request = || {
            let mut request = post("/credit", "k1");
            request.headers_mut().insert("authorization", value.clone());
            request
        };
        let response = support::send_new(addr, request).await;
        expect_that!(response.status().as_u16(), eq(200));
        expect_that!(support::text(response).await?, contains_substring(credentials));
    }
    expect_that!(raw.count(), eq(2));
    running.kill().await;
    Ok(())
}

/// Guards against a drain that interrupts a request in flight (P8), or in which new work is run (P5).
#[gtest]
#[tokio::test]
async fn finishes_what_is_in_flight_and_refuses_the_rest() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Hold).await;
    let addr = running.addrs().callers;
    let first = tokio::spawn(send(addr, get("/lookup")));
    raw.arrived.notified().await;
    let refuse = async {
        loop {
            let response = send(addr, get("/lookup")).await;
            if response.status().as_u16() == 503 {
                return response;
            }
        }
    };
    let ((), response) = tokio::join!(running.drain(), async {
        let response = refuse.await;
        raw.release.notify_one();
        response
    });
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(header(&response, "damaskwick-reason"), eq("draining"));
    let first = first.await?;
    expect_that!(first.status().as_u16(), eq(200));
    expect_that!(raw.count(), eq(1));
    running.close().await;
    Ok(())
}

/// Guards against an invalid version that is applied, even in part (P3).
#[gtest]
#[tokio::test]
async fn keeps_its_version_when_the_next_one_is_bad() -> Result<()> {
    let (standin, _raw, running) = served(Behaviour::Echo).await;
    let good = running.served();
    let broken = Tables { pools: Vec::new(), ..support::tables() };
    publish(standin.addr(), 2, broken).await;
    publish(standin.addr(), 3, support::tables()).await;
    running.wait_version(3).await;
    expect_that!(good.number, eq(1));
    expect_that!(running.served().hash, eq(good.hash));
    running.kill().await;
    Ok(())
}

/// Guards against a key that stays in progress forever because a target stalls in the middle of its
/// response: after the deadline the outcome in the key's record is unknown.
#[gtest]
#[tokio::test]
async fn settles_a_key_whose_response_stalls() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Stall).await;
    let addr = running.addrs().callers;
    loop {
        let mut request = post("/credit", "k1");
        request.headers_mut().insert("damaskwick-timeout-ms", "100".parse()?);
        let response = send(addr, request).await;
        expect_that!(header(&response, "damaskwick-outcome"), eq("unknown"));
        if header(&response, "damaskwick-reason") == "record-unknown" {
            break;
        }
    }
    expect_that!(raw.count(), eq(1));
    running.kill().await;
    Ok(())
}

/// Guards against a caller that stops reading and so holds a slot of the target forever.
#[gtest]
#[tokio::test]
async fn frees_the_slot_of_a_caller_that_stops_reading() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Flood).await;
    let mut stream = TcpStream::connect(running.addrs().callers).await?;
    let request = "GET /lookup HTTP/1.1\r\nhost: kiosk.test\r\ndamaskwick-timeout-ms: 300\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    raw.cancelled.notified().await;
    running.kill().await;
    Ok(())
}
