//! A stand-in of the platform with a client, and helpers for calls.

#![allow(dead_code, clippy::unwrap_used)]

use bytes::Bytes;
use dw_fakes::{ManualClock, RunningStandin, Standin};
use dw_platform::{
    Budget, Commit, Entry, Event, Guard, HttpPlatform, LeaseId, Platform, PlatformError, Put, Txn,
    Watch,
};

pub(crate) struct Setup {
    pub(crate) clock: ManualClock,
    pub(crate) standin: RunningStandin,
    pub(crate) platform: HttpPlatform,
}

/// Starts a stand-in and a client whose budget is too large for a test to exhaust by accident.
pub(crate) async fn setup() -> Setup {
    let clock = ManualClock::new();
    let standin = Standin::new().start().await.unwrap();
    let platform = HttpPlatform::new(vec![standin.addr()]).with_budget(Budget::new(1e6, 1_000_000));
    Setup { clock, standin, platform }
}

pub(crate) fn put(key: &str, value: &str, revision: u64, lease: Option<LeaseId>) -> Txn {
    let value = Bytes::copy_from_slice(value.as_bytes());
    Txn {
        guards: vec![Guard { key: key.into(), revision }],
        puts: vec![Put { key: key.into(), value, lease }],
        deletes: Vec::new(),
    }
}

/// Writes a key regardless of its revision, and returns the new revision.
pub(crate) async fn write(platform: &HttpPlatform, key: &str, value: &str) -> u64 {
    let txn = Txn { guards: Vec::new(), ..put(key, value, 0, None) };
    match platform.commit(txn).await.unwrap() {
        Commit::Done { revision } => revision,
        Commit::Conflict { .. } => unreachable!("there is no guard"),
    }
}

pub(crate) async fn read(platform: &HttpPlatform, key: &str) -> Option<String> {
    platform.get(key).await.unwrap().map(|entry| text(&entry))
}

pub(crate) fn text(entry: &Entry) -> String {
    String::from_utf8_lossy(&entry.value).into_owned()
}

/// Reads events up to the one with the value `last`.
pub(crate) async fn events_until(
    watch: &mut impl Watch,
    last: &str,
) -> Result<Vec<(u64, String)>, PlatformError> {
    let mut seen = Vec::new();
    loop {
        if let Event::Put(entry) = watch.next().await? {
            let value = text(&entry);
            let done = value == last;
            seen.push((entry.revision, value));
            if done {
                return Ok(seen);
            }
        }
    }
}
