use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use dw_fakes::Standin;
use dw_platform::{HttpPlatform, Platform, PlatformError, Watch};
use dw_tables::{HEAD_KEY, Head, Tables, join_parts, part_key, validate};
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use super::measure::{MAX_WAIT, quantile_ms, u64_to_f64, usize_to_f64};
use crate::{
    fleet::BoxError,
    publish::{example_tables, publish},
};

/// Number of edits whose convergence is measured.
const EDITS: u64 = 5;

/// Delay before a watch is opened again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Figures of the baseline, in which each daemon watches the platform.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Watchers {
    pub size: usize,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
    pub missing: usize,
    /// Body bytes per second and daemon at the platform while idle.
    pub idle_bytes: f64,
    /// Body bytes per edit and daemon at the platform.
    pub edit_bytes: f64,
    pub idle_calls: f64,
    /// Calls per edit at the platform.
    pub edit_calls: f64,
    pub watches: u64,
}

/// Measures a fleet of `size` watchers.
pub(crate) async fn run(size: usize, rows: usize, period: Duration) -> Result<Watchers, BoxError> {
    let standin = Standin::new().start().await?;
    let platform = HttpPlatform::new(vec![standin.addr()]);
    publish(&platform, 1, example_tables(rows, 0)?).await?;
    let (tx, mut rx) = mpsc::unbounded_channel();
    let wanted = Arc::new(AtomicU64::new(1));
    let watchers: Vec<_> = (0..size)
        .map(|_| {
            let client = HttpPlatform::new(vec![standin.addr()]);
            tokio::spawn(run_watcher(client, wanted.clone(), tx.clone()))
        })
        .collect();
    let mut missing = wait_version(&mut rx, 1, size).await.1;
    let before = standin.counts();
    sleep(period).await;
    let idle = standin.counts();
    let mut times = Vec::new();
    for number in 2..2 + EDITS {
        wanted.store(number, Ordering::Relaxed);
        publish(&platform, number, example_tables(rows, number)?).await?;
        let (mut new_times, late) = wait_version(&mut rx, number, size).await;
        missing += late;
        times.append(&mut new_times);
    }
    let after = standin.counts();
    watchers.iter().for_each(tokio::task::JoinHandle::abort);
    standin.close().await;
    times.sort_unstable();
    let (watcher_count, edits, seconds) =
        (usize_to_f64(size), u64_to_f64(EDITS), period.as_secs_f64());
    let idle_bytes = idle.bytes_in + idle.bytes_out - before.bytes_in - before.bytes_out;
    let edit_bytes = after.bytes_in + after.bytes_out - idle.bytes_in - idle.bytes_out;
    Ok(Watchers {
        size,
        median_ms: quantile_ms(&times, 0.5),
        p99_ms: quantile_ms(&times, 0.99),
        worst_ms: quantile_ms(&times, 1.0),
        missing,
        idle_bytes: u64_to_f64(idle_bytes) / watcher_count / seconds,
        edit_bytes: u64_to_f64(edit_bytes) / watcher_count / edits,
        idle_calls: u64_to_f64(idle.calls() - before.calls()) / seconds,
        edit_calls: u64_to_f64(after.calls() - idle.calls()) / edits,
        watches: idle.waiting,
    })
}

/// Waits until all watchers serve version `number`. Returns the times it took them, and how many did not
/// within `MAX_WAIT`.
async fn wait_version(
    rx: &mut mpsc::UnboundedReceiver<u64>,
    number: u64,
    size: usize,
) -> (Vec<Duration>, usize) {
    let start = Instant::now();
    let mut times = Vec::with_capacity(size);
    let all = async {
        while times.len() < size {
            match rx.recv().await {
                Some(served) if served == number => times.push(start.elapsed()),
                Some(_) => {}
                None => return,
            }
        }
    };
    // After a timeout, the remaining watchers count as missing.
    let _ = timeout(MAX_WAIT, all).await;
    let missing = size - times.len();
    (times, missing)
}

/// Runs one daemon of the baseline, which watches the head, reads the head and its parts, and validates
/// the tables.
async fn run_watcher(
    platform: HttpPlatform,
    wanted: Arc<AtomicU64>,
    tx: mpsc::UnboundedSender<u64>,
) {
    let mut served = 0;
    loop {
        if follow(&platform, &mut served, &wanted, &tx).await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn follow(
    platform: &HttpPlatform,
    served: &mut u64,
    wanted: &AtomicU64,
    tx: &mpsc::UnboundedSender<u64>,
) -> Result<(), PlatformError> {
    let mut revision = fetch_newest(platform, served, wanted, tx).await?;
    let mut watch = platform.watch(HEAD_KEY, revision).await?;
    loop {
        watch.next().await?;
        revision = fetch_newest(platform, served, wanted, tx).await?.max(revision);
    }
}

/// Reads and validates the newest version, and returns the revision of the head.
async fn fetch_newest(
    platform: &HttpPlatform,
    served: &mut u64,
    wanted: &AtomicU64,
    tx: &mpsc::UnboundedSender<u64>,
) -> Result<u64, PlatformError> {
    let Some(entry) = platform.get(HEAD_KEY).await? else { return Ok(0) };
    let protocol_error = |e: serde_json::Error| PlatformError::Protocol(e.to_string());
    let head: Head = serde_json::from_slice(&entry.value).map_err(protocol_error)?;
    let mut parts = Vec::new();
    for hash in &head.parts {
        let part = platform.get(&part_key(*hash)).await?;
        parts.extend(part.map(|part| part.value.to_vec()));
    }
    let text = join_parts(&parts, head.hash).unwrap_or_default();
    let tables = Tables::from_canonical(&text).map_err(protocol_error)?;
    if validate(&tables).is_empty() && head.number > *served {
        *served = head.number;
        if head.number >= wanted.load(Ordering::Relaxed) {
            // The benchmark may have ended.
            let _ = tx.send(head.number);
        }
    }
    Ok(entry.revision)
}
