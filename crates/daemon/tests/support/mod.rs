//! Helpers of the socket tests: a version on the stand-in, raw targets, callers, and daemons.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use dw_daemon::{Daemon, LogLevel, PresetName, Running, Settings, TargetSettings};
use dw_fakes::{RunningStandin, Standin};
use dw_platform::{Commit, Guard, HttpPlatform, Platform, Put, Txn};
use dw_tables::{
    HEAD_KEY, Hash, Head, MAX_PART_BYTES, Name, Tables, Version, history_key, parse_pools,
    parse_routes, part_key, split_parts,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tokio_util::sync::CancellationToken;

pub(crate) const ROUTES: &str = r#"{"routes": [
  {"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally", "repeat": "idempotent",
   "deadline": "10s"},
  {"name": "credit", "match": {"path": "/credit"}, "pool": "ledger", "repeat": "once",
   "deadline": "10s"}
]}"#;

pub(crate) const POOLS: &str = r#"{"pools": [
  {"name": "tally", "service": "tally"},
  {"name": "ledger", "service": "ledger"}
]}"#;

/// The tables of the tests.
pub(crate) fn tables() -> Tables {
    let routes = parse_routes("routes", ROUTES).expect("routes");
    Tables { routes, pools: parse_pools("pools", POOLS).expect("pools") }
}

/// Writes a version to the platform as `apply` does, and returns it.
pub(crate) async fn publish(addr: SocketAddr, number: u64, tables: Tables) -> Version {
    let version = Version::new(number, tables);
    let platform = HttpPlatform::new(vec![addr]);
    let old = platform.get(HEAD_KEY).await.expect("head");
    let parent = old.as_ref().map(|entry| {
        let head: Head = serde_json::from_slice(&entry.value).expect("head");
        head.hash
    });
    let parts = split_parts(&version.tables.canonical(), MAX_PART_BYTES);
    for (hash, part) in &parts {
        let put = Put { key: part_key(*hash), value: part.clone().into(), lease: None };
        platform.commit(Txn { puts: vec![put], ..Txn::default() }).await.expect("part");
    }
    let head = Head {
        number,
        hash: version.hash,
        parent: parent.unwrap_or(Hash::default()),
        change: Name::new("test"),
        parts: parts.iter().map(|(hash, _)| *hash).collect(),
        author: Name::new("test"),
        time: 0,
    };
    let value = Bytes::from(serde_json::to_vec(&head).expect("head"));
    let put = |key: String| Put { key, value: value.clone(), lease: None };
    let revision = old.map_or(0, |entry| entry.revision);
    let txn = Txn {
        guards: vec![Guard { key: HEAD_KEY.to_owned(), revision }],
        puts: vec![put(HEAD_KEY.to_owned()), put(history_key(number))],
        deletes: Vec::new(),
    };
    let commit = platform.commit(txn).await.expect("commit");
    assert!(matches!(commit, Commit::Done { .. }), "the head changed meanwhile");
    version
}

/// Settings of a quiet daemon on free ports.
pub(crate) fn settings(host: &str, domain: &str) -> Settings {
    Settings::new(host.into(), domain.into(), "region".into())
        .with_preset(PresetName::Verband)
        .with_log(LogLevel::Error)
}

/// A target of a service with 4 slots.
pub(crate) fn target(service: &str, address: SocketAddr) -> TargetSettings {
    TargetSettings { service: service.into(), address, slots: 4, connections: 8 }
}

/// Starts a daemon.
pub(crate) async fn start(settings: Settings) -> Running {
    Daemon::new(settings).start().await.expect("the daemon must start")
}

/// A daemon that serves version 1 and has one target for each service.
pub(crate) async fn served(act: Act) -> (RunningStandin, RawTarget, Running) {
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, tables()).await;
    let raw = RawTarget::start(act).await;
    let settings = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("tally", raw.addr))
        .with_target(target("ledger", raw.addr));
    let running = start(settings).await;
    running.wait_version(1).await;
    (standin, raw, running)
}

/// A connection of a caller.
pub(crate) async fn connect(addr: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(addr).await.expect("connect");
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(conn);
    sender
}

/// Sends one request on a new connection.
pub(crate) async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    connect(addr).await.send_request(request).await.expect("a response")
}

/// The whole body of the response, or the error that ended either.
pub(crate) async fn fetch(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<String, hyper::Error> {
    text(connect(addr).await.send_request(request).await?).await
}

/// A GET request.
pub(crate) fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).header("host", "kiosk.test").body(Full::default()).expect("request")
}

/// A POST request with an idempotency key that is first sent now.
pub(crate) fn post(path: &str, key: &str) -> Request<Full<Bytes>> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let request = Request::post(path).header("host", "kiosk.test").header("idempotency-key", key);
    let request = request.header("damaskwick-first-sent", now.to_string());
    request.body(Full::from("credit")).expect("request")
}

/// Sends a request with a key, and again while the keeper, which has just started, cannot rule out
/// that an earlier one ran the key: until half a second after its start.
pub(crate) async fn send_once(addr: SocketAddr, key: &str) -> Response<Incoming> {
    send_new(addr, || post("/credit", key)).await
}

/// As `send_once`, with a request of the test's own.
pub(crate) async fn send_new(
    addr: SocketAddr,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Response<Incoming> {
    loop {
        let response = send(addr, request()).await;
        if header(&response, "damaskwick-reason") != "record-lost" {
            return response;
        }
    }
}

/// The value of a header, or an empty text.
pub(crate) fn header<'a, B>(response: &'a Response<B>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The whole body as text, or the error that ended it.
pub(crate) async fn text(response: Response<Incoming>) -> Result<String, hyper::Error> {
    let body = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// What a raw target does with each request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    /// Responds with the request head as its body.
    Echo,
    /// Says that it is leaving.
    Leave,
    /// Sends half of the body that it announced, and closes.
    Truncate,
    /// Sends a chunk without the final one, and closes.
    TruncateChunked,
    /// Responds with 503 and nothing else.
    Fail,
    /// Responds with 503 and the time after which to retry.
    Shed,
    /// Waits for `release` before it responds.
    Hold,
    /// Sends half of the body that it announced, and nothing more.
    Stall,
    /// Sends a body until the connection is closed.
    Flood,
    /// Stops to exist when the request arrives.
    Die,
}

/// A target that works on the level of bytes, for behaviour that an HTTP library prevents.
pub(crate) struct RawTarget {
    pub(crate) addr: SocketAddr,
    /// Requests that arrived.
    pub(crate) started: Arc<AtomicUsize>,
    /// Notified for each request that arrived.
    pub(crate) arrived: Arc<Notify>,
    /// Notified for each connection that the other side closed under a held request.
    pub(crate) cancelled: Arc<Notify>,
    /// Lets held requests go on.
    pub(crate) release: Arc<Notify>,
}

impl RawTarget {
    pub(crate) async fn start(act: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let target = Self {
            addr: listener.local_addr().expect("addr"),
            started: Arc::default(),
            arrived: Arc::default(),
            cancelled: Arc::default(),
            release: Arc::default(),
        };
        let shared = (
            target.started.clone(),
            target.arrived.clone(),
            target.cancelled.clone(),
            target.release.clone(),
        );
        tokio::spawn(async move {
            let dead = CancellationToken::new();
            while let Some(Ok((stream, _))) = dead.run_until_cancelled(listener.accept()).await {
                let (started, arrived, cancelled, release) = shared.clone();
                let dead = dead.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    serve(&mut stream, act, started, arrived, cancelled, release).await;
                    if act == Act::Die {
                        dead.cancel();
                        // The listener closes before the connection does, as in a crash.
                        while TcpStream::connect(stream.local_addr().expect("addr")).await.is_ok() {
                        }
                    }
                });
            }
        });
        target
    }

    pub(crate) fn count(&self) -> usize {
        self.started.load(Ordering::Relaxed)
    }
}

async fn serve(
    stream: &mut TcpStream,
    act: Act,
    started: Arc<AtomicUsize>,
    arrived: Arc<Notify>,
    cancelled: Arc<Notify>,
    release: Arc<Notify>,
) {
    while let Some(head) = read_request(stream).await {
        started.fetch_add(1, Ordering::Relaxed);
        arrived.notify_one();
        let response = match act {
            Act::Echo => whole(&head),
            Act::Truncate | Act::Stall => {
                "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf".to_owned()
            }
            Act::Flood => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(&[b'x'; 65536]).await;
                }
                cancelled.notify_one();
                return;
            }
            Act::TruncateChunked => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned()
            }
            Act::Fail => "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Act::Shed => "HTTP/1.1 503 x\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Act::Leave => {
                let leaving = "damaskwick-target-leaving: 1\r\n";
                format!("HTTP/1.1 200 OK\r\n{leaving}content-length: 0\r\n\r\n")
            }
            Act::Die => return,
            Act::Hold => {
                let mut byte = [0; 1];
                tokio::select! {
                    () = release.notified() => whole(&head),
                    _ = stream.read(&mut byte) => {
                        cancelled.notify_one();
                        return;
                    }
                }
            }
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if matches!(act, Act::Truncate | Act::TruncateChunked) {
            return;
        }
    }
}

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// The head of the next request, whose body is read and dropped; `None` at the end.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}
