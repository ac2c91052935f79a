//! Tests of the lines that are logged about requests and about the daemon.

mod support;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dw_daemon::{Daemon, LogFormat, LogLevel, LogSettings, Running};
use dw_log::Log;
use googletest::prelude::*;
use http::Request;
use serde_json::Value as Json;
use support::{
    Behaviour, RawTarget, connect, get, header, publish, send, settings, tables, target,
};
use tokio::time::{Instant, sleep};

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// The lines about a request, or those that are about no request.
    fn of(&self, running: &Running, request: Option<&str>) -> Result<Vec<Json>> {
        running.log().flush();
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut matching = Vec::new();
        for line in String::from_utf8(bytes)?.lines() {
            let line: Json = serde_json::from_str(line)?;
            if line["request"].as_str() == request {
                matching.push(line);
            }
        }
        Ok(matching)
    }
}

fn events(lines: &[Json]) -> Vec<&str> {
    lines.iter().filter_map(|line| line["event"].as_str()).collect()
}

/// Waits until the events of a request, or those of no request, satisfy a condition, and returns their
/// lines.
async fn wait_for_events(
    lines: &LogBuffer,
    running: &Running,
    request: Option<&str>,
    condition: impl Fn(&[&str]) -> bool,
) -> Result<Vec<Json>> {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let found = lines.of(running, request)?;
        if condition(&events(&found)) || Instant::now() > deadline {
            return Ok(found);
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a daemon with one target for each service and a captured log.
async fn start_logged(
    behaviour: Behaviour,
) -> Result<(dw_fakes::RunningStandin, RawTarget, Running, LogBuffer)> {
    let standin = dw_fakes::Standin::new().start().await?;
    publish(standin.addr(), 1, tables()).await;
    let raw = RawTarget::start(behaviour).await;
    let lines = LogBuffer::default();
    let level = LogSettings { level: LogLevel::Info, format: LogFormat::Json };
    let log = Log::with_output(level, "p1".into(), lines.clone())?;
    let settings = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("tally", raw.addr))
        .with_target(target("ledger", raw.addr));
    let running = Daemon::new(settings).with_log(log).start().await?;
    running.wait_version(1).await;
    Ok((standin, raw, running, lines))
}

fn request_with_id(path: &str, id: &str) -> Result<Request<http_body_util::Full<bytes::Bytes>>> {
    let mut request = get(path);
    request.headers_mut().insert("x-request-id", id.parse()?);
    Ok(request)
}

/// Guards against a decision about a request that is not logged, and against a line without the values
/// on which the decision was based.
#[gtest]
#[tokio::test]
async fn a_served_request_is_logged_from_the_caller_to_the_target_and_back() -> Result<()> {
    let (_standin, _raw, running, lines) = start_logged(Behaviour::Echo).await?;
    let response = send(running.addrs().callers, request_with_id("/lookup", "r-1")?).await;
    expect_that!(header(&response, "x-request-id"), eq("r-1"));
    let head = support::text(response).await?;
    expect_that!(head, contains_substring("x-request-id: r-1"));

    let found = lines.of(&running, Some("r-1"))?;
    let mut seen = events(&found);
    seen.sort_unstable();
    expect_that!(seen, eq(&vec!["admitted", "answered", "placed", "ran"]));
    let line = |event: &str| found.iter().find(|line| line["event"] == event).cloned();
    let placed = line("placed").unwrap_or_default();
    for (field, value) in [("route", "lookup"), ("service", "tally"), ("target", "p1")] {
        expect_that!(placed[field].as_str(), some(eq(value)));
    }
    for field in ["version", "candidates", "in_flight", "slots", "left_ms", "attempt"] {
        expect_that!(placed[field].as_u64(), some(anything()), "{field}");
    }
    let answered = line("answered").unwrap_or_default();
    expect_that!(answered["status"].as_u64(), some(eq(200)));
    expect_that!(answered["late"].as_bool(), some(eq(false)));
    running.kill().await;
    Ok(())
}

/// Guards against a refusal whose lines do not show the reason or the load of the target.
#[gtest]
#[tokio::test]
async fn a_refusal_names_its_reason_and_the_load_that_led_to_it() -> Result<()> {
    let (_standin, raw, running, lines) = start_logged(Behaviour::Hold).await?;
    let mut pending = Vec::new();
    for number in 0..4 {
        let mut caller = connect(running.addrs().callers).await;
        let request = request_with_id("/lookup", &format!("held-{number}"))?;
        pending.push(tokio::spawn(async move { caller.send_request(request).await }));
        raw.arrived.notified().await;
    }
    let mut request = request_with_id("/lookup", "late-1")?;
    request.headers_mut().insert("damaskwick-timeout-ms", "20".parse()?);
    let response = send(running.addrs().callers, request).await;
    expect_that!(response.status().as_u16(), eq(503));

    let found = lines.of(&running, Some("late-1"))?;
    let turned_away =
        found.iter().find(|line| line["event"] == "turned-away").cloned().unwrap_or_default();
    expect_that!(turned_away["slots"].as_u64(), some(eq(4)));
    expect_that!(turned_away["in_flight"].as_u64(), some(eq(4)));
    expect_that!(turned_away["wait_ms"].as_u64(), some(anything()));
    expect_that!(turned_away["reason"].as_str(), some(eq(header(&response, "damaskwick-reason"))));
    let refused = found.iter().find(|line| line["event"] == "refused").cloned().unwrap_or_default();
    expect_that!(refused["reason"].as_str(), some(eq(header(&response, "damaskwick-reason"))));
    expect_that!(refused["outcome"].as_str(), some(eq("not-run")));
    pending.iter().for_each(tokio::task::JoinHandle::abort);
    running.kill().await;
    Ok(())
}

/// Guards against a caller that disconnects without a line in the log.
#[gtest]
#[tokio::test]
async fn a_caller_that_disconnects_is_logged_on_both_sides() -> Result<()> {
    let (_standin, raw, running, lines) = start_logged(Behaviour::Hold).await?;
    let mut caller = connect(running.addrs().callers).await;
    let request = request_with_id("/lookup", "gone-1")?;
    let pending = tokio::spawn(async move { caller.send_request(request).await });
    raw.arrived.notified().await;
    pending.abort();
    raw.cancelled.notified().await;
    let both = |seen: &[&str]| seen.iter().filter(|event| **event == "cancelled").count() == 2;
    let found = wait_for_events(&lines, &running, Some("gone-1"), both).await?;
    expect_that!(events(&found), contains(eq(&"placed")));
    expect_that!(events(&found), contains(eq(&"admitted")));
    running.kill().await;
    Ok(())
}

/// Guards against an unreachable platform, a new version or the end of the process that is not logged.
#[gtest]
#[tokio::test]
async fn the_daemon_logs_what_it_observes() -> Result<()> {
    let (standin, _raw, running, lines) = start_logged(Behaviour::Echo).await?;
    publish(standin.addr(), 2, tables()).await;
    running.wait_version(2).await;
    standin.close().await;
    wait_for_events(&lines, &running, None, |seen| seen.contains(&"store-lost")).await?;
    running.drain().await;

    let found = lines.of(&running, None)?;
    let seen = events(&found);
    for event in ["started", "member-changed", "version-served", "draining", "stopped"] {
        expect_that!(seen, contains(eq(&event)), "{event}");
    }
    let versions: Vec<_> = found
        .iter()
        .filter(|line| line["event"] == "version-served")
        .filter_map(|line| line["version"].as_u64())
        .collect();
    expect_that!(versions, eq(&vec![1, 2]));
    running.kill().await;
    Ok(())
}

/// Guards against a request that cannot be traced because its caller sent no id.
#[gtest]
#[tokio::test]
async fn a_request_without_an_id_gets_one() -> Result<()> {
    let (_standin, _raw, running, lines) = start_logged(Behaviour::Echo).await?;
    let response = send(running.addrs().callers, get("/lookup")).await;
    let id = header(&response, "x-request-id").to_owned();
    expect_that!(id.len(), eq(16));
    expect_that!(support::text(response).await?, contains_substring(format!("x-request-id: {id}")));
    expect_that!(lines.of(&running, Some(&id))?, len(eq(4)));
    running.kill().await;
    Ok(())
}
