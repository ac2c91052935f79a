use std::{net::SocketAddr, time::Duration};

use dw_tables::{Name, Tombstone};
use tokio::time::Instant;

/// Maximum number of ended incarnations that are remembered, so that a late report does not restore one.
const MAX_ENDED: usize = 64;

/// Maximum number of claims that are remembered; a target that goes on reporting repeats its own.
const MAX_CLAIMS: usize = 8;

/// Maximum number of tombstones that are announced to peers; each is a part of the host's member record.
const MAX_ANNOUNCED: usize = 4;

/// How long tombstones are announced. A report that is held up on its way arrives seconds late.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(300);

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
    /// Whether it is known not to have left before this process started.
    pub confirmed: bool,
}

impl ReportedTarget {
    /// Whether it may receive new requests.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.report.draining && !self.silent && self.confirmed
    }

    fn is_covered(&self, tombstone: &Tombstone) -> bool {
        tombstone.covers(&self.report.name, self.report.started, self.report.sequence)
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
    /// It names another service than that of the targets on this host, and was ignored.
    Foreign,
    /// It claims the name or the address of another incarnation that goes on reporting, or that started later, and was
    /// not used.
    Held,
}

/// What the sender of a report states to be. Another writer may use the name or the address of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Identity<'a> {
    name: &'a Name,
    started: u64,
    service: &'a Name,
    address: SocketAddr,
}

impl TargetReport {
    const fn identity(&self) -> Identity<'_> {
        let Self { name, started, service, address, .. } = self;
        Identity { name, started: *started, service, address: *address }
    }
}

/// The reports of an incarnation that were not used because another one holds its name or its address.
#[derive(Debug)]
struct Claim {
    /// The newest of them.
    report: TargetReport,
    /// When the first one arrived since the holder's last report.
    first_at: Instant,
    newest_at: Instant,
}

/// An incarnation whose reports are ignored, all of them or those up to its drain.
#[derive(Debug)]
struct Ended {
    tombstone: Tombstone,
    since: Instant,
    /// Whether the incarnation said so itself, so that the next process on this host has to know it too. One that was
    /// replaced by another may turn out to be the one that runs.
    announced: bool,
    /// Whether it has been returned by [`ReportedTargets::take_unsaved`].
    saved: bool,
}

/// Whether it is known which targets left before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FormerTargets {
    Known,
    /// Nobody has told yet. A late report of a target that has left looks like any other, but is not followed by a
    /// later one: a target that sends two reports at least `interval` apart is running.
    Unknown {
        interval: Duration,
    },
}

/// The targets on the host of a daemon, as known from their own reports.
#[derive(Debug)]
pub struct ReportedTargets {
    list: Vec<ReportedTarget>,
    ended: Vec<Ended>,
    claims: Vec<Claim>,
    former: FormerTargets,
    /// The service that targets on this host run; `None` if any is accepted.
    service: Option<Name>,
    silence_timeout: Duration,
    next_index: u16,
}

impl ReportedTargets {
    /// Creates an empty list. A target counts as silent after `silence_timeout` without a report.
    #[must_use]
    pub const fn new(silence_timeout: Duration) -> Self {
        Self {
            list: Vec::new(),
            ended: Vec::new(),
            claims: Vec::new(),
            former: FormerTargets::Known,
            service: None,
            silence_timeout,
            next_index: 0,
        }
    }

    /// Uses only reports of targets that run `service`; an empty name stands for any.
    #[must_use]
    pub fn with_service(mut self, service: Name) -> Self {
        self.service = Some(service).filter(|service| !service.as_str().is_empty());
        self
    }

    /// Keeps targets closed until [`Self::learn_former`] has told which ones left before this process
    /// started, or until they have sent two reports at least `interval` apart.
    #[must_use]
    pub const fn with_unknown_former(mut self, interval: Duration) -> Self {
        self.former = FormerTargets::Unknown { interval };
        self
    }

    /// The targets, in the order of their first reports.
    #[must_use]
    pub fn list(&self) -> &[ReportedTarget] {
        &self.list
    }

    /// Applies a report. A later incarnation with the same name or address replaces an earlier one once
    /// that one's reports are overdue. An earlier one, whose reports may only have been held up on
    /// their way, replaces a later one only once that one is silent and the earlier one goes on
    /// reporting.
    pub fn apply_report(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        if self.service.as_ref().is_some_and(|service| *service != report.service) {
            return ReportEffect::Foreign;
        }
        let is_void =
            |ended: &&Ended| ended.tombstone.covers(&report.name, report.started, report.sequence);
        if self.ended.iter().filter(is_void).any(|ended| ended.announced) {
            return ReportEffect::Stale;
        }
        let same = |r: &ReportedTarget| r.report.identity() == report.identity();
        if let Some(idx) = self.list.iter().position(same) {
            return self.renew(idx, report, now);
        }
        let first_claim = match self.check_claim(&report, now) {
            Ok(first) => first,
            Err(effect) => {
                self.remember_claim(report, now);
                return effect;
            }
        };
        self.claims.retain(|claim| claim.report.identity() != report.identity());
        self.ended.retain(|ended| !is_void(&ended));
        let gone = self.list.extract_if(.., |r| conflict(&r.report, &report)).collect::<Vec<_>>();
        for ReportedTarget { report, .. } in gone {
            self.end(Tombstone::of_departed(report.name, report.started), false, now);
        }
        if report.draining {
            self.end(tombstone_of(&report), true, now);
        }
        self.list.push(ReportedTarget {
            index: self.next_index,
            report,
            reported_at: now,
            silent: false,
            confirmed: self.is_confirmed(first_claim, now),
        });
        self.next_index = self.next_index.wrapping_add(1);
        ReportEffect::Changed
    }

    /// Applies a further report of a listed incarnation.
    fn renew(&mut self, idx: usize, report: TargetReport, now: Instant) -> ReportEffect {
        let old = &self.list[idx];
        if old.report.sequence >= report.sequence {
            return ReportEffect::Stale;
        }
        if report.draining && !old.report.draining {
            self.end(tombstone_of(&report), true, now);
        }
        // Whoever claimed its place before has to show again that it goes on reporting.
        self.claims.retain(|claim| !conflict(&claim.report, &report));
        let old = &self.list[idx];
        let before = (old.is_open(), old.report.slots);
        let confirmed = old.confirmed || self.is_confirmed(Some(old.reported_at), now);
        let target = &mut self.list[idx];
        *target = ReportedTarget { report, reported_at: now, silent: false, confirmed, ..*target };
        match (target.is_open(), target.report.slots) == before {
            true => ReportEffect::Same,
            false => ReportEffect::Changed,
        }
    }

    /// Whether an incarnation that is not listed may take the place of those that hold its name or its
    /// address. Returns when it first claimed it.
    fn check_claim(
        &self,
        report: &TargetReport,
        now: Instant,
    ) -> Result<Option<Instant>, ReportEffect> {
        let holders = || self.list.iter().filter(|r| conflict(&r.report, report));
        // A target that is not confirmed may have left before this process started.
        let overdue = |r: &ReportedTarget| {
            !r.confirmed || now.saturating_duration_since(r.reported_at) >= self.silence_timeout / 2
        };
        if !holders().all(overdue) {
            return Err(ReportEffect::Held);
        }
        let claim = self.claims.iter().find(|c| c.report.identity() == report.identity());
        let first = claim.map(|claim| claim.first_at);
        let replaced =
            |e: &Ended| e.tombstone.covers(&report.name, report.started, report.sequence);
        let is_latest = |r: &ReportedTarget| {
            r.report.started < report.started
                || (r.report.started == report.started && r.report.name != report.name)
        };
        if holders().all(is_latest) && !self.ended.iter().any(replaced) {
            return Ok(first);
        }
        // Two reports that were held up may arrive together; a later one shows that its sender runs.
        let goes_on = claim.is_some_and(|claim| {
            claim.report.sequence < report.sequence
                && now.saturating_duration_since(claim.first_at) >= self.silence_timeout / 4
        });
        match goes_on && holders().all(|r| r.silent) {
            true => Ok(first),
            false => Err(ReportEffect::Held),
        }
    }

    fn remember_claim(&mut self, report: TargetReport, now: Instant) {
        let silence_timeout = self.silence_timeout;
        self.claims.retain(|c| now.saturating_duration_since(c.newest_at) < silence_timeout);
        if let Some(claim) =
            self.claims.iter_mut().find(|c| c.report.identity() == report.identity())
        {
            if claim.report.sequence < report.sequence {
                (claim.report, claim.newest_at) = (report, now);
            }
            return;
        }
        if self.claims.len() >= MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim { report, first_at: now, newest_at: now });
    }

    /// Whether a target is known not to have left before this process started; `first_at` is the time
    /// of an earlier report.
    fn is_confirmed(&self, first_at: Option<Instant>, now: Instant) -> bool {
        match self.former {
            FormerTargets::Known => true,
            FormerTargets::Unknown { interval } => first_at.is_some_and(|at| now >= at + interval),
        }
    }

    /// Removes the target with this name, which has ended or is about to; returns `false` if it is not
    /// known. In that case this daemon may have just started, and reports of incarnations that started
    /// at the current time `unix_ms` or before are ignored.
    pub fn leave(&mut self, name: &str, unix_ms: u64, now: Instant) -> bool {
        let gone: Vec<_> = self.list.extract_if(.., |r| r.report.name.as_str() == name).collect();
        self.claims.retain(|claim| !gone.iter().any(|r| conflict(&claim.report, &r.report)));
        let known = !gone.is_empty();
        let departed = match known {
            true => gone.into_iter().map(|r| (r.report.name, r.report.started)).collect(),
            // A repeated announcement may arrive after the next incarnation has started.
            false => {
                let named = |e: &&Ended| e.tombstone.name.as_str() == name;
                let ended = self.ended.iter().filter(named);
                let ended: Vec<_> =
                    ended.map(|e| (e.tombstone.name.clone(), e.tombstone.started)).collect();
                if ended.is_empty() { vec![(Name::new(name), unix_ms)] } else { ended }
            }
        };
        for (name, started) in departed {
            self.end(Tombstone::of_departed(name, started), true, now);
        }
        known
    }

    /// Applies what others know of targets that left before this process started; `complete` states that this is all.
    /// Returns whether a target was opened or removed, or a tombstone is new and has to be announced.
    pub fn learn_former(&mut self, tombstones: &[Tombstone], complete: bool, now: Instant) -> bool {
        let mut changed = false;
        for tombstone in tombstones {
            changed |= self.end(tombstone.clone(), true, now);
            // The store or a peer has it already.
            self.ended
                .iter_mut()
                .filter(|e| e.tombstone == *tombstone)
                .for_each(|e| e.saved = true);
            self.list.retain(|target| !target.is_covered(tombstone));
        }
        if complete {
            self.former = FormerTargets::Known;
            for target in self.list.iter_mut().filter(|target| !target.confirmed) {
                target.confirmed = true;
                changed = true;
            }
        }
        changed
    }

    /// The tombstones that have to outlive this process and were not returned before.
    pub fn take_unsaved(&mut self) -> Vec<Tombstone> {
        let unsaved = self.ended.iter_mut().filter(|ended| ended.announced && !ended.saved);
        unsaved
            .map(|ended| {
                ended.saved = true;
                ended.tombstone.clone()
            })
            .collect()
    }

    /// The tombstones to announce to peers, which tell them to the next process on this host.
    #[must_use]
    pub fn tombstones(&self, now: Instant) -> Vec<Tombstone> {
        let recent = |ended: &&Ended| {
            ended.announced && now.saturating_duration_since(ended.since) < ANNOUNCE_DURATION
        };
        let recent = self.ended.iter().rev().filter(recent).take(MAX_ANNOUNCED);
        recent.map(|ended| ended.tombstone.clone()).collect()
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

    /// Ignores reports that the tombstone covers from now on. Returns whether any of them was not ignored before, or is
    /// to be announced now.
    fn end(&mut self, tombstone: Tombstone, announced: bool, now: Instant) -> bool {
        let Tombstone { name, started, sequence } = &tombstone;
        let same = |e: &&mut Ended| e.tombstone.name == *name && e.tombstone.started == *started;
        if let Some(ended) = self.ended.iter_mut().find(same) {
            let changed = ended.tombstone.sequence < *sequence || (announced && !ended.announced);
            if changed {
                ended.tombstone.sequence = ended.tombstone.sequence.max(*sequence);
                ended.announced |= announced;
                (ended.since, ended.saved) = (now, false);
            }
            return changed;
        }
        if self.ended.len() >= MAX_ENDED {
            let replaced = self.ended.iter().position(|ended| !ended.announced);
            self.ended.remove(replaced.unwrap_or(0));
        }
        self.ended.push(Ended { tombstone, since: now, announced, saved: false });
        true
    }
}

/// Whether two incarnations cannot both run, because they have the same name or the same address.
fn conflict(a: &TargetReport, b: &TargetReport) -> bool {
    a.name == b.name || a.address == b.address
}

/// The tombstone of a target that is draining: its earlier reports are void.
fn tombstone_of(report: &TargetReport) -> Tombstone {
    Tombstone { name: report.name.clone(), started: report.started, sequence: report.sequence }
}
