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

/// Timeout for a version to reach all daemons or for the members to be known. It is far above the goal
/// of 4 s, so that a missed goal is measured rather than cut off.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(30);

/// Interval between edits at 11,000 a day.
const DAILY_INTERVAL: Duration = Duration::from_millis(86_400_000 / 11_000);

/// Time to wait after all daemons have joined, so that join traffic does not count as idle.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Number of edits whose convergence is measured, one after the other.
const EDITS: u64 = 10;

/// How versions spread among the daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Relays and trees, with the preset that favours little control traffic.
    #[display("cooperative")]
    Cooperative,
    /// Relays and trees, with the preset that favours short convergence times.
    #[display("verband")]
    Verband,
    /// The baseline: relays and anti-entropy, without trees.
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

/// Figures of one fleet size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Scale {
    pub preset: String,
    pub size: usize,
    pub domains: usize,
    /// Seconds until every daemon sees all members, counted from when all serve the first version.
    pub joined: Option<f64>,
    /// Milliseconds from acceptance by the platform until a daemon serves the version, over all daemons and
    /// edits: the median, and below it the 99th percentile and the maximum.
    pub median_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
    /// How often a daemon did not serve a version within `MAX_WAIT`, summed over the versions.
    pub missing: usize,
    /// Bytes per second that a daemon sends while idle.
    pub idle_bytes: f64,
    /// The same at the daily rate of edits.
    pub daily_bytes: f64,
    /// The same at ten times the daily rate of edits.
    pub tenfold_bytes: f64,
    /// Bytes that a daemon sends for one edit.
    pub edit_bytes: f64,
    /// Calls per second at the platform while idle.
    pub calls: f64,
    /// Watches that wait at the platform while the fleet is idle.
    pub watches: u64,
    /// Percent of a core that a daemon uses while idle.
    pub idle_cpu: f64,
    /// The same at ten times the daily rate of edits.
    pub tenfold_cpu: f64,
    /// Resident bytes of the process divided by the number of daemons, including the stand-in and the
    /// benchmark.
    pub memory: f64,
    /// Bytes per second that a daemon sends while idle, by message kind.
    pub idle_kinds: BTreeMap<&'static str, f64>,
    /// Calls per second at the platform while idle, by kind.
    pub call_kinds: BTreeMap<&'static str, f64>,
}

/// Cost of a fleet during one period.
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

/// Measures the cost of the fleet during a period, with edits at the interval `every`, if any.
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

/// The quantile `share` of ascending times in ms; NaN if there are none.
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
