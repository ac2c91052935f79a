//! Keys of workspaces over real sockets.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dw_daemon::{Daemon, LogFormat, LogLevel, LogSettings, Running};
use dw_fakes::{RunningStandin, Standin};
use dw_log::Log;
use dw_tables::{KeyHash, Tables, parse_routes, parse_workspaces};
use googletest::prelude::*;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use support::{
    Behaviour, RawTarget, connect, get, header, post, publish, send, send_new, settings, start,
    target,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

/// Headers that are added to a request.
type Headers<'a> = &'a [(&'static str, &'a [u8])];

const ROUTES: &str = r#"{"routes": [
  {"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally", "repeat": "idempotent",
   "deadline": "10s"},
  {"name": "open", "match": {"path": "/open"}, "pool": "tally", "repeat": "idempotent",
   "deadline": "10s", "public": true},
  {"name": "credit", "match": {"path": "/credit"}, "pool": "ledger", "repeat": "once",
   "deadline": "10s"}
]}"#;

/// The tables with workspaces that have these names and keys.
fn tables(workspaces: &[(&str, &[&str])]) -> Tables {
    let hash = |key: &&str| KeyHash::of(key.as_bytes()).expect("a key").to_hex();
    let row = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(hash).collect();
        format!(r#"{{"name": "{name}", "keys": {keys:?}, "priority": 2, "rate": 5.5}}"#)
    };
    let rows: Vec<String> = workspaces.iter().map(row).collect();
    let text = format!(r#"{{"workspaces": [{}]}}"#, rows.join(","));
    Tables {
        routes: parse_routes("routes", ROUTES).expect("routes"),
        workspaces: parse_workspaces("workspaces", &text).expect("workspaces"),
        ..support::tables()
    }
}

/// Collects log lines.
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
    fn text(&self, running: &Running) -> String {
        running.log().flush();
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

fn two_workspaces() -> Tables {
    tables(&[("harbour", &["key-h1", "key-h2"]), ("quarry", &["key-q1"])])
}

/// Starts a daemon without targets and one with targets, in two domains.
async fn pair(tables: Tables) -> (RunningStandin, Running, Running, RawTarget) {
    pair_in(tables, "worcester").await
}

/// Starts a daemon without targets, and one with targets in the domain `far`.
async fn pair_in(tables: Tables, far: &str) -> (RunningStandin, Running, Running, RawTarget) {
    let domain = far;
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, tables).await;
    let raw = RawTarget::start(Behaviour::Echo).await;
    let near = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    let far = settings("w1", domain)
        .with_join(vec![near.addrs().peers])
        .with_target(target("tally", raw.addr))
        .with_target(target("ledger", raw.addr));
    let far = start(far).await;
    near.wait_version(1).await;
    far.wait_version(1).await;
    near.wait_members(|members| members.get(domain, "w1").is_some()).await;
    far.wait_members(|members| members.get("portland", "p1").is_some()).await;
    (standin, near, far, raw)
}

fn with(mut request: Request<Full<Bytes>>, headers: Headers<'_>) -> Request<Full<Bytes>> {
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value).expect("a header value");
        request.headers_mut().append(*name, value);
    }
    request
}

/// The head that the target received, in lower case.
async fn seen(response: Response<Incoming>) -> String {
    assert_eq!(response.status().as_u16(), 200);
    support::text(response).await.expect("a body").to_lowercase()
}

/// Guards against a key that reaches a target, and against a target that receives no workspace or the
/// one that the caller claims; beside the first daemon and over the connection to another one.
#[gtest]
#[tokio::test]
async fn the_target_sees_the_workspace_and_no_key() -> Result<()> {
    let (_standin, near, far, raw) = pair(two_workspaces()).await;
    for daemon in [&near, &far] {
        for (key, name) in [
            ("Bearer key-h1", "harbour"),
            ("bEARER  key-h2", "harbour"),
            ("bearer key-q1", "quarry"),
        ] {
            let claim = ("damaskwick-workspace", "forged".as_bytes());
            let request = with(get("/lookup"), &[("authorization", key.as_bytes()), claim]);
            let head = seen(send(daemon.addrs().callers, request).await).await;
            expect_that!(head, contains_substring(format!("damaskwick-workspace: {name}\r\n")));
            expect_that!(head.matches("damaskwick-workspace").count(), eq(1));
            expect_that!(head, not(contains_substring("authorization")));
            expect_that!(head, not(contains_substring("key-")));
            expect_that!(head, not(contains_substring("forged")));
        }
    }
    expect_that!(raw.count(), eq(6));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a request without a valid key that runs, and against a refusal that doesn't say
/// that it was not run.
#[gtest]
#[tokio::test]
async fn requests_without_a_valid_key_are_refused() -> Result<()> {
    let (_standin, near, far, raw) = pair(two_workspaces()).await;
    let long = format!("Bearer {}", "k".repeat(8192));
    let one = ("authorization", "Bearer key-h1".as_bytes());
    let cases: [(&str, Headers<'_>); 14] = [
        ("key-missing", &[]),
        ("key-missing", &[("x-api-key", b"key-h1")]),
        ("key-missing", &[("authorization", b"Basic key-h1")]),
        ("key-missing", &[("authorization", b"key-h1")]),
        ("key-missing", &[("damaskwick-workspace", b"harbour")]),
        ("key-unknown", &[("authorization", b"Bearer key-h3")]),
        ("key-unknown", &[("authorization", b"Bearer KEY-H1")]),
        ("key-unknown", &[("authorization", b"Bearer key-h1 ")]),
        ("key-unknown", &[("authorization", b"Bearer key-h1, key-h2")]),
        ("key-unknown", &[("authorization", b"Bearer")]),
        ("key-unknown", &[("authorization", b"Bearer key-h1\xc3\xa9")]),
        ("key-unknown", &[("authorization", b"Basic eHk6eno, Bearer key-h1")]),
        ("key-unknown", &[one, one]),
        ("key-unknown", &[("authorization", long.as_bytes())]),
    ];
    for (reason, headers) in cases {
        let trimmed = headers.iter().any(|(_, value)| value.ends_with(b" "));
        let response = send(near.addrs().callers, with(get("/lookup"), headers)).await;
        if trimmed {
            // HTTP/1.1 removes white space around a value, so that this is a valid key.
            expect_that!(response.status().as_u16(), eq(200));
            continue;
        }
        expect_that!(response.status().as_u16(), eq(401), "{headers:?}");
        expect_that!(header(&response, "www-authenticate"), eq("Bearer"));
        expect_that!(header(&response, "damaskwick-outcome"), eq("not-run"));
        expect_that!(header(&response, "damaskwick-reason"), eq(reason), "{headers:?}");
        expect_that!(header(&response, "retry-after"), eq(""));
        expect_that!(support::text(response).await?, not(contains_substring("key-h")));
    }
    // A caller that claims to be a target's call needs a key like any other.
    let nested = with(get("/lookup"), &[("damaskwick-depth", b"1")]);
    expect_that!(send(near.addrs().callers, nested).await.status().as_u16(), eq(401));
    expect_that!(send(near.addrs().callers, get("/nowhere")).await.status().as_u16(), eq(404));
    expect_that!(raw.count(), eq(1));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a public route that refuses requests, or passes on an unknown key.
#[gtest]
#[tokio::test]
async fn public_routes_need_no_key() -> Result<()> {
    let (_standin, near, far, _raw) = pair(two_workspaces()).await;
    let addr = near.addrs().callers;
    let claim = ("damaskwick-workspace", "forged".as_bytes());
    let unknown = ("authorization", "Bearer key-h3".as_bytes());
    let cases: [(Headers<'_>, &str, &str); 6] = [
        (&[claim], "", ""),
        (&[claim, ("authorization", b"Bearer key-q1")], "quarry", ""),
        (&[claim, unknown], "", ""),
        (&[unknown, unknown], "", ""),
        (&[("authorization", b"Basic eHk6eno")], "", "basic ehk6eno"),
        (&[("damaskwick-depth", b"1")], "", ""),
    ];
    for (headers, workspace, authorization) in cases {
        let head = seen(send(addr, with(get("/open"), headers)).await).await;
        let value = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
            line.unwrap_or_default().to_owned()
        };
        expect_that!(value("damaskwick-workspace"), eq(workspace), "{headers:?}");
        expect_that!(value("authorization"), eq(authorization), "{headers:?}");
        expect_that!(head, not(contains_substring("key-")));
    }
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a removed key that is still valid on a connection which was opened before.
#[gtest]
#[tokio::test]
async fn a_removed_key_ends_with_the_version_on_open_connections() -> Result<()> {
    let (standin, near, far, raw) = pair(two_workspaces()).await;
    let mut caller = connect(near.addrs().callers).await;
    let request = || with(get("/lookup"), &[("authorization", b"Bearer key-h1")]);
    let head = seen(caller.send_request(request()).await?).await;
    expect_that!(head, contains_substring("harbour"));
    publish(standin.addr(), 2, tables(&[("harbour", &["key-h2"])])).await;
    near.wait_version(2).await;
    let response = caller.send_request(request()).await?;
    expect_that!(response.status().as_u16(), eq(401));
    expect_that!(header(&response, "damaskwick-reason"), eq("key-unknown"));
    expect_that!(raw.count(), eq(1));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a request that runs with a removed key because its body arrives after the version
/// that removed the key.
#[gtest]
#[tokio::test]
async fn a_key_removed_while_the_body_arrives_is_refused() -> Result<()> {
    let (standin, near, far, raw) = pair(two_workspaces()).await;
    let mut stream = TcpStream::connect(near.addrs().callers).await?;
    let head = "POST /lookup HTTP/1.1\r\nhost: kiosk.test\r\nauthorization: Bearer key-h1\r\n\
                connection: close\r\ncontent-length: 4\r\n\r\nha";
    stream.write_all(head.as_bytes()).await?;
    // A request on another connection shows that the daemon serves this version.
    let request = with(get("/lookup"), &[("authorization", b"Bearer key-h1")]);
    seen(send(near.addrs().callers, request).await).await;
    publish(standin.addr(), 2, tables(&[("harbour", &["key-h2"])])).await;
    near.wait_version(2).await;
    stream.write_all(b"lf").await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    expect_that!(response, starts_with("HTTP/1.1 401"));
    expect_that!(response, contains_substring("key-unknown"));
    expect_that!(raw.count(), eq(1));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a request that runs twice because its keeper identifies callers by their keys, and
/// against a stored response that another workspace receives.
#[gtest]
#[tokio::test]
async fn keepers_tell_workspaces_apart() -> Result<()> {
    let (_standin, near, far, raw) = pair_in(two_workspaces(), "portland").await;
    for id in ["a", "b", "c", "d"] {
        let request =
            |key: &'static [u8]| move || with(post("/credit", id), &[("authorization", key)]);
        let one = seen(send_new(near.addrs().callers, request(b"Bearer key-h1")).await).await;
        let two = seen(send_new(far.addrs().callers, request(b"Bearer key-h2")).await).await;
        let other = seen(send_new(far.addrs().callers, request(b"Bearer key-q1")).await).await;
        expect_that!(two, eq(&one));
        expect_that!(one, contains_substring("damaskwick-workspace: harbour\r\n"));
        expect_that!(other, contains_substring("damaskwick-workspace: quarry\r\n"));
        for head in [one, other] {
            expect_that!(head.matches("damaskwick-workspace").count(), eq(1));
            expect_that!(head, not(contains_substring("authorization")));
            expect_that!(head, not(contains_substring("key-")));
        }
    }
    expect_that!(raw.count(), eq(8));
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against other headers at the targets of deployments without workspaces.
#[gtest]
#[tokio::test]
async fn without_workspaces_requests_are_forwarded_as_before() -> Result<()> {
    let (_standin, near, far, _raw) = pair(support::tables()).await;
    let headers: Headers<'_> = &[
        ("authorization", b"Bearer key-h1"),
        ("x-request-id", b"r-7"),
        ("damaskwick-workspace", b"forged"),
    ];
    for daemon in [&near, &far] {
        let head = seen(send(daemon.addrs().callers, with(get("/lookup"), headers)).await).await;
        let names: Vec<&str> =
            head.lines().filter_map(|l| l.split_once(": ")).map(|l| l.0).collect();
        let mut names = names.clone();
        names.sort_unstable();
        expect_that!(
            names,
            eq(&[
                "authorization",
                "damaskwick-deadline",
                "damaskwick-depth",
                "damaskwick-retried",
                "damaskwick-timeout-ms",
                "host",
                "x-request-id",
            ])
        );
        expect_that!(head, contains_substring("authorization: bearer key-h1\r\n"));
    }
    near.kill().await;
    far.kill().await;
    Ok(())
}

/// Guards against a key or a hash in the log, whatever becomes of the request.
#[gtest]
#[tokio::test]
async fn no_log_line_shows_a_key() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, two_workspaces()).await;
    let raw = RawTarget::start(Behaviour::Fail).await;
    let lines = LogBuffer::default();
    let level = LogSettings { level: LogLevel::Debug, format: LogFormat::Json };
    let log = Log::with_output(level, "p1".into(), lines.clone())?;
    let settings = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("tally", raw.addr));
    let running = Daemon::new(settings).with_log(log).start().await?;
    running.wait_version(1).await;
    for path in ["/lookup", "/open", "/credit"] {
        for key in ["Bearer key-h1", "Bearer key-h9", "Bearer key-\u{e9}"] {
            let headers = [("authorization", key.as_bytes()), ("x-request-id", b"r-1".as_slice())];
            send(running.addrs().callers, with(get(path), &headers)).await;
        }
    }
    // A version that is refused, because two workspaces share a key, is reported with its findings.
    let mut refused = two_workspaces();
    let shared = refused.workspaces[0].keys[0];
    refused.workspaces[1].keys.push(shared);
    publish(standin.addr(), 2, refused).await;
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut text = lines.text(&running);
    while !text.contains("also belongs to row") && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
        text = lines.text(&running);
    }
    expect_that!(text, contains_substring("key-unknown"));
    expect_that!(text, contains_substring("also belongs to row"));
    for key in ["key-h1", "key-h2", "key-h9", "key-q1", "key-\u{e9}"] {
        expect_that!(text, not(contains_substring(key)));
        if let Ok(hash) = KeyHash::of(key.as_bytes()) {
            expect_that!(text, not(contains_substring(&hash.to_hex()[..8])));
        }
    }
    running.kill().await;
    Ok(())
}

/// Guards against a refusal that its caller loses or that costs it the connection, because the daemon
/// closes the connection on a body which it has not read.
#[gtest]
#[tokio::test]
async fn a_refused_body_leaves_the_connection_usable() -> Result<()> {
    let (_standin, near, far, _raw) = pair(two_workspaces()).await;
    let mut caller = connect(near.addrs().callers).await;
    for _ in 0..3 {
        caller.ready().await?;
        let mut request = post("/lookup", "k");
        *request.body_mut() = Full::from(vec![b'x'; 24_000]);
        let response = caller.send_request(request).await?;
        expect_that!(response.status().as_u16(), eq(401));
        support::text(response).await?;
    }
    near.kill().await;
    far.kill().await;
    Ok(())
}
