//! Quotas of workspaces over real sockets.

#![allow(clippy::expect_used)]

mod support;

use std::{net::SocketAddr, time::Duration};

use dw_daemon::Running;
use dw_fakes::{RunningStandin, Standin};
use dw_tables::{KeyHash, Tables, parse_workspaces};
use googletest::prelude::*;
use http::HeaderValue;
use support::{Behaviour, RawTarget, fetch, get, header, publish, send, settings, start, target};
use tokio::time::sleep;

fn tables(rate: u32) -> Tables {
    let key = KeyHash::of(b"key").expect("a key").to_hex();
    let row = format!(r#"{{"name": "w", "keys": ["{key}"], "rate": {rate}, "burst": {rate}}}"#);
    let text = format!(r#"{{"workspaces": [{row}]}}"#);
    let workspaces = parse_workspaces("workspaces", &text).expect("workspaces");
    Tables { workspaces, ..support::tables() }
}

/// Two daemons with addresses of their own and the same quota port.
async fn pair(rate: u32) -> (RunningStandin, RawTarget, [Running; 2]) {
    let standin = Standin::new().start().await.expect("the stand-in must start");
    publish(standin.addr(), 1, tables(rate)).await;
    let raw = RawTarget::start(Behaviour::Echo).await;
    let free = std::net::UdpSocket::bind("127.0.0.2:0").expect("a free port");
    let port = free.local_addr().expect("an address").port();
    drop(free);
    let at = |ip: &str, port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
    let configure = |host: &str, ip: &str| {
        let mut settings = settings(host, "portland").with_platform(vec![standin.addr()]);
        (settings.peers, settings.data) = (at(ip, 0), at(ip, 0));
        settings.quota = Some(at(ip, port));
        settings
    };
    let first = configure("p1", "127.0.0.1").with_target(target("tally", raw.addr));
    let first = start(first.with_target(target("ledger", raw.addr))).await;
    let second = configure("p2", "127.0.0.2").with_join(vec![first.addrs().peers]);
    let second = start(second).await;
    for running in [&first, &second] {
        running.wait_version(1).await;
        running.wait_members(|members| members.len() == 2).await;
    }
    // Owners lease from 1.5 s after they saw the members on.
    sleep(Duration::from_millis(3500)).await;
    (standin, raw, [first, second])
}

/// The statuses of requests that are sent in turn to both daemons.
async fn statuses(daemons: &[Running; 2], count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for index in 0..count {
        let mut request = get("/lookup");
        let key = HeaderValue::from_static("Bearer key");
        request.headers_mut().insert("authorization", key);
        let response = send(daemons[index % 2].addrs().callers, request).await;
        if response.status() == 429 {
            assert_eq!(header(&response, "damaskwick-reason"), "quota");
            assert_eq!(header(&response, "damaskwick-outcome"), "not-run");
            assert!(!header(&response, "retry-after").is_empty());
        }
        statuses.push(response.status().as_u16());
    }
    statuses
}

/// Guards against a daemon that does not use the owner's credit, and against a flood over the limit that
/// is admitted by two daemons together.
#[gtest]
#[tokio::test]
async fn two_daemons_share_a_quota() -> Result<()> {
    let (_standin, _raw, daemons) = pair(20).await;
    let below = statuses(&daemons, 10).await;
    expect_that!(below, each(eq(&200)));
    let flood = statuses(&daemons, 200).await;
    let admitted = flood.iter().filter(|status| **status == 200).count();
    let refused = flood.iter().filter(|status| **status == 429).count();
    // The bound for a window of 5 s: (rate * 5 + burst) * 1.1 + 20.
    expect_that!(admitted, all!(ge(10), le(152)));
    expect_that!(admitted + refused, eq(200));
    expect_that!(refused, gt(20));
    let mut questions = 0;
    for running in &daemons {
        let text = fetch(running.addrs().admin, get("/metrics")).await?;
        let line = text.lines().find_map(|l| l.strip_prefix("damaskwick_quota_questions_total "));
        questions += line.expect("a metric").parse::<u32>().expect("a number");
    }
    // One of the daemons is the owner; the other asks it.
    expect_that!(questions, all!(ge(1), le(100)));
    Ok(())
}
