//! The commands for rollouts.

#![allow(clippy::expect_used)]

mod common;

use common::{FakeAdmin, MemoryPlatform, run_tool, write_tables};
use dw_cli::Exit;
use dw_platform::{Put, Txn};
use dw_request::{RollbackReason, RolloutOrder, RolloutState, RolloutStep};
use googletest::prelude::*;

const PLATFORM: &str = "--platform 192.0.2.1:2379";

/// A platform with a version whose only pool has the service `ledger`.
async fn platform(dir: &str) -> MemoryPlatform {
    let platform = MemoryPlatform::default();
    let dir = write_tables(dir, "2s", "3s");
    let line = format!("apply --tables {dir} {PLATFORM} --base 0");
    let (exit, text) = run_tool(&platform, &FakeAdmin::default(), "c1", &line).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    platform
}

async fn tool(platform: &MemoryPlatform, line: &str) -> (Exit, String) {
    run_tool(platform, &FakeAdmin::default(), "", &format!("rollout {line}")).await
}

/// Stores a state for the order in the platform.
fn store_state(platform: &MemoryPlatform, step: RolloutStep) {
    let mut store = platform.store();
    let entry = store.entries.get("damaskwick/rollout/order/ledger").expect("order");
    let order: RolloutOrder = serde_json::from_slice(&entry.value).expect("order");
    let state = RolloutState::begin(None, &order, false, 1).at_step(step);
    let value = serde_json::to_vec(&state).expect("state").into();
    let put = Put { key: "damaskwick/rollout/state/ledger".to_owned(), value, lease: None };
    store.commit(&Txn { puts: vec![put], ..Txn::default() });
}

/// Guards against an order that is reported but not written, and against changes that are lost.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_rollout_is_ordered_paused_and_aborted() {
    let platform = platform("rollout").await;
    let (exit, text) = tool(&platform, &format!("status ledger {PLATFORM}")).await;
    expect_that!((exit, text.as_str()), eq((Exit::Ok, "ledger: no rollout was ordered\n")));
    let start = format!("start ledger v2 {PLATFORM} --daemon 192.0.2.1:1 --within 30s");
    let (exit, text) = tool(&platform, &start).await;
    expect_that!((exit, text.as_str()), eq((Exit::Ok, "ordered: ledger to v2 within 30s\n")));
    let (_, text) = tool(&platform, &format!("status ledger {PLATFORM}")).await;
    expect_that!(text, eq("ledger to v2: not begun\n"));
    store_state(&platform, RolloutStep::Canary);
    let (exit, _) = tool(&platform, &format!("pause ledger {PLATFORM}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let (_, text) = tool(&platform, &format!("status ledger {PLATFORM}")).await;
    expect_that!(text, eq("ledger to v2: canary, paused\n"));
    let (exit, _) = tool(&platform, &format!("abort ledger {PLATFORM} --json")).await;
    expect_that!(exit, eq(Exit::Ok));
    let (_, text) = tool(&platform, &format!("status ledger {PLATFORM} --json")).await;
    expect_that!(text, contains_substring(r#""aborted":true"#));
}

/// Guards against orders that cannot have an effect, or that replace a rollout unasked.
#[gtest]
#[tokio::test(start_paused = true)]
async fn orders_without_effect_are_refused() {
    let platform = platform("rollout-refused").await;
    let refused = async |line: &str| {
        let (exit, text) = tool(&platform, &format!("{line} {PLATFORM}")).await;
        expect_that!(exit, eq(Exit::Refused), "{text}");
        text
    };
    let text = refused("start ledgerz v2").await;
    expect_that!(text, contains_substring("no pool has the service ledgerz; known services: "));
    let text = refused("start ledger v3 --daemon 192.0.2.1:1").await;
    expect_that!(text, contains_substring("no target of ledger has version v3"));
    expect_that!(text, contains_substring("known versions: v1, v2"));
    expect_that!(refused("abort ledger").await, contains_substring("no rollout of ledger"));
    let (exit, _) = tool(&platform, &format!("start ledger v2 {PLATFORM}")).await;
    expect_that!(exit, eq(Exit::Ok));
    expect_that!(refused("start ledger v2").await, contains_substring("has not ended"));
    store_state(&platform, RolloutStep::RolledBack(RollbackReason::TimeLimit));
    let text = refused("pause ledger").await;
    expect_that!(text, contains_substring("has ended: rolled-back-time-limit"));
    let (exit, _) = tool(&platform, &format!("start ledger v2 {PLATFORM}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let (exit, _) = tool(&platform, &format!("{PLATFORM} start")).await;
    expect_that!(exit, eq(Exit::Usage));
}
