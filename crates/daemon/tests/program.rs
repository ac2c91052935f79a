//! The program `damaskwickd` as a process of its own.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::process::Stdio;

use dw_fakes::Standin;
use googletest::prelude::*;
use support::{Act, RawTarget, get, header, publish, send};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStderr, Command},
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

/// A process that listens on free ports, with its log.
async fn spawn(name: &str, platform: &str, target: &str) -> (Child, BufReader<ChildStderr>) {
    let free = "127.0.0.1:0";
    let file = write_settings(
        name,
        &format!(
            r#"{{"host": "p1", "domain": "portland", "region": "new-england",
            "callers": "{free}", "peers": "{free}", "admin": "{free}",
            "platform": ["{platform}"],
            "targets": [{{"service": "tally", "address": "{target}", "slots": 4}}]}}"#
        ),
    );
    let mut child = Command::new(PROGRAM)
        .args(["--config", &file])
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program must start");
    let log = BufReader::new(child.stderr.take().expect("a pipe"));
    (child, log)
}

/// The next line of the log that contains `text`.
async fn wait_line(log: &mut BufReader<ChildStderr>, text: &str) -> String {
    loop {
        let mut line = String::new();
        let size = log.read_line(&mut line).await.expect("the log must be readable");
        assert_ne!(size, 0, "the log ended before {text:?}");
        if line.contains(text) {
            return line;
        }
    }
}

/// Guards against exit codes that scripts cannot rely on.
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

/// Guards against a daemon that reports a start although an address is taken.
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

/// Guards against a process that loses requests on SIGTERM: it finishes what is in flight, and a
/// second signal does not cut that short.
#[gtest]
#[tokio::test]
async fn serves_as_a_process_and_leaves_in_order() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let raw = RawTarget::start(Act::Hold).await;
    let (mut child, mut log) =
        spawn("leave.jsonc", &standin.addr().to_string(), &raw.addr.to_string()).await;
    let line = wait_line(&mut log, "callers ").await;
    let (_, rest) = line.split_once("callers ").or_fail()?;
    let addr = rest.split(',').next().or_fail()?.parse()?;
    wait_line(&mut log, "version 1 is served").await;
    let pending = tokio::spawn(send(addr, get("/lookup")));
    raw.arrived.notified().await;
    let pid = child.id().or_fail()?.to_string();
    Command::new("kill").args(["-TERM", &pid]).status().await?;
    wait_line(&mut log, "leaving").await;
    Command::new("kill").args(["-TERM", &pid]).status().await?;
    raw.release.notify_one();
    let response = pending.await?;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(header(&response, "damaskwick-outcome"), eq("run"));
    expect_that!(child.wait().await?.code(), some(eq(0)));
    Ok(())
}
