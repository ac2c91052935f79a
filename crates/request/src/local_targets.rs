use std::{net::SocketAddr, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

/// Ended incarnations that are remembered, so that a late report does not bring one back.
const ENDED: usize = 64;

/// What a target says about itself to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Names the incarnation of the target.
    pub name: Name,
    /// When the incarnation started, in ms since the Unix epoch. Two incarnations may have the
    /// same name.
    pub started: u64,
    /// Orders the reports of one incarnation.
    pub sequence: u64,
    /// The service that it runs.
    pub service: Name,
    /// Its HTTP/1.1 address.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
}

/// One target beside the daemon.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// Names this incarnation among the targets of the host; never used again by this process.
    pub index: u16,
    /// The newest report.
    pub report: TargetReport,
    /// When that report arrived.
    pub reported_at: Instant,
    /// Whether its reports have stopped.
    pub silent: bool,
}

impl LocalTarget {
    /// Whether it may get new work.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.report.draining && !self.silent
    }
}

/// What a report led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// A new incarnation, or a change of one.
    Changed,
    /// Nothing but the time of the newest report.
    Same,
    /// It is older than what is known, and was ignored.
    Stale,
}

/// Incarnations of which no report is taken any more.
#[derive(Debug)]
struct Ended {
    name: Name,
    /// The latest start that is meant, in ms since the Unix epoch.
    started: u64,
}

/// The targets beside a daemon, from their own reports.
#[derive(Debug)]
pub struct LocalTargets {
    list: Vec<LocalTarget>,
    ended: Vec<Ended>,
    silence: Duration,
    next: u16,
}

impl LocalTargets {
    /// No targets yet; one counts as silent after `silence` without a report.
    #[must_use]
    pub const fn new(silence: Duration) -> Self {
        Self { list: Vec::new(), ended: Vec::new(), silence, next: 0 }
    }

    /// The targets, in the order in which they were first heard of.
    #[must_use]
    pub fn list(&self) -> &[LocalTarget] {
        &self.list
    }

    /// Takes a report. A later incarnation under the same name or at the same address replaces the
    /// one before, of which no report is taken any more.
    pub fn apply_report(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        let over = |e: &Ended| e.name == report.name && report.started <= e.started;
        if self.ended.iter().any(over) {
            return ReportEffect::Stale;
        }
        let known =
            |r: &&LocalTarget| r.report.name == report.name || r.report.address == report.address;
        let newer = |r: &LocalTarget| {
            let (old, new) = ((r.report.started, &r.report.name), (report.started, &report.name));
            old.0 > new.0 || (old == new && r.report.sequence >= report.sequence)
        };
        if self.list.iter().filter(known).any(newer) {
            return ReportEffect::Stale;
        }
        let same =
            |r: &LocalTarget| r.report.name == report.name && r.report.started == report.started;
        if let Some(resident) = self.list.iter_mut().find(|r| same(r)) {
            let old = (resident.is_open(), resident.report.slots, resident.report.address);
            *resident = LocalTarget { report, reported_at: now, silent: false, ..*resident };
            let new = (resident.is_open(), resident.report.slots, resident.report.address);
            return if old == new { ReportEffect::Same } else { ReportEffect::Changed };
        }
        let replaced =
            |r: &LocalTarget| r.report.name == report.name || r.report.address == report.address;
        let gone: Vec<_> = self.list.iter().filter(|r| replaced(r)).map(life).collect();
        self.list.retain(|r| !replaced(r));
        gone.into_iter().for_each(|life| self.end(life));
        self.list.push(LocalTarget { index: self.next, report, reported_at: now, silent: false });
        self.next = self.next.wrapping_add(1);
        ReportEffect::Changed
    }

    /// The target of this name is gone, or will be in a moment; `false` if it is not known. Then the
    /// daemon may have started a moment ago, and no report is taken of any incarnation that started by
    /// `unix_ms`, the time of day.
    pub fn leave(&mut self, name: &str, unix_ms: u64) -> bool {
        let gone: Vec<_> =
            self.list.iter().filter(|r| r.report.name.as_str() == name).map(life).collect();
        self.list.retain(|r| r.report.name.as_str() != name);
        let known = !gone.is_empty();
        // A repeat of an announcement that was taken may come after the next start.
        if !known && !self.ended.iter().any(|e| e.name.as_str() == name) {
            self.end(Ended { name: name.into(), started: unix_ms });
        }
        gone.into_iter().for_each(|life| self.end(life));
        known
    }

    /// Marks those whose reports have stopped; `true` if there are new ones.
    pub fn expire(&mut self, now: Instant) -> bool {
        let silence = self.silence;
        let over = |r: &&mut LocalTarget| {
            !r.silent && now.saturating_duration_since(r.reported_at) >= silence
        };
        let mut changed = false;
        for resident in self.list.iter_mut().filter(over) {
            resident.silent = true;
            changed = true;
        }
        changed
    }

    fn end(&mut self, life: Ended) {
        if self.ended.len() >= ENDED {
            self.ended.remove(0);
        }
        self.ended.push(life);
    }
}

fn life(resident: &LocalTarget) -> Ended {
    Ended { name: resident.report.name.clone(), started: resident.report.started }
}
