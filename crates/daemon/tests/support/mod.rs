//! Helpers for tests over sockets: publish versions, and run daemons, callers and raw targets.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]
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

/// The tables that the tests publish.
pub(crate) fn tables() -> Tables {
    let routes = parse_routes("routes", ROUTES).expect("routes");
    let pools = parse_pools("pools", POOLS).expect("pools");
    Tables { routes, pools, ..Tables::default() }
}

/// Writes a version to the platform as the command `apply` does, and returns it.
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

/// Settings of a daemon that listens on free ports and logs only errors.
pub(crate) fn settings(host: &str, domain: &str) -> Settings {
    Settings::new(host.into(), domain.into(), "region".into())
        .with_preset(PresetName::Verband)
        .with_log(LogLevel::Error)
}

/// Settings of a target of a service, with 4 slots.
pub(crate) fn target(service: &str, address: SocketAddr) -> TargetSettings {
    TargetSettings { service: service.into(), address, slots: 4, connections: 8, version: None }
}

/// Starts a daemon.
pub(crate) async fn start(settings: Settings) -> Running {
    Daemon::new(settings).start().await.expect("the daemon must start")
}

/// Starts a daemon with one target for each service, and waits until it serves version 1.
pub(crate) async fn served(behaviour: Behaviour) -> (RunningStandin, RawTarget, Running) {
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, tables()).await;
    let raw = RawTarget::start(behaviour).await;
    let settings = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("tally", raw.addr))
        .with_target(target("ledger", raw.addr));
    let running = start(settings).await;
    running.wait_version(1).await;
    (standin, raw, running)
}

/// Opens a caller's connection.
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

/// Sends one request on a new connection and reads the whole body of the response.
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

/// Sends a request with a key. Repeats it while the keeper, which has just started, cannot rule out that
/// an earlier request ran the key, which lasts until half a second after its start.
pub(crate) async fn send_once(addr: SocketAddr, key: &str) -> Response<Incoming> {
    send_new(addr, || post("/credit", key)).await
}

/// Like `send_once`, for a request that the caller builds.
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

/// The value of a header, or an empty string.
pub(crate) fn header<'a, B>(response: &'a Response<B>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Reads the whole body as text.
pub(crate) async fn text(response: Response<Incoming>) -> Result<String, hyper::Error> {
    let body = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// How a raw target responds to each request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Responds with the request head as its body.
    Echo,
    /// Responds that it is leaving.
    Leave,
    /// Sends part of the body that it announced, and closes the connection.
    Truncate,
    /// Sends a chunk but not the last one, and closes the connection.
    TruncateChunked,
    /// Responds with 503 and nothing else.
    Fail,
    /// Responds with 503 and the time after which to retry.
    Shed,
    /// Waits for `release` before it responds.
    Hold,
    /// Sends part of the body that it announced, and keeps the connection open.
    Stall,
    /// Sends a body until the connection is closed.
    Flood,
    /// Closes its listener and the connection when the request arrives, as in a crash.
    Die,
}

/// A target that sends raw bytes, for behaviour that an HTTP library would prevent.
pub(crate) struct RawTarget {
    pub(crate) addr: SocketAddr,
    /// The number of requests that arrived.
    pub(crate) started: Arc<AtomicUsize>,
    /// Notified for each request that arrived.
    pub(crate) arrived: Arc<Notify>,
    /// Notified for each connection that the daemon closed before the response was complete.
    pub(crate) cancelled: Arc<Notify>,
    /// Lets a held request continue.
    pub(crate) release: Arc<Notify>,
}

impl RawTarget {
    pub(crate) async fn start(behaviour: Behaviour) -> Self {
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
            let crashed = CancellationToken::new();
            while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
                let (started, arrived, cancelled, release) = shared.clone();
                let crashed = crashed.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    serve(&mut stream, behaviour, started, arrived, cancelled, release).await;
                    if behaviour == Behaviour::Die {
                        crashed.cancel();
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
    behaviour: Behaviour,
    started: Arc<AtomicUsize>,
    arrived: Arc<Notify>,
    cancelled: Arc<Notify>,
    release: Arc<Notify>,
) {
    while let Some(head) = read_request(stream).await {
        started.fetch_add(1, Ordering::Relaxed);
        arrived.notify_one();
        let response = match behaviour {
            Behaviour::Echo => ok_response(&head),
            Behaviour::Truncate | Behaviour::Stall => {
                "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf".to_owned()
            }
            Behaviour::Flood => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(&[b'x'; 65536]).await;
                }
                cancelled.notify_one();
                return;
            }
            Behaviour::TruncateChunked => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned()
            }
            Behaviour::Fail => "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Behaviour::Shed => {
                "HTTP/1.1 503 x\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Behaviour::Leave => {
                let leaving = "damaskwick-target-leaving: 1\r\n";
                format!("HTTP/1.1 200 OK\r\n{leaving}content-length: 0\r\n\r\n")
            }
            Behaviour::Die => return,
            Behaviour::Hold => {
                let mut byte = [0; 1];
                tokio::select! {
                    () = release.notified() => ok_response(&head),
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
        if matches!(behaviour, Behaviour::Truncate | Behaviour::TruncateChunked) {
            return;
        }
    }
}

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Reads the next request and returns its head; `None` at the end of the connection.
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
