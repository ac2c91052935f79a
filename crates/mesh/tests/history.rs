//! The versions that a node keeps.

#![allow(clippy::expect_used)]

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use dw_mesh::{
    Action, Input, Node, NodeConfig, PlatformCall, PlatformCallKind, PlatformEvent, Preset,
};
use dw_tables::{Hash, Head, Tables, Version, parse_pools, parse_routes};
use tokio::time::Instant;

/// Versions in the test, more than a node keeps as bases for deltas.
const VERSIONS: usize = 20;

fn version(number: u64) -> Version {
    let routes = format!(
        r#"{{ "routes": [{{ "name": "lookup", "match": {{ "path": "/" }}, "pool": "tally",
            "deadline": "{number}s" }}] }}"#
    );
    let pools = r#"{ "pools": [{ "name": "tally", "service": "tally" }] }"#;
    let routes = parse_routes("routes", &routes).expect("routes");
    let pools = parse_pools("pools", pools).expect("pools");
    Version::new(number, Tables { routes, pools, ..Tables::default() })
}

fn head(version: &Version) -> Head {
    Head {
        number: version.number,
        hash: version.hash,
        parent: Hash::default(),
        change: "operator".into(),
        parts: vec![version.hash],
        author: "operator".into(),
        time: 0,
    }
}

/// The node's answer to a call of the platform that has this version as its head.
fn answer(call: PlatformCall, version: &Version) -> PlatformEvent {
    match call {
        PlatformCall::ReadHead => {
            PlatformEvent::HeadRead { head: head(version), revision: version.number }
        }
        PlatformCall::ReadParts(head) => {
            PlatformEvent::PartsRead { head, parts: vec![version.tables.canonical().into_bytes()] }
        }
        PlatformCall::ClaimSlot { slot, .. } => PlatformEvent::SlotClaimed { slot },
        PlatformCall::RenewSlot { slot } => PlatformEvent::SlotRenewed { slot },
        PlatformCall::ReadRelays => PlatformEvent::RelaysRead { records: Vec::new() },
        _ => PlatformEvent::Failed {
            call: PlatformCallKind::WatchHead,
            reason: "the test has no watch".to_owned(),
        },
    }
}

/// Guards against a history that keeps all rows of each earlier version, which took 1 MB for each of 7
/// versions of 2,200 routes.
#[test]
fn only_the_served_version_is_kept_whole() {
    let addr = "127.0.0.1:1".parse().expect("address");
    let mut cfg = NodeConfig::new("host-0".into(), "domain-0".into(), addr, addr);
    cfg.preset = Preset { durable: true, ..Preset::default() };
    let mut now = Instant::now();
    let mut node = Node::new(cfg, now);
    let mut published: Vec<Weak<Version>> = Vec::new();
    let mut calls = Vec::new();
    for number in 1..=VERSIONS {
        let current = version(u64::try_from(number).expect("number"));
        let limit = now + Duration::from_secs(120);
        while published.len() < number && now < limit {
            let input = match calls.pop() {
                Some(call) => Input::Platform(answer(call, &current)),
                None => {
                    now = node.deadline().unwrap_or(now).max(now + Duration::from_millis(1));
                    Input::Tick
                }
            };
            for action in node.handle(input, now) {
                match action {
                    Action::Platform(call) => calls.push(call),
                    Action::Publish(version) => published.push(Arc::downgrade(&version)),
                    _ => {}
                }
            }
        }
        assert_eq!(published.len(), number, "versions published");
    }
    let whole = published.iter().filter(|version| version.strong_count() > 0).count();
    assert_eq!(whole, 1, "versions kept whole");
}
