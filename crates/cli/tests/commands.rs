//! The commands other than `apply`, `explain` and `demo`, the command line, and the admin client.

#![allow(clippy::expect_used)]

mod common;

use std::convert::Infallible;

use bytes::Bytes;
use common::{FakeAdmin, MemoryPlatform, empty_dir, run_tool, write_tables};
use dw_cli::{
    Admin, Console, DaemonStatus, DomainStatus, Exit, HttpAdmin, RefusedHead, ServedVersion, State,
};
use googletest::prelude::*;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

const PLATFORM: &str = "--platform 192.0.2.1:2379";

fn status(state: State, number: u64) -> DaemonStatus {
    let version = ServedVersion { number, hash: "00".to_owned() };
    DaemonStatus { state, version, host: "host-a".to_owned(), ..DaemonStatus::default() }
}

/// Guards against an exit code that is not documented, and against usage errors with exit code 0.
#[gtest]
#[tokio::test(start_paused = true)]
async fn help_lists_exit_codes() {
    let (platform, daemons) = (MemoryPlatform::default(), FakeAdmin::default());
    for line in ["--help", "apply --help", "watch -h"] {
        let (exit, text) = run_tool(&platform, &daemons, "", line).await;
        expect_that!(exit, eq(Exit::Ok));
        for exit in Exit::ALL {
            let row = format!("  {}  {}\n", exit.code(), exit.meaning());
            expect_that!(text, contains_substring(row));
        }
    }
    let (_, text) = run_tool(&platform, &daemons, "", "status --daemon localhost:7003").await;
    expect_that!(
        text,
        contains_substring("is not an IP address and a port, such as 127.0.0.1:2379")
    );
    let (_, text) = run_tool(&platform, &daemons, "", "demo --deployment x").await;
    expect_that!(text, contains_substring("accepted: cooperative, verband"));
    for line in [
        "",
        "aply",
        "apply",
        "apply --base x",
        "watch --version 1 --limit 5",
        "history",
        "demo --deployment x",
    ] {
        let (exit, text) = run_tool(&platform, &daemons, "", line).await;
        expect_that!(exit, eq(Exit::Usage), "{line}: {text}");
    }
}

/// Guards against exit code 0 if the result could not be written.
#[gtest]
fn unwritten_result_is_an_unknown_outcome() {
    let full = || -> Box<&mut [u8]> { Box::default() };
    let mut console = Console::new(true, full(), full());
    expect_that!(console.finish(Ok(serde_json::json!({}))), eq(Exit::Unknown));
}

/// Guards against tables that are refused without all findings, or with the wrong exit code.
#[gtest]
#[tokio::test(start_paused = true)]
async fn check_lists_findings() {
    let (platform, daemons) = (MemoryPlatform::default(), FakeAdmin::default());
    let dir = write_tables("check", "1s", "0s");
    std::fs::write(format!("{dir}/pools.jsonc"), "{ \"pools\": [] }").expect("pools");
    let (exit, text) = run_tool(&platform, &daemons, "", &format!("check --tables {dir}")).await;
    expect_that!(exit, eq(Exit::Refused));
    expect_that!(text, contains_substring("routes.jsonc:2: row 1: \"credit\": pool \"ledger\""));
    expect_that!(text, ends_with("tables refused: 3 findings\n"));
    let (exit, text) =
        run_tool(&platform, &daemons, "", &format!("check --json --tables {dir}")).await;
    expect_that!(exit, eq(Exit::Refused));
    let json: serde_json::Value = serde_json::from_str(&text).expect("one object");
    expect_that!(json["exit"], eq(&serde_json::json!(3)));
    expect_that!(json["findings"].as_array(), some(len(eq(3))));
}

/// Guards against a `get --out` that overwrites an edit, and against tables that change when they
/// are written to the platform and read back.
#[gtest]
#[tokio::test(start_paused = true)]
async fn get_writes_tables_once() {
    let (platform, daemons) = (MemoryPlatform::default(), FakeAdmin::default());
    let dir = write_tables("get", "1s", "2s");
    run_tool(&platform, &daemons, "c1", &format!("apply --base 0 --tables {dir} {PLATFORM}")).await;
    let out = empty_dir("get-out");
    let line = format!("get --out {} {PLATFORM}", out.display());
    expect_that!(run_tool(&platform, &daemons, "", &line).await.0, eq(Exit::Ok));
    expect_that!(run_tool(&platform, &daemons, "", &line).await.0, eq(Exit::Failed));
    let line = format!("diff --json --tables {} {PLATFORM}", out.display());
    let (_, text) = run_tool(&platform, &daemons, "", &line).await;
    expect_that!(text, eq("{\"base\":1,\"changes\":[],\"exit\":0,\"head\":1}\n"));
    let (exit, text) = run_tool(&platform, &daemons, "", &format!("history {PLATFORM}")).await;
    expect_that!(exit, eq(Exit::Ok));
    expect_that!(text, starts_with("version 1  Sun, 09 Sep 2001 01:46:40 GMT  by ada  change c1"));
    let (exit, _) = run_tool(&platform, &daemons, "", &format!("get --version 7 {PLATFORM}")).await;
    expect_that!(exit, eq(Exit::Failed));
}

/// Guards against exit code 0 while a version is not in force, and against a `watch` that does not
/// notice when it is.
#[gtest]
#[tokio::test(start_paused = true)]
async fn watch_tells_whether_the_version_is_in_force() {
    let platform = MemoryPlatform::default();
    let line = "watch --version 3 --limit 1s --daemon 192.0.2.2:80";
    let done = [State::Spreading, State::Unknown, State::InForce].map(|state| status(state, 3));
    let (exit, text) = run_tool(&platform, &FakeAdmin::new(done), "", line).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    expect_that!(text, ends_with("version 3 is in force everywhere\n"));
    let behind = DomainStatus { behind: vec!["host-b".to_owned()], ..DomainStatus::default() };
    let refused = RefusedHead { number: 3, reason: "fork".to_owned(), ..RefusedHead::default() };
    for late in [
        vec![status(State::InForce, 2)],
        vec![status(State::Behind, 3)],
        vec![DaemonStatus { domains: vec![behind], ..status(State::InForce, 3) }],
        vec![DaemonStatus { refused: vec![refused], ..status(State::Refused, 2) }],
        vec![],
    ] {
        let (exit, text) = run_tool(&platform, &FakeAdmin::new(late), "", line).await;
        expect_that!(exit, eq(Exit::NotInForce), "{text}");
        expect_that!(text, contains_substring("version 3 is not known to be in force everywhere"));
    }
}

/// Guards against a status that does not name the hosts that are behind, and against exit code 0
/// if a daemon did not answer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn status_names_hosts() {
    let platform = MemoryPlatform::default();
    let domain = DomainStatus {
        domain: "portland".to_owned(),
        members: 5,
        applied: 4,
        behind: vec!["host-b".to_owned()],
        ..DomainStatus::default()
    };
    let daemons =
        FakeAdmin::new([DaemonStatus { domains: vec![domain], ..status(State::Behind, 3) }]);
    let line = "status --daemon 192.0.2.2:80";
    let (exit, text) = run_tool(&platform, &daemons, "", line).await;
    expect_that!(exit, eq(Exit::Ok));
    expect_that!(text, contains_substring("  portland: unknown, 4 of 5 members"));
    expect_that!(text, contains_substring("    behind: host-b\n"));
    let (exit, _) = run_tool(&platform, &FakeAdmin::default(), "", line).await;
    expect_that!(exit, eq(Exit::Failed));
}

const DOCUMENT: &str = r#"{ "host": "host-a", "domain": "portland", "state": "in-force",
    "version": {"number": 3, "hash": "ab"}, "later": true,
    "domains": [{"domain": "portland", "state": "in-force", "members": 5, "applied": 5,
        "behind": [], "unreachable": [], "highest": 3}, {"domain": "hartford",
        "state": "added-later", "members": 5, "applied": 4, "behind": ["host-b"],
        "unreachable": ["host-c"], "highest": 2}],
    "refused": [{"number": 2, "hash": "cd", "reason": "fork"}] }"#;

/// Guards against a status document that is misread, and against an unknown state of a newer daemon
/// that counts as in force.
#[gtest]
#[tokio::test]
async fn status_is_read_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    let answer = |request: Request<Incoming>| async move {
        let text = if request.uri().path() == "/status" { DOCUMENT } else { "{}" };
        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(text.as_bytes()))))
    };
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("connection");
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await
    });
    let status = HttpAdmin.status(addr).await.expect("status");
    expect_that!(status.domains[1].state, eq(State::Unknown));
    expect_that!(status.highest(), eq(3));
    expect_that!(status.in_force(3), eq(false));
    expect_that!(server.await.is_ok(), eq(true));
    // The listener is closed with the server task.
    expect_that!(HttpAdmin.status(addr).await.is_err(), eq(true));
}
