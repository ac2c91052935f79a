//! Calls over real connections to a stand-in of the platform that injects faults.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{put, read, setup, text, write};
use dw_fakes::Standin;
use dw_platform::{
    Budget, CallReason, Commit, HttpPlatform, LeaseId, MAX_VALUE_BYTES, Platform, PlatformError,
    Put, Txn,
};
use googletest::prelude::*;

/// Guards against two holders of one slot: of two compare-and-swaps on the same revision exactly
/// one may win, and the other must get the entry that is present.
#[tokio::test(start_paused = true)]
async fn one_of_two_racing_swaps_wins() {
    let setup = setup().await;
    for round in 0..20 {
        let key = format!("slot/{round}");
        let (one, two) = tokio::join!(
            setup.platform.commit(put(&key, "one", 0, None)),
            setup.platform.commit(put(&key, "two", 0, None)),
        );
        let (winner, lost) = match (one.unwrap(), two.unwrap()) {
            (Commit::Done { .. }, Commit::Conflict { present }) => ("one", present),
            (Commit::Conflict { present }, Commit::Done { .. }) => ("two", present),
            both => panic!("not one winner: {both:?}"),
        };
        assert_that!(lost.iter().map(text).collect::<Vec<_>>(), elements_are![eq(winner)]);
        assert_that!(read(&setup.platform, &key).await, some(eq(winner)));
    }
    setup.standin.close().await;
}

/// Guards against a write whose response is lost and that is reported as "not done" or sent a
/// second time: the write took effect, so either would misreport or repeat it.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_unanswered_and_not_sent_again() {
    let setup = setup().await;
    let twice = HttpPlatform::new(vec![setup.standin.addr(); 2]);
    setup.standin.lose_answers(2);
    let lost = twice.commit(put("head", "1", 0, None)).await;
    assert_that!(lost, err(eq(&PlatformError::Unanswered)));
    assert_that!(setup.standin.counts().txns, eq(1));
    let lost = twice.grant(Duration::from_secs(6)).await;
    assert_that!(lost, err(eq(&PlatformError::Unanswered)));
    assert_that!(setup.standin.counts().grants, eq(1));
    assert_that!(read(&twice, "head").await, some(eq("1")));
    assert_that!(twice.budget().total(CallReason::Unanswered), eq(2));
    setup.standin.close().await;
}

/// Guards against a write that times out and is reported as "not done" although the slow
/// platform executes it later.
#[tokio::test(start_paused = true)]
async fn slow_write_takes_effect_after_the_timeout() {
    let setup = setup().await;
    setup.standin.slow(Duration::from_secs(10));
    let platform = setup.platform.clone();
    let call = tokio::spawn(async move { platform.commit(put("head", "1", 0, None)).await });
    setup.clock.advance(Duration::from_secs(3)).await;
    assert_that!(call.await.unwrap(), err(eq(&PlatformError::Unanswered)));
    assert_that!(setup.standin.revision(), eq(1));
    setup.standin.slow(Duration::ZERO);
    setup.clock.advance(Duration::from_secs(8)).await;
    assert_that!(read(&setup.platform, "head").await, some(eq("1")));
    setup.standin.close().await;
}

/// Guards against a holder that relies on a lease which has ended, and against keys that outlive
/// their lease.
#[tokio::test(start_paused = true)]
async fn lapsed_lease_is_reported_and_removes_its_keys() {
    let setup = setup().await;
    let lease = setup.platform.grant(Duration::from_secs(6)).await.unwrap();
    setup.platform.commit(put("relay", "me", 0, Some(lease))).await.unwrap();
    let entry = setup.platform.get("relay").await.unwrap().unwrap();
    assert_that!(entry.lease, some(eq(lease)));
    assert_that!(setup.platform.renew(lease).await, ok(eq(&())));

    assert_that!(setup.standin.expire_lease(lease.0), eq(true));
    assert_that!(read(&setup.platform, "relay").await, none());
    assert_that!(setup.platform.renew(lease).await, err(eq(&PlatformError::LeaseGone)));
    assert_that!(setup.platform.revoke(lease).await, err(eq(&PlatformError::LeaseGone)));
    let bound = setup.platform.commit(put("relay", "me", 0, Some(lease))).await;
    assert_that!(bound, err(eq(&PlatformError::LeaseGone)));

    let lease = setup.platform.grant(Duration::from_millis(1_500)).await.unwrap();
    setup.clock.advance(Duration::from_millis(1_900)).await;
    assert_that!(setup.platform.renew(lease).await, ok(eq(&())));
    setup.clock.advance(Duration::from_millis(2_100)).await;
    assert_that!(setup.platform.renew(lease).await, err(eq(&PlatformError::LeaseGone)));
    let lease = setup.platform.grant(Duration::from_secs(6)).await.unwrap();
    assert_that!(setup.platform.revoke(lease).await, ok(eq(&())));
    assert_that!(setup.platform.renew(LeaseId(999)).await, err(eq(&PlatformError::LeaseGone)));
    setup.standin.close().await;
}

/// Guards against an overload that is reported as an outage, or as a write that may have been done.
#[tokio::test(start_paused = true)]
async fn rate_limit_is_overloaded_and_nothing_is_done() {
    let setup = setup().await;
    setup.standin.limit(Some(1.0), Some(1.0));
    let revision = write(&setup.platform, "a", "1").await;
    let refused = setup.platform.commit(put("a", "2", revision, None)).await;
    assert_that!(refused, err(eq(&PlatformError::Overloaded)));
    assert_that!(setup.platform.get("a").await, ok(anything()));
    assert_that!(setup.platform.get("a").await, err(eq(&PlatformError::Overloaded)));
    assert_that!(setup.platform.budget().total(CallReason::Overloaded), eq(2));
    setup.clock.advance(Duration::from_secs(1)).await;
    assert_that!(read(&setup.platform, "a").await, some(eq("1")));
    setup.standin.close().await;
}

/// Guards against a client that stays broken after an outage, or reports refused connections
/// as if a write might have taken effect.
#[tokio::test(start_paused = true)]
async fn platform_that_is_down_is_unreachable() {
    let setup = setup().await;
    write(&setup.platform, "a", "1").await;
    setup.standin.down().await;
    for _ in 0..3 {
        let call = setup.platform.commit(put("b", "1", 0, None)).await;
        let addr = setup.standin.addr().to_string();
        assert_that!(call, err(eq(&PlatformError::Unreachable { addr })));
    }
    setup.standin.up().await;
    assert_that!(read(&setup.platform, "a").await, some(eq("1")));
    assert_that!(read(&setup.platform, "b").await, none());
    assert_that!(setup.platform.budget().total(CallReason::Unreachable), eq(3));
    let nowhere = HttpPlatform::new(Vec::new()).get("a").await;
    assert_that!(nowhere, err(matches_pattern!(PlatformError::Unreachable { .. })));
    setup.standin.close().await;
}

/// Guards against a client that gives up at an unreachable address, or tries it first in each call.
#[tokio::test(start_paused = true)]
async fn next_address_is_tried() {
    let setup = setup().await;
    let dead = Standin::new().start().await.unwrap();
    dead.down().await;
    let both = HttpPlatform::new(vec![dead.addr(), setup.standin.addr()]);
    write(&both, "a", "1").await;
    assert_that!(read(&both, "a").await, some(eq("1")));
    assert_that!(both.budget().total(CallReason::RetryConnect), eq(1));

    dead.up().await;
    dead.pause();
    let both = HttpPlatform::new(vec![dead.addr(), setup.standin.addr()]);
    let reader = both.clone();
    let call = tokio::spawn(async move { read(&reader, "a").await });
    setup.clock.advance(Duration::from_secs(3)).await;
    assert_that!(call.await.unwrap(), some(eq("1")));
    assert_that!(both.budget().total(CallReason::RetryRead), eq(1));

    // A write is not retried, but the next call avoids the address that did not respond.
    let both = HttpPlatform::new(vec![dead.addr(), setup.standin.addr()]);
    let writer = both.clone();
    let call = tokio::spawn(async move { writer.commit(put("b", "1", 0, None)).await });
    setup.clock.advance(Duration::from_secs(3)).await;
    assert_that!(call.await.unwrap(), err(eq(&PlatformError::Unanswered)));
    assert_that!(read(&both, "b").await, none());
    dead.close().await;
    setup.standin.close().await;
}

/// Guards against the reuse of a connection that has stopped responding.
#[tokio::test(start_paused = true)]
async fn silent_connection_is_replaced() {
    let setup = setup().await;
    write(&setup.platform, "a", "1").await;
    setup.standin.silence();
    let platform = setup.platform.clone();
    let call = tokio::spawn(async move { platform.get("a").await });
    setup.clock.advance(Duration::from_secs(3)).await;
    assert_that!(call.await.unwrap(), err(eq(&PlatformError::Unanswered)));
    assert_that!(read(&setup.platform, "a").await, some(eq("1")));
    setup.standin.close().await;
}

/// Guards against a value that the platform would refuse or truncate, and against a limit that
/// refuses the largest permitted value.
#[tokio::test(start_paused = true)]
async fn values_over_the_limit_are_refused() {
    let setup = setup().await;
    let sized = |size| Txn {
        puts: vec![Put { key: "part".into(), value: Bytes::from(vec![7; size]), lease: None }],
        ..Txn::default()
    };
    let refused = setup.platform.commit(sized(MAX_VALUE_BYTES + 1)).await;
    let error = PlatformError::TooLarge { size: MAX_VALUE_BYTES + 1, limit: MAX_VALUE_BYTES };
    assert_that!(refused, err(eq(&error)));
    assert_that!(setup.standin.counts().calls(), eq(0));
    assert_that!(setup.platform.commit(sized(MAX_VALUE_BYTES)).await, ok(anything()));
    let entry = setup.platform.get("part").await.unwrap().unwrap();
    assert_that!(entry.value.len(), eq(MAX_VALUE_BYTES));
    setup.standin.close().await;
}

/// Guards against a prefix that matches neighbouring keys, and a transaction that is done in part.
#[tokio::test(start_paused = true)]
async fn ranges_and_transactions_are_exact() {
    let setup = setup().await;
    for key in ["a", "relay/", "relay/b", "relay/a", "relay0", "z"] {
        write(&setup.platform, key, key).await;
    }
    let found = setup.platform.range("relay/").await.unwrap();
    let keys: Vec<_> = found.iter().map(|entry| entry.key.as_str()).collect();
    assert_that!(keys, elements_are![eq(&"relay/"), eq(&"relay/a"), eq(&"relay/b")]);
    assert_that!(setup.platform.range("").await.unwrap().len(), eq(6));

    let deletes = vec!["a".to_owned(), "z".to_owned()];
    let txn = Txn { deletes, ..put("new", "x", 99, None) };
    let refused = setup.platform.commit(txn.clone()).await.unwrap();
    assert_that!(refused, eq(&Commit::Conflict { present: Vec::new() }));
    assert_that!(setup.platform.range("").await.unwrap().len(), eq(6));
    let done = setup.platform.commit(Txn { guards: Vec::new(), ..txn }).await;
    assert_that!(done, ok(matches_pattern!(Commit::Done { .. })));
    assert_that!(setup.platform.range("").await.unwrap().len(), eq(5));
    setup.standin.close().await;
}

/// Guards against a daemon that exceeds its share of the platform's rate limit, and against
/// refusals that are not counted.
#[tokio::test(start_paused = true)]
async fn budget_refuses_before_sending() {
    let setup = setup().await;
    let platform = HttpPlatform::new(vec![setup.standin.addr()]).with_budget(Budget::new(2.0, 3));
    for _ in 0..3 {
        assert_that!(platform.get("a").await, ok(none()));
    }
    assert_that!(platform.get("a").await, err(eq(&PlatformError::BudgetExhausted)));
    assert_that!(platform.clone().get("a").await, err(eq(&PlatformError::BudgetExhausted)));
    setup.clock.advance(Duration::from_millis(500)).await;
    assert_that!(platform.get("a").await, ok(none()));
    assert_that!(platform.get("a").await, err(eq(&PlatformError::BudgetExhausted)));
    assert_that!(setup.standin.counts().ranges, eq(4));
    assert_that!(platform.budget().total(CallReason::Budget), eq(3));
    setup.standin.close().await;
}
