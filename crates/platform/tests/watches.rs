//! Watches over real connections to a stand-in of the platform that injects faults.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{events_until, put, read, setup, write};
use dw_platform::{CallReason, Event, MAX_VALUE_BYTES, Platform, PlatformError, Watch};
use googletest::prelude::*;

/// Guards against events that are lost or duplicated when a watch is interrupted and resumed
/// during writes.
#[tokio::test(start_paused = true)]
async fn watch_resumes_without_lost_or_duplicate_events() {
    let setup = setup().await;
    let mut written = vec![(write(&setup.platform, "head", "0").await, "0".to_owned())];
    let mut seen = Vec::new();
    let mut last = 0;
    for round in 1..=30 {
        let mut watch = setup.platform.watch("head", last).await.unwrap();
        for step in 0..3 {
            let value = format!("{round}.{step}");
            written.push((write(&setup.platform, "head", &value).await, value));
            write(&setup.platform, "heads", "other").await;
        }
        // Interrupt at a different place each time, also with unread events.
        let last_read = format!("{round}.{}", round % 3);
        seen.extend(events_until(&mut watch, &last_read).await.unwrap());
        last = seen.last().unwrap().0;
        setup.standin.reset().await;
    }
    let mut watch = setup.platform.watch("head", last).await.unwrap();
    written.push((write(&setup.platform, "head", "end").await, "end".to_owned()));
    seen.extend(events_until(&mut watch, "end").await.unwrap());
    assert_that!(seen, eq(&written));
    setup.standin.close().await;
}

/// Guards against an event that is lost because the caller dropped the future, as `select!` does.
#[tokio::test(start_paused = true)]
async fn dropping_the_future_loses_no_event() {
    let setup = setup().await;
    let mut watch = setup.platform.watch("head", 0).await.unwrap();
    let mut written = Vec::new();
    for step in 0..50 {
        let value = step.to_string();
        written.push((write(&setup.platform, "head", &value).await, value));
    }
    let mut seen = Vec::new();
    while seen.len() < written.len() {
        tokio::select! {
            biased;
            event = watch.next() => match event.unwrap() {
                Event::Put(entry) => seen.push((entry.revision, common::text(&entry))),
                Event::Delete { .. } => panic!("nothing was deleted"),
            },
            () = tokio::task::yield_now() => {}
        }
    }
    assert_that!(seen, eq(&written));
    setup.standin.close().await;
}

/// Guards against lines that are split or joined wrongly when they arrive in many pieces.
#[tokio::test(start_paused = true)]
async fn large_values_are_read_in_pieces() {
    let setup = setup().await;
    let mut watch = setup.platform.watch("part", 0).await.unwrap();
    let mut written = Vec::new();
    for letter in ["a", "b", "c"] {
        let value = letter.repeat(MAX_VALUE_BYTES);
        written.push((write(&setup.platform, "part", &value).await, value));
        written.push((write(&setup.platform, "part", letter).await, letter.to_owned()));
    }
    let seen = events_until(&mut watch, "c").await.unwrap();
    assert_that!(seen == written, eq(true));
    setup.standin.close().await;
}

/// Guards against a lease that ends without an event, so that nobody learns of its holder's end.
#[tokio::test(start_paused = true)]
async fn end_of_a_lease_is_an_event() {
    let setup = setup().await;
    let lease = setup.platform.grant(Duration::from_secs(6)).await.unwrap();
    setup.platform.commit(put("relay", "me", 0, Some(lease))).await.unwrap();
    let revision = setup.platform.get("relay").await.unwrap().unwrap().revision;
    let mut watch = setup.platform.watch("relay", revision).await.unwrap();
    assert_that!(setup.standin.counts().waiting, eq(1));
    setup.clock.advance(Duration::from_secs(7)).await;
    let gone = Event::Delete { key: "relay".into(), revision: revision + 1 };
    assert_that!(watch.next().await, ok(eq(&gone)));
    drop(watch);
    while setup.standin.counts().waiting > 0 {
        setup.clock.settle().await;
    }
    setup.standin.close().await;
}

/// Guards against a watch that waits forever on a connection which has failed silently.
#[tokio::test(start_paused = true)]
async fn silent_watch_is_an_error() {
    let setup = setup().await;
    let mut watch = setup.platform.watch("head", 0).await.unwrap();
    setup.standin.silence();
    write(&setup.platform.clone(), "other", "x").await;
    let next = tokio::spawn(async move {
        let first = watch.next().await;
        (first, watch.next().await)
    });
    setup.clock.advance(Duration::from_secs(11)).await;
    let (first, again) = next.await.unwrap();
    assert_that!(first, err(eq(&PlatformError::Unanswered)));
    assert_that!(again, err(eq(&PlatformError::Unanswered)));
    assert_that!(setup.platform.budget().total(CallReason::WatchSilent), eq(1));
    setup.standin.close().await;
}

/// Guards against an idle but healthy watch that is treated as failed.
#[tokio::test(start_paused = true)]
async fn progress_notifications_keep_an_idle_watch_open() {
    let setup = setup().await;
    let mut watch = setup.platform.watch("head", 0).await.unwrap();
    let next = tokio::spawn(async move { watch.next().await });
    for _ in 0..60 {
        setup.clock.advance(Duration::from_secs(1)).await;
    }
    write(&setup.platform, "head", "1").await;
    assert_that!(next.await.unwrap(), ok(matches_pattern!(Event::Put(_))));
    assert_that!(setup.standin.counts().watches, eq(1));
    setup.standin.close().await;
}

/// Guards against a watch that is reported as open after the platform went down.
#[tokio::test(start_paused = true)]
async fn broken_watch_is_an_error() {
    let setup = setup().await;
    let mut watch = setup.platform.watch("head", 0).await.unwrap();
    setup.standin.down().await;
    assert_that!(watch.next().await, err(eq(&PlatformError::Unanswered)));
    let reopened = setup.platform.watch("head", 0).await.err();
    assert_that!(reopened, some(matches_pattern!(PlatformError::Unreachable { .. })));
    assert_that!(setup.platform.budget().total(CallReason::WatchBroken), eq(1));
    setup.standin.close().await;
}

/// Guards against a compaction after which changes are skipped silently, or an old or absent key
/// can never be watched again.
#[tokio::test(start_paused = true)]
async fn compaction_is_reported_only_if_changes_are_lost() {
    let setup = setup().await;
    let first = write(&setup.platform, "head", "1").await;
    let second = write(&setup.platform, "head", "2").await;
    write(&setup.platform, "other", "x").await;
    setup.standin.compact();
    let mut lost = setup.platform.watch("head", first).await.unwrap();
    assert_that!(lost.next().await, err(eq(&PlatformError::Compacted)));
    let mut kept = setup.platform.watch("head", second).await.unwrap();
    let mut absent = setup.platform.watch("absent", 0).await.unwrap();
    write(&setup.platform, "absent", "now").await;
    write(&setup.platform, "head", "3").await;
    assert_that!(events_until(&mut kept, "3").await.unwrap().len(), eq(1));
    assert_that!(events_until(&mut absent, "now").await.unwrap().len(), eq(1));
    setup.standin.close().await;
}

/// Guards against a watch that misses changes because it waits for a revision which a restored
/// platform reaches only after other changes.
#[tokio::test(start_paused = true)]
async fn watch_after_a_restore_is_refused() {
    let setup = setup().await;
    write(&setup.platform, "head", "1").await;
    let backup = setup.standin.snapshot();
    let newer = write(&setup.platform, "head", "2").await;
    let mut watch = setup.platform.watch("head", newer).await.unwrap();
    setup.standin.restore(&backup).await;
    assert_that!(watch.next().await, err(eq(&PlatformError::Unanswered)));
    let reopened = setup.platform.watch("head", newer).await.err();
    assert_that!(reopened, some(eq(&PlatformError::Compacted)));
    assert_that!(read(&setup.platform, "head").await, some(eq("1")));
    setup.standin.close().await;
}
