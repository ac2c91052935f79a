//! Connections between daemons, tested against a fake peer that speaks the frame protocol.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dw_daemon::detect_dead_peer;
use dw_fakes::Standin;
use dw_tables::Millis;
use dw_wire::{Frame, FrameBody, FrameCodec, Hello, Join, Member, Target};
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use http::Response;
use http_body_util::Full;
use hyper::{server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, FrameCodec>;

/// Timeout for an answer; longer than one takes over loopback on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A target of the service that the tests call.
fn tally_target() -> Target {
    Target {
        index: 0,
        service: "tally".into(),
        slots: 4,
        connections: 8,
        draining: false,
        started: 1,
        version: None,
        warm: None,
    }
}

/// Connects as `host`, which listens for peers at `peer`, and asks to join.
async fn join(daemon: SocketAddr, host: &str, peer: SocketAddr) -> Result<Link> {
    join_with(daemon, host, peer, peer, Vec::new()).await
}

/// Like [`join`], with targets; requests for them go to `data`.
async fn join_with(
    daemon: SocketAddr,
    host: &str,
    peer: SocketAddr,
    data: SocketAddr,
    targets: Vec<Target>,
) -> Result<Link> {
    let mut link = Framed::new(TcpStream::connect(daemon).await?, FrameCodec::default());
    let (host, peer) = (host.to_owned(), peer.to_string());
    let hello = Hello { host: host.clone(), peer: peer.clone() };
    link.send(Frame::new(FrameBody::Hello(hello))).await?;
    let member = Member {
        host,
        incarnation: 1,
        started: 1,
        domain: "portland".into(),
        region: "region".into(),
        data: data.to_string(),
        peer,
        targets,
        ..Member::default()
    };
    let join = Join { member: Some(member), floor_only: false };
    link.send(Frame::new(FrameBody::Join(join))).await?;
    Ok(link)
}

/// Whether the daemon admits the host on this connection.
async fn admitted(link: &mut Link) -> Result<bool> {
    while let Some(frame) = timeout(ANSWER_TIMEOUT, link.next()).await? {
        if let Some(FrameBody::JoinReply(reply)) = frame?.body {
            return Ok(reply.admitted);
        }
    }
    Ok(false)
}

/// Guards against answers sent on a dead connection: a host that loses power leaves its connections
/// open. A daemon that started at the same address afterwards was answered on those for up to half a
/// minute, so it was not admitted and served old versions.
#[gtest]
#[tokio::test]
async fn a_peer_is_answered_on_its_newest_connection() -> Result<()> {
    let running = support::start(support::settings("p1", "portland")).await;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let peer = listener.local_addr()?;

    let mut old = join(running.addrs().peers, "p2", peer).await?;
    expect_that!(admitted(&mut old).await?, eq(true));
    let mut new = join(running.addrs().peers, "p3", peer).await?;
    expect_that!(admitted(&mut new).await?, eq(true));

    drop(old);
    running.close().await;
    Ok(())
}

/// Guards against waiting on a silent connection: without a limit, a relay waited 12 s for the next
/// version on a watch whose connection had gone silent, so callers got 404 for new routes.
#[gtest]
#[tokio::test]
async fn a_silent_connection_fails_within_the_time_to_apply_a_version() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    detect_dead_peer(&stream);

    let socket = SockRef::from(&stream);
    let unacked = socket.tcp_user_timeout()?.unwrap_or(Duration::MAX);
    let probes = socket.tcp_keepalive_time()? + socket.tcp_keepalive_interval()?;
    expect_that!(socket.keepalive()?, eq(true));
    expect_that!(unacked, lt(Duration::from_secs(1)));
    expect_that!(probes.max(unacked), le(Duration::from_secs(2)));
    Ok(())
}

/// The status of a request to a host that stalls for a while with an open connection and then responds.
/// `ping_timeout` is the daemon's setting.
async fn status_of_a_stalled_host(ping_timeout: u64, stall: Duration) -> Result<u16> {
    let standin = Standin::new().start().await?;
    support::publish(standin.addr(), 1, support::tables()).await;
    let mut settings = support::settings("p1", "portland").with_platform(vec![standin.addr()]);
    settings.ping_timeout = Millis::new(ping_timeout);
    let running = support::start(settings).await;
    running.wait_version(1).await;

    let (peer, data) =
        (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
    let (peer, addr) = (peer.local_addr()?, data.local_addr()?);
    tokio::spawn(async move {
        while let Ok((stream, _)) = data.accept().await {
            tokio::spawn(async move {
                sleep(stall).await;
                let answer = service_fn(|_| async {
                    let run = Response::builder().header("damaskwick-outcome", "run");
                    run.body(Full::<Bytes>::default())
                });
                let server = http2::Builder::new(TokioExecutor::new());
                // The daemon closes the connection in one of the two cases.
                let _ = server.serve_connection(TokioIo::new(stream), answer).await;
            });
        }
    });
    let link = join_with(running.addrs().peers, "p2", peer, addr, vec![tally_target()]).await?;
    running.wait_members(|members| members.len() == 2).await;
    let response = support::send(running.addrs().callers, support::get("/lookup")).await;
    drop(link);
    running.kill().await;
    standin.close().await;
    Ok(response.status().as_u16())
}

/// Guards against a ping timeout that differs from the settings: on slow links, 350 ms failed
/// connections that were merely slow, with all requests on them.
#[gtest]
#[tokio::test]
async fn a_stalled_host_is_given_up_after_the_ping_timeout() -> Result<()> {
    expect_that!(status_of_a_stalled_host(3_000, Duration::from_millis(900)).await?, eq(200));
    expect_that!(status_of_a_stalled_host(200, Duration::from_secs(8)).await?, eq(504));
    Ok(())
}

/// The frame header of an HTTP/2 PING without the ACK flag.
const PING: [u8; 9] = [0, 0, 8, 6, 0, 0, 0, 0, 0];

/// Serves a connection from the daemon, responds after `delay`, and counts the pings.
async fn serve_slowly(mut stream: TcpStream, delay: Duration, pings: Arc<AtomicUsize>) {
    let (outer, inner) = duplex(64 * 1024);
    let answer = service_fn(move |_| async move {
        sleep(delay).await;
        let run = Response::builder().header("damaskwick-outcome", "run");
        run.body(Full::<Bytes>::default())
    });
    let server = http2::Builder::new(TokioExecutor::new());
    tokio::spawn(server.serve_connection(TokioIo::new(inner), answer).into_future());
    let (mut from, mut to) = stream.split();
    let (mut back, mut on) = tokio::io::split(outer);
    let count = async {
        let mut buf = vec![0; 64 * 1024];
        while let Ok(size @ 1..) = from.read(&mut buf).await {
            let found = buf[..size].windows(PING.len()).filter(|bytes| **bytes == PING).count();
            pings.fetch_add(found, Ordering::Relaxed);
            if on.write_all(&buf[..size]).await.is_err() {
                return;
            }
        }
    };
    // Either side may close the connection when the test ends.
    tokio::select! {
        () = count => {}
        _ = tokio::io::copy(&mut back, &mut to) => {}
    }
}

/// Guards against pings while responses take no longer than usual: with a ping every 150 ms, requests
/// of 400 ms cost both daemons twice the messages of the request itself.
#[gtest]
#[tokio::test]
async fn a_request_of_the_usual_duration_causes_no_pings() -> Result<()> {
    let standin = Standin::new().start().await?;
    let mut tables = support::tables();
    tables.routes.iter_mut().for_each(|route| route.objective = Millis::new(1000));
    support::publish(standin.addr(), 1, tables).await;
    let settings = support::settings("p1", "portland").with_platform(vec![standin.addr()]);
    let running = support::start(settings).await;
    running.wait_version(1).await;
    let data = TcpListener::bind("127.0.0.1:0").await?;
    let peer = TcpListener::bind("127.0.0.1:0").await?;
    let (peer, addr) = (peer.local_addr()?, data.local_addr()?);
    let pings = Arc::new(AtomicUsize::new(0));
    let seen = pings.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = data.accept().await {
            tokio::spawn(serve_slowly(stream, Duration::from_millis(400), seen.clone()));
        }
    });
    let link = join_with(running.addrs().peers, "p2", peer, addr, vec![tally_target()]).await?;
    running.wait_members(|members| members.len() == 2).await;
    let response = support::send(running.addrs().callers, support::get("/lookup")).await;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(pings.load(Ordering::Relaxed), eq(0));
    drop(link);
    running.kill().await;
    standin.close().await;
    Ok(())
}

/// Guards against connections that stay open to every host that was ever used, and against closing
/// connections that are in regular use.
#[gtest]
#[tokio::test]
async fn a_connection_is_closed_only_after_the_idle_time() -> Result<()> {
    let standin = Standin::new().start().await?;
    support::publish(standin.addr(), 1, support::tables()).await;
    let mut settings = support::settings("p1", "portland").with_platform(vec![standin.addr()]);
    settings.idle_timeout = Millis::new(1000);
    let running = support::start(settings).await;
    running.wait_version(1).await;
    let data = TcpListener::bind("127.0.0.1:0").await?;
    let peer = TcpListener::bind("127.0.0.1:0").await?;
    let (peer, addr) = (peer.local_addr()?, data.local_addr()?);
    let (opened, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (opens, closes) = (opened.clone(), closed.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = data.accept().await {
            opens.fetch_add(1, Ordering::Relaxed);
            let closes = closes.clone();
            tokio::spawn(async move {
                serve_slowly(stream, Duration::from_millis(1), Arc::default()).await;
                closes.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    let link = join_with(running.addrs().peers, "p2", peer, addr, vec![tally_target()]).await?;
    running.wait_members(|members| members.len() == 2).await;
    for _ in 0..20 {
        let response = support::send(running.addrs().callers, support::get("/lookup")).await;
        expect_that!(response.status().as_u16(), eq(200));
        sleep(Duration::from_millis(100)).await;
    }
    expect_that!(opened.load(Ordering::Relaxed), eq(1));
    expect_that!(closed.load(Ordering::Relaxed), eq(0));

    let until = Instant::now() + ANSWER_TIMEOUT;
    while closed.load(Ordering::Relaxed) == 0 && Instant::now() < until {
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(closed.load(Ordering::Relaxed), eq(1));
    drop(link);
    running.kill().await;
    standin.close().await;
    Ok(())
}

/// Guards against a process that is killed at the end of its grace period because failed hosts don't
/// accept its records and each takes a second to time out.
#[gtest]
#[tokio::test]
async fn hosts_that_do_not_answer_do_not_delay_a_stop_past_its_grace() -> Result<()> {
    let grace = Millis::new(1500);
    let settings = support::settings("p1", "portland").with_grace(grace);
    let running = support::start(settings).await;
    let mut links = Vec::new();
    let mut silent = Vec::new();
    for host in ["p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"] {
        let peer = TcpListener::bind("127.0.0.1:0").await?;
        let data = TcpListener::bind("127.0.0.1:0").await?;
        let (peer_addr, data_addr) = (peer.local_addr()?, data.local_addr()?);
        let link = join_with(running.addrs().peers, host, peer_addr, data_addr, Vec::new()).await?;
        links.push(link);
        silent.extend([peer, data]);
    }
    running.wait_members(|members| members.len() == 9).await;

    let start = Instant::now();
    running.drain().await;
    // A platform leaves about this margin beyond the grace period before it kills the process.
    expect_that!(start.elapsed(), le(Duration::from(grace) + Duration::from_millis(900)));
    running.kill().await;
    Ok(())
}
