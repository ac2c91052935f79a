use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use tokio::time::Instant;

use super::{Attempt, Check, Deployment, Reply};

/// The results of the demo.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The deployment that was shown.
    pub deployment: Deployment,
    /// The number of hosts, each with a daemon.
    pub daemons: usize,
    /// The duration of the demo, in seconds.
    pub seconds: f64,
    /// The convergence of each accepted version.
    pub versions: Vec<Convergence>,
    /// The version served by each host at the end; `None` for a host without a daemon.
    pub in_force: BTreeMap<String, Option<u64>>,
    /// What the callers saw.
    pub calls: CallStats,
    /// The number of runs at all targets.
    pub runs: usize,
    /// The control traffic of the daemons.
    pub control: ControlTraffic,
    /// The promises and whether they were kept.
    pub checks: Vec<Check>,
}

/// How fast a version came into force.
#[derive(Clone, Debug, Serialize)]
pub struct Convergence {
    /// The version number.
    pub version: u64,
    /// A description of the edit.
    pub edit: String,
    /// The number of daemons that ran.
    pub daemons: usize,
    /// Milliseconds from acceptance until half of the daemons served it.
    pub half_ms: u64,
    /// Milliseconds from acceptance until all of them served it; `None` if that did not happen.
    pub all_ms: Option<u64>,
    /// Milliseconds from acceptance until a daemon in each domain reported it as in force
    /// everywhere; `None` if that did not happen.
    pub reported_ms: Option<u64>,
}

/// Counts of attempts by what their caller received, with response times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallStats {
    /// The number of requests, each counted once.
    pub requests: usize,
    /// The number of attempts. Requests are sent again on purpose, or after a refusal or an unknown
    /// outcome.
    pub sent: usize,
    /// Attempts with a complete answer.
    pub answered: usize,
    /// Attempts answered with a status other than 200.
    pub failed: usize,
    /// Attempts with a complete response that is not the answer to the request.
    pub wrong: usize,
    /// Attempts refused as not run, by reason.
    pub not_run: BTreeMap<String, usize>,
    /// Attempts with an unknown outcome, by reason.
    pub unknown: BTreeMap<String, usize>,
    /// Median response time of answered attempts, in microseconds.
    pub median_us: u128,
    /// 99th percentile of the response time of answered attempts, in microseconds.
    pub p99_us: u128,
}

/// The control traffic of daemons, sent and received.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ControlTraffic {
    /// The number of daemons that ran for the whole time measured.
    pub daemons: usize,
    /// The time measured, in seconds.
    pub seconds: f64,
    /// The mean over the daemons, in bytes per second.
    pub mean: f64,
    /// The maximum over the daemons, in bytes per second.
    pub max: f64,
}

impl CallStats {
    /// Counts the attempts.
    #[must_use]
    pub fn new(attempts: &[Attempt]) -> Self {
        let mut stats = Self { sent: attempts.len(), ..Self::default() };
        let mut times = Vec::new();
        for attempt in attempts {
            match &attempt.reply {
                Reply::Answered => {
                    stats.answered += 1;
                    times.push(attempt.ended.duration_since(attempt.sent).as_micros());
                }
                Reply::Wrong { .. } => stats.wrong += 1,
                Reply::Failed { .. } => stats.failed += 1,
                Reply::NotRun { reason, .. } => {
                    *stats.not_run.entry(reason.clone()).or_default() += 1;
                }
                Reply::Unknown { reason } => {
                    *stats.unknown.entry(reason.clone()).or_default() += 1;
                }
            }
        }
        let mut ids: Vec<&str> = attempts.iter().map(|s| &*s.request).collect();
        ids.sort_unstable();
        ids.dedup();
        stats.requests = ids.len();
        times.sort_unstable();
        let percentile = |percent: usize| {
            times.get((times.len() * percent / 100).min(times.len().saturating_sub(1))).copied()
        };
        stats.median_us = percentile(50).unwrap_or_default();
        stats.p99_us = percentile(99).unwrap_or_default();
        stats
    }
}

impl Convergence {
    fn line(&self) -> String {
        let ms = |time: Option<u64>| time.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        format!(
            "  version {}, {}: half of {} daemons after {} ms, all after {}, reported by every \
             domain after {}",
            self.version,
            self.edit,
            self.daemons,
            self.half_ms,
            ms(self.all_ms),
            ms(self.reported_ms)
        )
    }
}

/// An accepted version that is not yet in force everywhere.
pub(super) struct ConvergenceStart {
    pub(super) version: u64,
    pub(super) edit: String,
    pub(super) accepted: Instant,
}

impl ConvergenceStart {
    pub(super) fn new(version: u64, edit: &str, accepted: Instant) -> Self {
        Self { version, edit: edit.to_owned(), accepted }
    }

    /// Computes the convergence. `times` holds when each daemon first served the version.
    pub(super) fn end(self, times: Option<Vec<Instant>>, is_reported: bool) -> Convergence {
        let ms = |at: &Instant| millis(at.saturating_duration_since(self.accepted));
        let mut all: Vec<u64> = times.iter().flatten().map(ms).collect();
        all.sort_unstable();
        Convergence {
            version: self.version,
            edit: self.edit,
            daemons: all.len(),
            half_ms: all.get(all.len().div_ceil(2).saturating_sub(1)).copied().unwrap_or(0),
            all_ms: times.and_then(|_| all.last().copied()),
            reported_ms: is_reported.then(|| millis(self.accepted.elapsed())),
        }
    }
}

impl Report {
    /// The checks that failed.
    #[must_use]
    pub fn broken(&self) -> Vec<&Check> {
        self.checks.iter().filter(|check| check.broken > 0).collect()
    }

    /// Formats the report as human-readable lines.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![String::new(), "in force at the end:".to_owned()];
        let mut versions: BTreeMap<Option<u64>, Vec<&str>> = BTreeMap::new();
        for (host, version) in &self.in_force {
            versions.entry(*version).or_default().push(host);
        }
        for (version, hosts) in versions {
            let name = version.map_or("no daemon".to_owned(), |n| format!("version {n}"));
            lines.push(format!("  {name} on {} hosts: {}", hosts.len(), hosts.join(", ")));
        }
        lines.push("convergence, from acceptance by the platform:".to_owned());
        lines.extend(self.versions.iter().map(Convergence::line));
        lines.extend(self.call_lines());
        let ControlTraffic { daemons, seconds, mean, max } = self.control;
        lines.push(format!(
            "control bytes, sent and received, of {daemons} daemons in {seconds:.1} s: mean \
             {mean:.0} B/s, highest {max:.0} B/s per daemon"
        ));
        lines.push("promises:".to_owned());
        for check in &self.checks {
            let mark = if check.broken == 0 { "kept  " } else { "BROKEN" };
            lines.push(format!("  {mark}  {}", check.promise));
            lines.extend(check.cases.iter().map(|case| format!("            {case}")));
        }
        lines
    }

    fn call_lines(&self) -> Vec<String> {
        let calls = &self.calls;
        let sum = |counts: &BTreeMap<String, usize>| counts.values().sum::<usize>();
        let list = |counts: &BTreeMap<String, usize>| {
            let items: Vec<_> = counts.iter().map(|(name, n)| format!("{name} {n}")).collect();
            if items.is_empty() { String::new() } else { format!(" ({})", items.join(", ")) }
        };
        vec![
            format!(
                "calls: {} requests, sent {} times, {} runs at the targets",
                calls.requests, calls.sent, self.runs
            ),
            format!(
                "  answered            {}, median {:.1} ms, 99th percentile {:.1} ms",
                calls.answered,
                micros_to_ms(calls.median_us),
                micros_to_ms(calls.p99_us)
            ),
            format!("  answered, not 200   {}", calls.failed),
            format!("  refused as not run  {}{}", sum(&calls.not_run), list(&calls.not_run)),
            format!("  unknown             {}{}", sum(&calls.unknown), list(&calls.unknown)),
            format!("  wrong or short      {}", calls.wrong),
        ]
    }
}

fn micros_to_ms(micros: u128) -> f64 {
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)).as_secs_f64() * 1000.0
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
