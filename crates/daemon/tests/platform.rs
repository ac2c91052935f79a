//! Tests of a daemon with faults of the platform, over real sockets.

mod support;

use dw_fakes::{RunningStandin, Standin};
use dw_platform::{HttpPlatform, Platform};
use dw_tables::{HEAD_KEY, Head};
use googletest::prelude::*;
use support::{publish, settings, start};

/// The version number in the platform's head.
async fn head(standin: &RunningStandin) -> u64 {
    let platform = HttpPlatform::new(vec![standin.addr()]);
    let Ok(Some(entry)) = platform.get(HEAD_KEY).await else { return 0 };
    serde_json::from_slice::<Head>(&entry.value).map_or(0, |head| head.number)
}

/// Guards against a daemon that gives up on a platform that is down when it starts.
#[gtest]
#[tokio::test]
async fn serves_once_the_platform_is_up() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    standin.down().await;
    let running = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    while running.counters().platform_calls() == 0 {
        tokio::task::yield_now().await;
    }
    expect_that!(running.served().number, eq(0));
    standin.up().await;
    running.wait_version(1).await;
    running.kill().await;
    Ok(())
}

/// Guards against a watch whose end is not detected, after which no change arrives.
#[gtest]
#[tokio::test]
async fn watches_again_after_its_connection_broke() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let running = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    running.wait_version(1).await;
    standin.reset().await;
    publish(standin.addr(), 2, support::tables()).await;
    running.wait_version(2).await;
    running.kill().await;
    Ok(())
}

/// Guards against a relay slot whose lease nobody renews because the response to the claim was lost: the
/// daemon must recognize its own write.
#[gtest]
#[tokio::test]
async fn holds_a_slot_whose_answer_was_lost() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    standin.lose_answers(4);
    let running = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    running.wait_version(1).await;
    let platform = HttpPlatform::new(vec![standin.addr()]);
    while platform.range("damaskwick/relay/portland/").await?.is_empty() {}
    while running.counters().calls["renew"] == 0 {
        tokio::task::yield_now().await;
    }
    running.close().await;
    // A relay that drains releases its slot, for which it must know the lease.
    while !platform.range("damaskwick/relay/portland/").await?.is_empty() {}
    Ok(())
}

/// Guards against an accepted version that reverts because the platform was restored from an
/// older copy (P1, P9).
#[gtest]
#[tokio::test]
async fn republishes_what_a_restored_platform_forgot() -> Result<()> {
    let standin = Standin::new().start().await?;
    publish(standin.addr(), 1, support::tables()).await;
    let older = standin.snapshot();
    let running = start(settings("p1", "portland").with_platform(vec![standin.addr()])).await;
    running.wait_version(1).await;
    publish(standin.addr(), 2, support::tables()).await;
    running.wait_version(2).await;
    standin.restore(&older).await;
    while head(&standin).await != 2 {}
    expect_that!(running.served().number, eq(2));
    running.kill().await;
    Ok(())
}
