//! `apply` against an in-memory platform with injected faults.

#![allow(clippy::expect_used)]

mod common;

use common::{FakeAdmin, Fault, MemoryPlatform, run_tool, write_tables};
use dw_cli::{DaemonStatus, DomainStatus, Exit, ServedVersion};
use dw_platform::Txn;
use googletest::prelude::*;

const PLATFORM: &str = "--platform 192.0.2.1:2379";

async fn apply(platform: &MemoryPlatform, change: &str, base: u64, dir: &str) -> (Exit, String) {
    let line = format!("apply --base {base} --tables {dir} {PLATFORM}");
    run_tool(platform, &FakeAdmin::default(), change, &line).await
}

/// A platform with a version 1 whose deadlines are 1 s.
async fn started(test: &str) -> MemoryPlatform {
    let platform = MemoryPlatform::default();
    let (exit, text) = apply(&platform, "first", 0, &write_tables(test, "1s", "1s")).await;
    assert_eq!(exit, Exit::Ok, "{text}");
    platform
}

/// The transaction by which another operator publishes `dir` as the version after `base`.
async fn other_edit(platform: &MemoryPlatform, base: u64, dir: &str) -> Txn {
    let copy = MemoryPlatform::default();
    copy.store().entries = platform.store().entries.clone();
    let (exit, text) = apply(&copy, "other", base, dir).await;
    assert_eq!(exit, Exit::Ok, "{text}");
    let store = copy.store();
    let changed = store
        .entries
        .values()
        .filter(|e| platform.store().entries.get(&e.key).is_none_or(|old| old.value != e.value));
    let put = |e: &dw_platform::Entry| dw_platform::Put {
        key: e.key.clone(),
        value: e.value.clone(),
        lease: None,
    };
    Txn { puts: changed.map(put).collect(), ..Txn::default() }
}

/// Guards against an edit that is accepted but cannot be read, or is not in the history.
#[gtest]
#[tokio::test(start_paused = true)]
async fn accepted_version_is_read_back() {
    let platform = started("read-back").await;
    let dir = write_tables("read-back", "2s", "1s");
    let (exit, text) = apply(&platform, "second", 1, &dir).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    expect_that!(
        text,
        contains_substring("route \"credit\" changed\n  deadline: \"1s\" -> \"2s\"")
    );
    expect_that!(text, contains_substring("version 2 is accepted (change second, 1 row)"));
    expect_that!(platform.change_ids(), elements_are![eq("first"), eq("second")]);
    let line = format!("diff --tables {dir} {PLATFORM}");
    let (_, text) = run_tool(&platform, &FakeAdmin::default(), "", &line).await;
    expect_that!(text, eq("0 rows differ from version 2\n"));
    let (exit, text) = apply(&platform, "third", 2, &dir).await;
    expect_that!(
        (exit, text.as_str()),
        eq((Exit::Ok, "nothing to change: version 2 has these tables\n"))
    );
    expect_that!(platform.change_ids(), len(eq(2)));
}

/// Guards against an edit that overwrites the edit of another operator.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stale_base_lists_the_rows_of_both() {
    let platform = started("stale").await;
    apply(&platform, "theirs", 1, &write_tables("stale", "2s", "3s")).await;
    let (exit, text) = apply(&platform, "mine", 1, &write_tables("stale", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Stale));
    expect_that!(text, contains_substring("conflict in route \"credit\""));
    expect_that!(text, contains_substring("yours: changed (deadline: \"1s\" -> \"4s\")"));
    expect_that!(text, contains_substring("theirs: changed (deadline: \"1s\" -> \"2s\")"));
    expect_that!(
        text,
        contains_substring("accepted since: version 2  Sun, 09 Sep 2001 01:46:40 GMT  by ada")
    );
    expect_that!(text, not(contains_substring("\"lookup\"")));
    expect_that!(platform.change_ids(), elements_are![eq("first"), eq("theirs")]);
    let (exit, _) = apply(&platform, "mine", 5, &write_tables("stale", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Stale));
}

/// Guards against two edits of the same head that are both accepted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn edit_overtaken_before_the_swap_is_stale() {
    let platform = started("overtaken").await;
    let txn = other_edit(&platform, 1, &write_tables("overtaken", "2s", "1s")).await;
    platform.store().faults.push_back(Fault::Overtaken(txn));
    let (exit, text) = apply(&platform, "mine", 1, &write_tables("overtaken", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Stale));
    expect_that!(text, contains_substring("conflict in route \"credit\""));
    expect_that!(platform.change_ids(), elements_are![eq("first"), eq("other")]);
}

/// Guards against a lost response that is reported as a failure, and against an edit that is
/// accepted twice because its first transaction was only delayed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_response_is_settled_by_the_change_id() {
    for (name, fault) in [
        ("lost-response", Fault::LostResponse),
        ("lost-request", Fault::LostRequest),
        ("late", Fault::DelayedRequest),
    ] {
        let platform = started(name).await;
        platform.store().faults.push_back(fault);
        let (exit, text) = apply(&platform, "mine", 1, &write_tables(name, "4s", "1s")).await;
        expect_that!(exit, eq(Exit::Ok), "{name}: {text}");
        expect_that!(platform.change_ids(), elements_are![eq("first"), eq("mine")], "{name}");
    }
}

/// Guards against an own write that is taken for another operator's because a newer head was
/// accepted since.
#[gtest]
#[tokio::test(start_paused = true)]
async fn own_write_is_found_in_the_history() {
    let platform = started("followed").await;
    let after = started("followed").await;
    let mine = write_tables("followed", "4s", "1s");
    apply(&after, "mine", 1, &mine).await;
    let txn = other_edit(&after, 2, &write_tables("followed", "4s", "5s")).await;
    platform.store().faults.push_back(Fault::Followed(txn));
    let (exit, text) = apply(&platform, "mine", 1, &mine).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    expect_that!(platform.change_ids(), elements_are![eq("first"), eq("mine"), eq("other")]);
}

/// Guards against a write of another operator that is taken for the own one after a lost request.
#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_request_that_was_overtaken_is_stale() {
    let platform = started("lost-overtaken").await;
    let txn = other_edit(&platform, 1, &write_tables("lost-overtaken", "2s", "1s")).await;
    let faults = [Fault::LostRequest, Fault::Overtaken(txn)];
    platform.store().faults.extend(faults);
    let (exit, _) = apply(&platform, "mine", 1, &write_tables("lost-overtaken", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Stale));
    expect_that!(platform.change_ids(), elements_are![eq("first"), eq("other")]);
}

/// Guards against reporting success or failure when the outcome could not be determined.
#[gtest]
#[tokio::test(start_paused = true)]
async fn outage_after_the_swap_is_an_unknown_outcome() {
    let platform = started("outage").await;
    platform.store().faults.push_back(Fault::Outage);
    let (exit, text) = apply(&platform, "mine", 1, &write_tables("outage", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Unknown));
    expect_that!(text, contains_substring("version 2 may or may not be accepted"));
    expect_that!(text, contains_substring("`damaskwick history --platform 192.0.2.1:2379`"));
    expect_that!(text, contains_substring("change mine"));
    expect_that!(text, not(contains_substring("is accepted (")));
}

/// Guards against an outage before the swap that is reported as an unknown outcome.
#[gtest]
#[tokio::test(start_paused = true)]
async fn outage_before_the_swap_accepts_nothing() {
    let platform = started("down").await;
    platform.store().down = true;
    let (exit, text) = apply(&platform, "mine", 1, &write_tables("down", "4s", "1s")).await;
    expect_that!(exit, eq(Exit::Unreachable), "{text}");
    expect_that!(text, contains_substring("; no version was accepted"));
    expect_that!(platform.change_ids(), elements_are![eq("first")]);
}

/// Guards against a version that is based on the head of a platform restored from an older copy.
#[gtest]
#[tokio::test(start_paused = true)]
async fn apply_refuses_when_a_daemon_is_ahead() {
    let platform = started("restored").await;
    let dir = write_tables("restored", "4s", "1s");
    let line = format!("apply --base 1 --tables {dir} {PLATFORM} --daemon 192.0.2.2:80");
    let served = |number, hash: &str| DaemonStatus {
        version: ServedVersion { number, hash: hash.to_owned() },
        ..DaemonStatus::default()
    };
    let known = DomainStatus { highest: 3, ..DomainStatus::default() };
    for daemons in [
        FakeAdmin::new([served(2, "")]),
        FakeAdmin::new([served(1, "00")]),
        FakeAdmin::new([DaemonStatus { domains: vec![known], ..served(1, "") }]),
        FakeAdmin::default(),
    ] {
        let (exit, text) = run_tool(&platform, &daemons, "mine", &line).await;
        expect_that!(exit, eq(Exit::Failed), "{text}");
        expect_that!(text, starts_with("no version was accepted:\n"));
    }
    expect_that!(platform.change_ids(), elements_are![eq("first")]);
    let (exit, text) = run_tool(&platform, &FakeAdmin::new([served(1, "")]), "mine", &line).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
}
