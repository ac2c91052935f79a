//! Connections between daemons, played by a peer that speaks frames over sockets of its own.

mod support;

use std::{net::SocketAddr, time::Duration};

use dw_daemon::detect_silence;
use dw_wire::{Frame, FrameBody, FrameCodec, Hello, Join, Member};
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, FrameCodec>;

/// Above the time of an answer over loopback on a busy machine.
const ANSWER: Duration = Duration::from_secs(5);

/// Opens a connection of the host, which listens for peers at `peer`, and asks to be admitted.
async fn join(daemon: SocketAddr, host: &str, peer: SocketAddr) -> Result<Link> {
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
        data: peer.clone(),
        peer,
        ..Member::default()
    };
    let join = Join { member: Some(member), floor_only: false };
    link.send(Frame::new(FrameBody::Join(join))).await?;
    Ok(link)
}

/// Whether the daemon admits the host on this connection.
async fn admitted(link: &mut Link) -> Result<bool> {
    while let Some(frame) = timeout(ANSWER, link.next()).await? {
        if let Some(FrameBody::JoinReply(reply)) = frame?.body {
            return Ok(reply.admitted);
        }
    }
    Ok(false)
}

/// A host that lost power leaves connections behind on which nothing arrives any more. The daemon that
/// starts next at its address was answered on those for up to half a minute, was not admitted, and
/// served old versions.
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

/// Without a limit a relay waited 12 s for the next version on a watch whose connection had gone silent,
/// so callers got 404 for routes that had been added.
#[gtest]
#[tokio::test]
async fn a_silent_connection_fails_within_the_time_to_apply_a_version() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    detect_silence(&stream);

    let socket = SockRef::from(&stream);
    let unacked = socket.tcp_user_timeout()?.unwrap_or(Duration::MAX);
    let probes = socket.tcp_keepalive_time()? + socket.tcp_keepalive_interval()?;
    expect_that!(socket.keepalive()?, eq(true));
    expect_that!(unacked, lt(Duration::from_secs(1)));
    expect_that!(probes.max(unacked), le(Duration::from_secs(2)));
    Ok(())
}
