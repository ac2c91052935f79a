//! Tests of the admin API over real sockets.

mod support;

use dw_mesh::MemberTable;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use support::{Behaviour, fetch, get, header, send, served, settings, start};

/// How many targets are announced to the fleet as draining.
fn draining(members: &MemberTable) -> usize {
    members.iter().flat_map(|m| &m.targets).filter(|target| target.draining).count()
}

/// Guards against responses of the API that differ from what the daemon serves and does.
#[gtest]
#[tokio::test]
async fn shows_what_the_daemon_serves_and_does() -> Result<()> {
    let (_standin, _raw, running) = served(Behaviour::Echo).await;
    let addrs = running.addrs();
    send(addrs.callers, get("/lookup")).await;
    send(addrs.callers, get("/nowhere")).await;
    let json = async |path| -> Result<Value> {
        Ok(serde_json::from_str(&fetch(addrs.admin, get(path)).await?)?)
    };
    let version_id = json!({"number": 1, "hash": running.served().hash.to_string()});
    expect_that!(json("/version").await?, eq(&json!({"held": version_id, "served": version_id})));
    expect_that!(json("/tables").await?["pools"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(json("/members").await?["members"][0]["host"], eq("p1"));
    expect_that!(json("/limits").await?["targets"][0]["slots"], eq(&json!(4)));
    expect_that!(json("/reasons").await?["no-route"]["refused"], eq(&json!(1)));
    expect_that!(json("/status").await?["version"], eq(&version_id));
    let metrics = fetch(addrs.admin, get("/metrics")).await?;
    for line in [
        "damaskwick_version_served 1",
        "damaskwick_requests_total{outcome=\"run\"} 1",
        "damaskwick_requests_total{outcome=\"not-run\"} 1",
        "damaskwick_refusals_total{reason=\"no-route\"} 1",
        "damaskwick_refusals_total{reason=\"queue-full\"} 0",
        "damaskwick_platform_calls_total{call=\"watch\"} 1",
        "damaskwick_request_seconds_count 2",
    ] {
        expect_that!(metrics, contains_substring(line));
    }
    expect_that!(fetch(addrs.admin, get("/healthz")).await?, eq("ok\n"));
    expect_that!(send(addrs.admin, get("/readyz")).await.status().as_u16(), eq(200));
    expect_that!(send(addrs.admin, get("/nowhere")).await.status().as_u16(), eq(404));
    running.kill().await;
    Ok(())
}

/// Guards against a daemon that reports ready without tables, and against refusals for that reason
/// that do not count as not run.
#[gtest]
#[tokio::test]
async fn is_not_ready_without_a_version() {
    let running = start(settings("p1", "portland")).await;
    let addrs = running.addrs();
    expect_that!(send(addrs.admin, get("/readyz")).await.status().as_u16(), eq(503));
    let response = send(addrs.callers, get("/lookup")).await;
    expect_that!(response.status().as_u16(), eq(503));
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(header(&response, "damaskwick-reason"), eq("not-ready"));
    running.kill().await;
}

/// Guards against a target that is drained on its own and still receives work (P7).
#[gtest]
#[tokio::test]
async fn drains_one_target_and_takes_it_back() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Echo).await;
    let addrs = running.addrs();
    let drain = |method: &str| {
        Request::builder().method(method).uri("/targets/0/drain").header("host", "admin")
    };
    let put = drain("PUT").body(Full::default())?;
    expect_that!(send(addrs.admin, put).await.status().as_u16(), eq(200));
    running.wait_members(|m| draining(m) == 1).await;
    let response = send(addrs.callers, get("/lookup")).await;
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(raw.count(), eq(0));
    let delete = drain("DELETE").body(Full::default())?;
    expect_that!(send(addrs.admin, delete).await.status().as_u16(), eq(200));
    running.wait_members(|m| draining(m) == 0).await;
    let response = send(addrs.callers, get("/lookup")).await;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(header(&response, "damaskwick-reason"), eq(""));
    running.kill().await;
    Ok(())
}

/// Guards against a target that receives work after it announced that it is leaving, and against one
/// that an operator cannot put back into service after it has restarted.
#[gtest]
#[tokio::test]
async fn a_target_that_said_it_leaves_is_taken_back_by_the_operator() -> Result<()> {
    let (_standin, raw, running) = served(Behaviour::Leave).await;
    let addrs = running.addrs();
    send(addrs.callers, get("/lookup")).await;
    running.wait_members(|m| draining(m) == 1).await;
    let response = send(addrs.callers, get("/lookup")).await;
    expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
    expect_that!(raw.count(), eq(1));
    let delete =
        Request::builder().method("DELETE").uri("/targets/0/drain").header("host", "admin");
    send(addrs.admin, delete.body(Full::default())?).await;
    running.wait_members(|m| draining(m) == 0).await;
    let response = send(addrs.callers, get("/lookup")).await;
    expect_that!(response.status().as_u16(), eq(200));
    running.kill().await;
    Ok(())
}

/// Guards against errors from a nested call that lower the limit of each target along the call chain
/// as if it shed load, and against load shedding that does not lower the limit.
#[gtest]
#[tokio::test]
async fn only_shedding_lowers_the_limit() -> Result<()> {
    for (behaviour, lowered) in [(Behaviour::Fail, false), (Behaviour::Shed, true)] {
        let (_standin, _raw, running) = served(behaviour).await;
        let addrs = running.addrs();
        for _ in 0..3 {
            let response = send(addrs.callers, get("/lookup")).await;
            expect_that!(response.status().as_u16(), eq(503));
            expect_that!(header(&response, "damaskwick-outcome"), eq("run"));
        }
        let limits: Value = serde_json::from_str(&fetch(addrs.admin, get("/limits")).await?)?;
        let slots = limits["targets"][0]["slots"].as_u64().unwrap_or_default();
        expect_that!(slots < 4, eq(lowered), "{slots} slots");
        running.kill().await;
    }
    Ok(())
}
