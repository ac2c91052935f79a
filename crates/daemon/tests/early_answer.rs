//! A target that answers before the body of a request has ended.

#![allow(clippy::expect_used, reason = "clippy allows it in test functions only, not in helpers")]

mod support;

use std::{net::SocketAddr, time::Duration};

use dw_fakes::Standin;
use googletest::prelude::*;
use support::{connect, get, publish, settings, start, target, text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// The length of a body that is not buffered, and the part of it that is sent.
const BODY_BYTES: usize = 16 << 20;
const SENT_BYTES: usize = 8 << 20;

/// A target that answers each request as soon as its head has arrived, and reads on.
async fn eager_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer_heads(socket));
        }
    });
    addr
}

async fn answer_heads(mut socket: TcpStream) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = socket.read(&mut buffer).await {
        let starts = |method: &[u8]| buffer[..count].starts_with(method);
        if starts(b"POST ") || starts(b"GET ") {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";
            if socket.write_all(answer).await.is_err() {
                return;
            }
        }
    }
}

/// Guards against a request that waits for the body of another caller's request, because the target answered that one early
/// and its connection is used again.
#[gtest]
#[tokio::test]
async fn a_request_does_not_wait_for_the_body_of_another() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let settings = settings("p1", "portland")
        .with_platform(vec![standin.addr()])
        .with_target(target("tally", eager_target().await));
    let running = start(settings).await;
    running.wait_version(1).await;
    let callers = running.addrs().callers;
    let mut slow = TcpStream::connect(callers).await?;
    let head = format!("POST /lookup HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    slow.write_all(head.as_bytes()).await?;
    let _ = timeout(Duration::from_secs(2), slow.write_all(&vec![b'x'; SENT_BYTES])).await;
    let mut answer = vec![0; 4096];
    let count = timeout(Duration::from_secs(2), slow.read(&mut answer)).await;
    expect_that!(count.is_ok(), eq(true), "the early answer is passed on");
    for _ in 0..4 {
        let mut sender = connect(callers).await;
        let response = timeout(Duration::from_secs(2), sender.send_request(get("/lookup"))).await;
        expect_that!(text(response??).await?.as_str(), eq("good"));
    }
    running.kill().await;
    standin.close().await;
    Ok(())
}
