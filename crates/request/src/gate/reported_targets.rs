use std::{net::SocketAddr, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

/// Maximum number of ended incarnations that are remembered, so that a late report does not restore one.
const MAX_ENDED: usize = 64;

/// The report that a target sends about itself to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Name of this incarnation of the target.
    pub name: Name,
    /// When the incarnation started, in ms since the Unix epoch. Two incarnations may have the
    /// same name.
    pub started: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// The service that it runs.
    pub service: Name,
    /// Its HTTP/1.1 address.
    pub address: SocketAddr,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Remaining time for which it is slow after its start.
    pub warmup_left: Duration,
    /// Its version; `None` unless rollouts are enabled.
    pub version: Option<Name>,
}

/// A target on the same host as the daemon.
#[derive(Clone, Debug)]
pub struct ReportedTarget {
    /// Index of this incarnation among the targets of the host; never reused by this process.
    pub index: u16,
    /// The newest report.
    pub report: TargetReport,
    /// When that report arrived.
    pub reported_at: Instant,
    /// Whether its reports have stopped.
    pub silent: bool,
}

impl ReportedTarget {
    /// Whether it may receive new requests.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.report.draining && !self.silent
    }
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// It added or changed an incarnation.
    Changed,
    /// It changed only the time of the newest report.
    Same,
    /// It was outdated and ignored.
    Stale,
}

/// Incarnations whose reports are ignored.
#[derive(Debug)]
struct EndedIncarnation {
    name: Name,
    /// Incarnations that started at this time or before, in ms since the Unix epoch.
    started: u64,
}

/// The targets on the host of a daemon, as known from their own reports.
#[derive(Debug)]
pub struct ReportedTargets {
    list: Vec<ReportedTarget>,
    ended: Vec<EndedIncarnation>,
    silence_timeout: Duration,
    next_index: u16,
}

impl ReportedTargets {
    /// Creates an empty list. A target counts as silent after `silence_timeout` without a report.
    #[must_use]
    pub const fn new(silence_timeout: Duration) -> Self {
        Self { list: Vec::new(), ended: Vec::new(), silence_timeout, next_index: 0 }
    }

    /// The targets, in the order of their first reports.
    #[must_use]
    pub fn list(&self) -> &[ReportedTarget] {
        &self.list
    }

    /// Applies a report. A later incarnation with the same name or address replaces the earlier one,
    /// whose reports are ignored from then on.
    pub fn apply_report(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        let outdated = |e: &EndedIncarnation| e.name == report.name && report.started <= e.started;
        if self.ended.iter().any(outdated) {
            return ReportEffect::Stale;
        }
        let known = |r: &&ReportedTarget| {
            r.report.name == report.name || r.report.address == report.address
        };
        let newer = |r: &ReportedTarget| {
            let (old, new) = ((r.report.started, &r.report.name), (report.started, &report.name));
            old.0 > new.0 || (old == new && r.report.sequence >= report.sequence)
        };
        if self.list.iter().filter(known).any(newer) {
            return ReportEffect::Stale;
        }
        let same =
            |r: &ReportedTarget| r.report.name == report.name && r.report.started == report.started;
        if let Some(target) = self.list.iter_mut().find(|r| same(r)) {
            let old = (target.is_open(), target.report.slots, target.report.address);
            *target = ReportedTarget { report, reported_at: now, silent: false, ..*target };
            let new = (target.is_open(), target.report.slots, target.report.address);
            return if old == new { ReportEffect::Same } else { ReportEffect::Changed };
        }
        let replaced =
            |r: &ReportedTarget| r.report.name == report.name || r.report.address == report.address;
        let gone: Vec<_> =
            self.list.iter().filter(|r| replaced(r)).map(ended_incarnation).collect();
        self.list.retain(|r| !replaced(r));
        gone.into_iter().for_each(|ended| self.remember_ended(ended));
        self.list.push(ReportedTarget {
            index: self.next_index,
            report,
            reported_at: now,
            silent: false,
        });
        self.next_index = self.next_index.wrapping_add(1);
        ReportEffect::Changed
    }

    /// Removes the target with this name, which has ended or is about to; returns `false` if it is not
    /// known. In that case this daemon may have just started, and reports of incarnations that started
    /// at the current time `unix_ms` or before are ignored.
    pub fn leave(&mut self, name: &str, unix_ms: u64) -> bool {
        let gone: Vec<_> = self
            .list
            .iter()
            .filter(|r| r.report.name.as_str() == name)
            .map(ended_incarnation)
            .collect();
        self.list.retain(|r| r.report.name.as_str() != name);
        let known = !gone.is_empty();
        // A repeated announcement may arrive after the next incarnation has started.
        if !known && !self.ended.iter().any(|e| e.name.as_str() == name) {
            self.remember_ended(EndedIncarnation { name: name.into(), started: unix_ms });
        }
        gone.into_iter().for_each(|ended| self.remember_ended(ended));
        known
    }

    /// Marks targets whose reports have stopped as silent; returns whether any became silent.
    pub fn expire(&mut self, now: Instant) -> bool {
        let silence_timeout = self.silence_timeout;
        let became_silent = |r: &&mut ReportedTarget| {
            !r.silent && now.saturating_duration_since(r.reported_at) >= silence_timeout
        };
        let mut changed = false;
        for target in self.list.iter_mut().filter(became_silent) {
            target.silent = true;
            changed = true;
        }
        changed
    }

    fn remember_ended(&mut self, ended: EndedIncarnation) {
        if self.ended.len() >= MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push(ended);
    }
}

fn ended_incarnation(target: &ReportedTarget) -> EndedIncarnation {
    EndedIncarnation { name: target.report.name.clone(), started: target.report.started }
}
