use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use dw_mesh::{Preset, PresetName};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    fleet::{BoxError, Fleet},
    publish::{example_tables, publish},
    usage::Usage,
};

/// The longest wait for a version or for the member table; far above the goal of 4 s so that a
/// miss is measured rather than cut off.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(30);

/// Time between two edits at 11,000 changes a day.
const DAILY_INTERVAL: Duration = Duration::from_millis(86_400_000 / 11_000);

/// Wait after the fleet is complete, so that the traffic of joining is not counted as idle.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Edits whose convergence is measured one by one.
const EDITS: u64 = 10;

/// How versions reach the daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Relays and trees, with the preset that favours control bytes.
    #[display("cooperative")]
    Cooperative,
    /// Relays and trees, with the preset that favours convergence time.
    #[display("verband")]
    Verband,
    /// Baseline: relays and anti-entropy without trees.
    #[display("gossip only")]
    Gossip,
}

impl Mode {
    pub(crate) const fn preset(self) -> Preset {
        match self {
            Self::Cooperative => Preset::new(PresetName::Cooperative),
            Self::Verband => Preset::new(PresetName::Verband),
            Self::Gossip => Preset { fan_out: 0, ..Preset::new(PresetName::Verband) },
        }
    }
}

/// Figures at one size of the fleet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Scale {
    pub preset: String,
    pub size: usize,
    pub domains: usize,
    /// Seconds until every daemon sees all members.
    pub joined: Option<f64>,
    /// Milliseconds from acceptance until a daemon serves the version, over daemons and edits.
    pub median_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
    /// Daemons that missed an edit within the limit.
    pub missing: usize,
    /// Bytes sent a second by a daemon.
    pub idle_bytes: f64,
    pub daily_bytes: f64,
    pub tenfold_bytes: f64,
    /// Bytes sent by a daemon for one edit.
    pub edit_bytes: f64,
    /// Calls a second at the platform, idle, and waiting watches.
    pub calls: f64,
    pub watches: u64,
    /// Percent of a core used by a daemon, idle and at ten times the daily rate.
    pub idle_cpu: f64,
    pub tenfold_cpu: f64,
    /// Resident bytes of the process for each daemon, with the stand-in and the bench.
    pub memory: f64,
    /// Bytes sent a second by a daemon while idle, by kind of message.
    pub idle_kinds: BTreeMap<&'static str, f64>,
    /// Calls a second at the platform while idle, by kind.
    pub call_kinds: BTreeMap<&'static str, f64>,
}

/// Cost of a fleet over one period.
struct PeriodCost {
    bytes: f64,
    cpu: f64,
    calls: f64,
    kinds: BTreeMap<&'static str, f64>,
    call_kinds: BTreeMap<&'static str, f64>,
}

/// Measures a fleet of `size` daemons.
pub(crate) async fn measure_scale(
    size: usize,
    domains: usize,
    mode: Mode,
    rows: usize,
    period: Duration,
) -> Result<Scale, BoxError> {
    let fleet = Fleet::start(size, domains, mode.preset()).await?;
    publish(&fleet.platform, 1, example_tables(rows, 0)?).await?;
    let first = fleet.wait_version(1, MAX_WAIT).await;
    let joined = fleet.wait_members(MAX_WAIT).await;
    sleep(SETTLE_TIME).await;
    let mut number = 1;
    let idle = measure_period(&fleet, period, None, &mut number, rows).await?;
    let watches = fleet.standin.counts().waiting;

    let mut times = Vec::new();
    let mut missing = first.missing;
    let sent = fleet.sent_bytes();
    let start = Instant::now();
    for _ in 0..EDITS {
        number += 1;
        publish(&fleet.platform, number, example_tables(rows, number)?).await?;
        let convergence = fleet.wait_version(number, MAX_WAIT).await;
        missing += convergence.missing;
        times.extend(convergence.times);
    }
    let background = idle.bytes * usize_to_f64(size) * start.elapsed().as_secs_f64();
    let edit_bytes = (u64_to_f64(fleet.sent_bytes() - sent) - background)
        / usize_to_f64(size)
        / u64_to_f64(EDITS);
    times.sort_unstable();

    let daily = measure_period(
        &fleet,
        period.max(DAILY_INTERVAL * 2),
        Some(DAILY_INTERVAL),
        &mut number,
        rows,
    )
    .await?;
    let tenfold =
        measure_period(&fleet, period, Some(DAILY_INTERVAL / 10), &mut number, rows).await?;
    let after = Usage::now();
    fleet.close().await;
    let at = |share: f64| quantile_ms(&times, share);
    Ok(Scale {
        preset: mode.to_string(),
        size,
        domains,
        joined: joined.map(|d| d.as_secs_f64()),
        median_ms: at(0.5),
        p99_ms: at(0.99),
        worst_ms: at(1.0),
        missing,
        idle_bytes: idle.bytes,
        daily_bytes: daily.bytes,
        tenfold_bytes: tenfold.bytes,
        edit_bytes,
        calls: idle.calls,
        watches,
        idle_cpu: idle.cpu,
        tenfold_cpu: tenfold.cpu,
        idle_kinds: idle.kinds,
        call_kinds: idle.call_kinds,
        memory: u64_to_f64(after.resident) / usize_to_f64(size),
    })
}

/// Runs the fleet for a period, with an edit each `every`.
async fn measure_period(
    fleet: &Fleet,
    period: Duration,
    every: Option<Duration>,
    number: &mut u64,
    rows: usize,
) -> Result<PeriodCost, BoxError> {
    let size = usize_to_f64(fleet.daemons.len());
    let (sent, usage, calls) = (fleet.sent_bytes(), Usage::now(), fleet.standin.counts());
    let before = fleet.sent_bytes_by_kind();
    let start = Instant::now();
    while start.elapsed() < period {
        let Some(every) = every else {
            sleep(period).await;
            break;
        };
        *number += 1;
        publish(&fleet.platform, *number, example_tables(rows, *number)?).await?;
        sleep(every.min(period.saturating_sub(start.elapsed()))).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = Usage::now().cpu.saturating_sub(usage.cpu).as_secs_f64();
    let after = fleet.standin.counts();
    let kinds = fleet.sent_bytes_by_kind().into_iter().filter_map(|(kind, bytes)| {
        let rate = u64_to_f64(bytes - before.get(kind).copied().unwrap_or(0)) / size / seconds;
        (rate > 0.0).then_some((kind, rate))
    });
    let call_kinds = [
        ("range", after.ranges - calls.ranges),
        ("txn", after.txns + after.conflicts - calls.txns - calls.conflicts),
        ("grant", after.grants - calls.grants),
        ("keepalive", after.keepalives - calls.keepalives),
        ("watch", after.watches - calls.watches),
    ];
    Ok(PeriodCost {
        bytes: u64_to_f64(fleet.sent_bytes() - sent) / size / seconds,
        cpu: cpu / size / seconds * 100.0,
        calls: u64_to_f64(after.calls() - calls.calls()) / seconds,
        kinds: kinds.collect(),
        call_kinds: call_kinds.map(|(kind, count)| (kind, u64_to_f64(count) / seconds)).into(),
    })
}

/// The value at `share` of ascending times, in ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn quantile_ms(times: &[Duration], share: f64) -> f64 {
    let last = times.len().saturating_sub(1);
    let idx = (usize_to_f64(last) * share).round() as usize;
    times.get(idx).map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0)
}

#[allow(clippy::cast_precision_loss)]
pub(crate) const fn usize_to_f64(count: usize) -> f64 {
    count as f64
}

#[allow(clippy::cast_precision_loss)]
pub(crate) const fn u64_to_f64(count: u64) -> f64 {
    count as f64
}
