//! Which daemon leads the rollouts.

use std::time::Duration;

use dw_request::Succession;
use dw_tables::Name;
use googletest::prelude::*;
use tokio::time::Instant;

/// Hosts in the order of their rank, by link speed.
const HOSTS: [(&str, u32); 5] = [("a", 1000), ("b", 400), ("c", 150), ("d", 10), ("e", 10)];

fn daemon(host: &str) -> Succession {
    let mut own = Succession::new(Name::from(host));
    own.set_members(HOSTS.map(|(host, mbps)| (Name::from(host), mbps)));
    own
}

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards against two leaders on a calm day, and against an order that nobody follows because its leader
/// died or cannot reach the store.
#[gtest]
fn candidates_take_over_in_order() {
    let service = Name::from("ledger");
    let ordered = Instant::now();
    let leads = |host: &str, after: u64| daemon(host).leads(&service, ordered, ordered + ms(after));
    expect_that!([leads("a", 0), leads("b", 0), leads("c", 0)], eq([true, false, false]));
    expect_that!([leads("b", 1499), leads("b", 1500), leads("c", 2999)], eq([false, true, false]));
    expect_that!([leads("c", 3000), leads("d", 60_000)], eq([true, false]));
}

/// Guards against a candidate that leads beside one before it, and against one that stops because of a
/// daemon that ranks behind it.
#[gtest]
fn announcements_of_better_candidates_count() {
    let service = Name::from("ledger");
    let ordered = Instant::now();
    let mut second = daemon("b");
    second.hear(&service, &"a".into(), ordered + ms(5000));
    expect_that!(second.leads(&service, ordered, ordered + ms(6400)), eq(false));
    expect_that!(second.leads(&service, ordered, ordered + ms(6500)), eq(true));
    expect_that!(second.leads(&"tally".into(), ordered, ordered + ms(6400)), eq(true));
    for other in ["c", "e", "unknown"] {
        second.hear(&service, &other.into(), ordered + ms(7000));
    }
    expect_that!(second.leads(&service, ordered, ordered + ms(7000)), eq(true));
}

/// Guards against a leader that keeps a rollout although only other daemons reach the store, and against a
/// rollout without any leader while nobody does.
#[gtest]
fn a_leader_without_the_store_yields_to_one_that_reaches_it() {
    let service = Name::from("ledger");
    let start = Instant::now();
    let mut first = daemon("a");
    first.record_store(false, start);
    expect_that!(first.reaches_store(), eq(false));
    expect_that!(first.leads(&service, start, start + ms(60_000)), eq(true));
    first.peer_reaches_store(start + ms(1000));
    expect_that!(first.leads(&service, start, start + ms(1000)), eq(true));
    first.record_store(false, start + ms(2000));
    first.peer_reaches_store(start + ms(2500));
    expect_that!(first.leads(&service, start, start + ms(2500)), eq(false));
    expect_that!(first.leads(&service, start, start + ms(7500)), eq(true));
    first.record_store(true, start + ms(8000));
    first.peer_reaches_store(start + ms(20_000));
    expect_that!(first.leads(&service, start, start + ms(20_000)), eq(true));
}

/// Guards against daemons that rank the same members differently.
#[gtest]
fn the_ranking_does_not_depend_on_the_order_of_members() {
    let leaders = |list: &[&str]| {
        let leads = |host: &&str| {
            let mut own = Succession::new(Name::from(*host));
            own.set_members(list.iter().map(|host| (Name::from(*host), 0)));
            let now = Instant::now();
            own.leads(&"ledger".into(), now, now)
        };
        list.iter().filter(|host| leads(host)).map(ToString::to_string).collect::<Vec<_>>()
    };
    expect_that!(leaders(&["p", "q", "r", "s"]), len(eq(1)));
    expect_that!(leaders(&["p", "q", "r", "s"]), eq(&leaders(&["s", "r", "q", "p"])));
}
