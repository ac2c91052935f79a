//! Responses that break off at each of their bytes must not reach a caller as a whole success.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use dw_daemon::{Daemon, Dialect, Running, Settings, TargetSettings};
use dw_fakes::{RunningStandin, Standin};
use googletest::prelude::*;
use socket2::SockRef;
use support::{connect, get, publish, settings, target, text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Slots of the target, above the requests of a test and their retries.
const SLOTS: u32 = 1024;

/// How a target ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// In order, as after the last byte of a response without a length.
    Orderly,
    /// By a reset, as when the process is killed with unread bytes.
    Reset,
}

/// A target that sends the first bytes of a response to each request and then ends the connection.
struct Cutting {
    addr: SocketAddr,
    /// Bytes that are sent.
    size: Arc<AtomicUsize>,
    /// Requests that arrived.
    arrived: Arc<AtomicUsize>,
}

async fn cutting(response: &'static str, end: End) -> Cutting {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    let (size, arrived) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (sent, count) = (size.clone(), arrived.clone());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (sent, count) = (sent.clone(), count.clone());
            tokio::spawn(async move {
                let mut head = [0; 4096];
                if !matches!(stream.read(&mut head).await, Ok(1..)) {
                    return;
                }
                count.fetch_add(1, Ordering::Relaxed);
                let part = &response.as_bytes()[..sent.load(Ordering::Relaxed)];
                // The daemon may have gone at the end of the test.
                let _ = stream.write_all(part).await;
                if end == End::Reset {
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).expect("linger");
                }
            });
        }
    });
    Cutting { addr, size, arrived }
}

/// A daemon beside the target, and one elsewhere. They take responses without a length too.
async fn served(addr: SocketAddr) -> (RunningStandin, [Running; 2]) {
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, support::tables()).await;
    // The slot of a request whose end was not seen stays taken for a while.
    let target = TargetSettings { slots: SLOTS, connections: SLOTS, ..target("tally", addr) };
    let settings =
        settings("p1", "portland").with_platform(vec![standin.addr()]).with_target(target);
    let start = async |settings: Settings| {
        let dialect = Dialect { close_delimited: true, ..Dialect::default() };
        Daemon::new(settings).with_dialect(dialect).start().await.expect("a daemon")
    };
    let beside = start(settings).await;
    let join = vec![beside.addrs().peers];
    let elsewhere = start(support::settings("p2", "portland").with_join(join)).await;
    for daemon in [&beside, &elsewhere] {
        daemon.wait_version(1).await;
        daemon.wait_members(|members| members.len() == 2).await;
    }
    (standin, [beside, elsewhere])
}

/// The body of a whole success; `None` for any other end.
async fn success(addr: SocketAddr) -> Option<String> {
    let answer = connect(addr).await.send_request(get("/lookup")).await.ok()?;
    let good = answer.status().is_success();
    text(answer).await.ok().filter(|_| good)
}

/// Cuts a response at each byte below `whole`, where it is complete, for a caller beside the target and one
/// elsewhere.
async fn play(response: &'static str, whole: usize, end: End) -> Result<()> {
    let cutting = cutting(response, end).await;
    let (standin, daemons) = served(cutting.addr).await;
    let callers = daemons.each_ref().map(|daemon| daemon.addrs().callers);
    for (at, caller) in (0..whole).flat_map(|at| callers.map(|caller| (at, caller))) {
        cutting.size.store(at, Ordering::Relaxed);
        let before = cutting.arrived.load(Ordering::Relaxed);
        let got = success(caller).await;
        expect_that!(got, none(), "{end:?} after {at} of {whole} bytes");
        let reached = cutting.arrived.load(Ordering::Relaxed) > before;
        expect_that!(reached, eq(true), "the target was not asked for {at} bytes");
    }
    cutting.size.store(response.len(), Ordering::Relaxed);
    for caller in callers {
        if end == End::Orderly {
            expect_that!(success(caller).await, some(eq("twelve copies")));
        }
    }
    for daemon in daemons {
        daemon.kill().await;
    }
    standin.close().await;
    Ok(())
}

const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\ntwelve copies";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
    6\r\ntwelve\r\n7\r\n copies\r\n0\r\nx-note: 1\r\n\r\n";

const UNSIZED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ntwelve copies";

/// Guards against a response with a length that is passed on whole although it ended early.
#[gtest]
#[tokio::test]
async fn a_response_with_a_length_is_whole_at_its_last_byte_only() -> Result<()> {
    play(SIZED, SIZED.len(), End::Orderly).await?;
    play(SIZED, SIZED.len(), End::Reset).await
}

/// Guards against a chunked response that counts as whole before its last chunk and the trailers.
#[gtest]
#[tokio::test]
async fn a_chunked_response_is_whole_behind_its_trailers_only() -> Result<()> {
    play(CHUNKED, CHUNKED.len(), End::Orderly).await?;
    play(CHUNKED, CHUNKED.len(), End::Reset).await
}

/// Guards against a response that ends with its connection and counts as whole after a reset, or before
/// its head has ended.
#[gtest]
#[tokio::test]
async fn a_response_without_a_length_is_not_whole_after_a_reset() -> Result<()> {
    let head = UNSIZED.find("\r\n\r\n").map_or(0, |at| at + 4);
    play(UNSIZED, head, End::Orderly).await?;
    play(UNSIZED, UNSIZED.len(), End::Reset).await
}
