//! Tests of the program `damaskwickd` as a separate process.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::{net::SocketAddr, process::Stdio};

use dw_fakes::Standin;
use googletest::prelude::*;
use support::{Behaviour, RawTarget, get, header, publish, send};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdout, Command},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_damaskwickd");

async fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).args(args).output().await.expect("the program must run");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

fn write_settings(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file must be written");
    path.to_string_lossy().into_owned()
}

/// A running process with its log and the addresses that it logged.
struct Process {
    child: Child,
    log: BufReader<ChildStdout>,
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Starts a process on free ports; `fields` are additional fields of its settings.
async fn spawn(host: &str, domain: &str, fields: &str) -> Process {
    let free = "127.0.0.1:0";
    let file = write_settings(
        &format!("{domain}-{host}.jsonc"),
        &format!(
            r#"{{"host": "{host}", "domain": "{domain}", "region": "new-england",
            "callers": "{free}", "peers": "{free}", "admin": "{free}", "preset": "verband",
            {fields}}}"#
        ),
    );
    let mut child = Command::new(PROGRAM)
        .args(["--config", &file])
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program must start");
    let mut log = BufReader::new(child.stdout.take().expect("a pipe"));
    let line = wait_line(&mut log, "callers ").await;
    let addr = |name: &str| {
        let (_, rest) = line.split_once(name).expect("an address");
        rest.split([',', '"', '\n']).next().and_then(|text| text.parse().ok()).expect("an address")
    };
    Process { callers: addr("callers "), peers: addr("peers "), child, log }
}

/// Waits for the next line of the log that contains `text`.
async fn wait_line(log: &mut BufReader<ChildStdout>, text: &str) -> String {
    loop {
        let mut line = String::new();
        let size = log.read_line(&mut line).await.expect("the log must be readable");
        assert_ne!(size, 0, "the log ended before {text:?}");
        if line.contains(text) {
            return line;
        }
    }
}

/// Guards against exit codes other than the documented ones, on which scripts rely.
#[gtest]
#[tokio::test]
async fn exits_with_the_documented_codes() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/verband/gva-a.jsonc");
    expect_that!(run(&["--help"]).await.0, some(eq(0)));
    expect_that!(run(&["--version"]).await.0, some(eq(0)));
    expect_that!(run(&["--config", example, "--check"]).await.0, some(eq(0)));
    expect_that!(run(&[]).await.0, some(eq(2)));
    expect_that!(run(&["--colour"]).await.0, some(eq(2)));
    expect_that!(run(&["--config", "/nowhere.jsonc"]).await.0, some(eq(3)));
    let bad = write_settings("bad.jsonc", "{\"host\": 1,\n\"preset\": \"fast\"}");
    let (code, text) = run(&["--config", &bad, "--check"]).await;
    expect_that!(code, some(eq(3)));
    expect_that!(text, contains_substring("bad.jsonc:2"));
    expect_that!(text, contains_substring("\"region\""));
}

/// Guards against a daemon that starts although one of its addresses is in use.
#[gtest]
#[tokio::test]
async fn reports_an_address_that_is_taken() -> Result<()> {
    let taken = std::net::TcpListener::bind("127.0.0.1:0")?;
    let addr = taken.local_addr()?;
    let file = write_settings(
        "taken.jsonc",
        &format!(
            r#"{{"host": "p1", "domain": "d", "region": "r", "callers": "{addr}",
            "peers": "127.0.0.1:0", "admin": "127.0.0.1:0", "join": ["127.0.0.1:9"]}}"#
        ),
    );
    let (code, text) = run(&["--config", &file]).await;
    expect_that!(code, some(eq(4)));
    expect_that!(text, contains_substring("callers"));
    Ok(())
}

/// Guards against a process that loses requests on SIGTERM: it completes those in flight, and a second
/// signal does not interrupt that.
#[gtest]
#[tokio::test]
async fn serves_as_a_process_and_leaves_in_order() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(Behaviour::Hold).await;
    let fields = format!(
        r#""platform": ["{}"], "targets": [{{"service": "tally", "address": "{}", "slots": 4}}]"#,
        standin.addr(),
        raw.addr
    );
    let Process { mut child, mut log, callers, .. } = spawn("p1", "leaving", &fields).await;
    wait_line(&mut log, "version-served version=1").await;
    let pending = tokio::spawn(send(callers, get("/lookup")));
    raw.arrived.notified().await;
    let pid = child.id().or_fail()?.to_string();
    Command::new("kill").args(["-TERM", &pid]).status().await?;
    wait_line(&mut log, " draining ").await;
    Command::new("kill").args(["-TERM", &pid]).status().await?;
    raw.release.notify_one();
    let response = pending.await?;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(header(&response, "damaskwick-outcome"), eq("run"));
    expect_that!(child.wait().await?.code(), some(eq(0)));
    Ok(())
}

/// Guards against daemons that only work together within one process: a request goes through the
/// daemons of the caller and of the target, which are two processes in two domains.
#[gtest]
#[tokio::test]
async fn carries_a_request_across_processes() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(Behaviour::Echo).await;
    let platform = format!(r#""platform": ["{}"]"#, standin.addr());
    let mut near = spawn("p1", "portland", &platform).await;
    let fields = format!(
        r#""join": ["{}"], "targets": [{{"service": "tally", "address": "{}", "slots": 4}}]"#,
        near.peers, raw.addr
    );
    let mut far = spawn("w1", "worcester", &fields).await;
    wait_line(&mut near.log, "version-served version=1").await;
    wait_line(&mut far.log, "version-served version=1").await;
    let response = loop {
        let response = send(near.callers, get("/lookup")).await;
        // The caller's daemon learns of the other member shortly after it serves the version.
        if header(&response, "damaskwick-reason") != "no-target" {
            break response;
        }
    };
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(support::text(response).await?, starts_with("GET /lookup HTTP/1.1"));
    Ok(())
}
