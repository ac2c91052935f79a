use std::time::Duration;

use dw_tables::{Head, Version, VersionId, join_parts};
use tokio::time::Instant;

use crate::{
    Counter, LogEvent, MemberState, Node, PlatformCall, PlatformCallKind, PlatformEvent,
    RELAY_SLOTS, bucket::backoff, store::Release, timer::Timer,
};

/// Time after which a call that has neither been answered nor failed is repeated.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Mean time between two reads of the head in addition to the watch, in case the watch breaks unnoticed.
const HEAD_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two reads of the head by a node that serves nothing yet, or that no peer has admitted and
/// that therefore does not learn of new versions from peers.
const UNJOINED_HEAD_INTERVAL: Duration = Duration::from_millis(700);

/// Delay before the head is read again after a version arrived from a peer first, before jitter. Longer than
/// the watch needs to deliver the largest head, of 1.4 MB, over a link of 5 Mbit/s.
const RECHECK_DELAY: Duration = Duration::from_secs(4);

/// Mean time between two reads of the relay records by a relay, which discovers unknown domains that way.
const RELAYS_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which the relay records again name the relays of all domains that can reach the platform.
/// Leases may have expired while the platform was down, and candidates wait up to 5 s between attempts.
const RELAYS_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Number of consecutive failed calls after which the platform counts as down.
const DOWN_FAILURES: u32 = 3;

/// The state of a node's calls to the platform and of its role as a relay.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    /// The relay slot that the node holds.
    pub(crate) slot: Option<u32>,
    /// When the slot was obtained.
    pub(crate) claimed: Option<Instant>,
    /// Whether the node is a standby: a candidate without a slot that watches the head as relays do.
    pub(crate) standby: bool,
    /// The number of the version that the node distributes as a standby because no relay did.
    pub(crate) standby_number: Option<u64>,
    /// Number of claims that found the slot taken.
    pub(crate) attempts: u32,
    /// When the node last tried to claim a slot.
    pub(crate) last_claim: Option<Instant>,
    /// Until when the node leaves a free slot to a candidate with a faster link.
    pub(crate) defer_until: Option<Instant>,
    /// Number of consecutive failed calls.
    failures: u32,
    watching: bool,
    /// The platform's head and its revision as last seen. The inner option is `None` if there is no head.
    pub(crate) head: Option<(Option<Head>, u64)>,
    /// When the head was requested, if the answer is outstanding. Only one request is made at a time: an answer
    /// may carry the whole configuration, and two concurrent answers slow each other down.
    head_asked: Option<Instant>,
    /// Whether the head must be read again after that answer.
    head_due: bool,
    /// The head whose parts are being read.
    reading: Option<Head>,
    /// When republishing was started, if it has not finished.
    republishing: Option<Instant>,
    /// The revision of a lower or absent head that is being read again before the node acts on it.
    lower_revision: Option<u64>,
}

impl Node {
    /// Whether the node distributes versions to its domain as a relay: either it holds a slot, or it is one of
    /// the preferred candidates while the platform, which grants the slots, is down.
    pub(crate) fn acts_as_relay(&self) -> bool {
        self.me.state == MemberState::Alive && self.me.relay
    }

    /// Whether the node reads and watches the platform's head.
    pub(crate) const fn watches_head(&self) -> bool {
        self.relay.slot.is_some() || self.relay.standby
    }

    /// Starts or stops acting as a relay as needed, and announces the change to the fleet.
    pub(crate) fn update_role(&mut self) {
        let preferred = self.candidate_rank().is_some_and(|rank| rank < RELAY_SLOTS as usize);
        let down = self.relay.failures >= DOWN_FAILURES;
        // Slot holders stay relays while the platform is down. Further relays would only cost bytes.
        let others = self.roster.relays(&self.me.domain).filter(|host| **host != self.me.host);
        let others = others.count();
        let needed = self.me.relay || others < RELAY_SLOTS as usize;
        let relay = self.join.settled
            && self.me.state == MemberState::Alive
            && (self.relay.slot.is_some() || (down && preferred && needed));
        if relay == self.me.relay {
            return;
        }
        let mut me = self.me.clone();
        me.relay = relay;
        self.update_own_record(me);
        self.log_event(LogEvent::Relay(relay));
        if relay {
            self.timers.set(Timer::StartTree, self.now + self.cfg.preset.batch_delay);
            self.timers.set(Timer::Summary, self.now);
            self.timers.set(Timer::Audit, self.now);
        } else {
            self.timers.clear(Timer::Summary);
            self.timers.clear(Timer::Audit);
        }
    }

    /// Reads the head, unless a read is outstanding. The answer starts the watch if there is none.
    pub(crate) fn run_head(&mut self) {
        if let Some(asked) = self.relay.head_asked.filter(|at| *at + CALL_TIMEOUT > self.now) {
            self.relay.head_due = true;
            self.timers.set(Timer::Head, asked + CALL_TIMEOUT);
            return;
        }
        if self.watches_head() {
            let jitter = self.jitter(HEAD_INTERVAL);
            self.timers.set(Timer::Head, self.now + HEAD_INTERVAL / 2 + jitter);
            self.read_head();
        } else if self.cfg.preset.durable && (!self.join.admitted || self.store.served().is_none())
        {
            self.timers.set(Timer::Head, self.now + UNJOINED_HEAD_INTERVAL);
            self.read_head();
        }
    }

    /// Ends a read of the head, and schedules the one that was postponed until then.
    fn end_head_read(&mut self) {
        self.relay.head_asked = None;
        if std::mem::take(&mut self.relay.head_due) {
            let wait = if self.watches_head() { Duration::ZERO } else { UNJOINED_HEAD_INTERVAL };
            self.timers.set_no_later(Timer::Head, self.now + wait);
        }
    }

    fn read_head(&mut self) {
        self.relay.head_asked = Some(self.now);
        self.call(PlatformCall::ReadHead);
    }

    /// Reads the parts of the head, and repeats the call if it times out.
    pub(crate) fn run_parts(&mut self) {
        if let Some(head) = self.relay.reading.clone() {
            self.timers.set(Timer::Parts, self.now + CALL_TIMEOUT);
            self.call(PlatformCall::ReadParts(head));
        }
    }

    pub(crate) fn stop_watch(&mut self) {
        if std::mem::take(&mut self.relay.watching) {
            self.call(PlatformCall::StopWatch);
        }
        self.relay.head = None;
        self.relay.reading = None;
        self.relay.standby = false;
        self.relay.standby_number = None;
        for timer in [Timer::StandbyRead, Timer::Head, Timer::Parts, Timer::Republish, Timer::Renew]
        {
            self.timers.clear(timer);
        }
    }

    pub(crate) fn on_platform(&mut self, event: PlatformEvent) {
        if !matches!(event, PlatformEvent::Failed { .. }) {
            let count = std::mem::take(&mut self.relay.failures);
            if count > 0 {
                self.log_event(LogEvent::PlatformRecovered { count });
            }
        }
        let ends_head_read = matches!(
            event,
            PlatformEvent::HeadRead { .. }
                | PlatformEvent::HeadAbsent
                | PlatformEvent::HeadMalformed { .. }
                | PlatformEvent::Failed { call: PlatformCallKind::ReadHead, .. }
        );
        if ends_head_read {
            self.end_head_read();
        }
        match event {
            PlatformEvent::HeadRead { head, revision } => self.on_head(Some(head), revision),
            PlatformEvent::HeadAbsent => self.on_head(None, 0),
            PlatformEvent::HeadMalformed { reason, revision } => {
                self.start_watch(revision);
                let reason = format!("the head cannot be read: {reason}");
                self.store.refused_head = Some(VersionId::default());
                self.refuse(Counter::RefusedInvalid, VersionId::default(), &reason);
            }
            PlatformEvent::PartsRead { head, parts } => self.on_parts(&head, &parts),
            PlatformEvent::SlotClaimed { slot } => self.on_claimed(slot),
            PlatformEvent::SlotTaken { holder, .. } => self.on_taken(holder),
            PlatformEvent::SlotRenewed { .. } => {}
            PlatformEvent::SlotLost { slot } => self.on_lost(slot),
            PlatformEvent::RelaysRead { records } => {
                if self.relay.slot.is_some() {
                    let jitter = self.jitter(RELAYS_INTERVAL);
                    let next = self.now + RELAYS_INTERVAL / 2 + jitter;
                    let settled = self.relay.claimed.map_or(next, |at| at + RELAYS_SETTLE_TIME);
                    self.join.members_known |= self.now >= settled;
                    let next = if self.join.members_known { next } else { next.min(settled) };
                    self.timers.set(Timer::Relays, next);
                }
                self.on_relay_records(records);
            }
            PlatformEvent::Republished { number, revision } => {
                self.relay.republishing = None;
                self.count(Counter::Republished);
                self.log_event(LogEvent::Restored { number });
                let head = self.store.served().map(Release::head);
                if let Some(head) = head.filter(|head| head.number == number) {
                    self.on_head(Some(head), revision);
                }
            }
            PlatformEvent::RepublishConflict { .. } => {
                self.relay.republishing = None;
                self.timers.set_no_later(Timer::Head, self.now);
            }
            PlatformEvent::Failed { call, reason } => self.on_call_failed(call, &reason),
        }
        self.update_role();
    }

    /// Schedules a retry of a failed call, with full-jitter backoff.
    fn on_call_failed(&mut self, call: PlatformCallKind, reason: &str) {
        self.relay.failures = self.relay.failures.saturating_add(1);
        self.count(Counter::PlatformFailed);
        let count = self.relay.failures;
        self.log_event(LogEvent::CallFailed { call, reason: reason.to_owned(), count });
        let wait = backoff(&mut self.rng, self.relay.failures);
        let timer = match call {
            PlatformCallKind::WatchHead => {
                self.relay.watching = false;
                Timer::Head
            }
            PlatformCallKind::ReadHead => Timer::Head,
            PlatformCallKind::ReadParts => Timer::Parts,
            PlatformCallKind::ClaimSlot => Timer::Claim,
            PlatformCallKind::RenewSlot => Timer::Renew,
            PlatformCallKind::Republish => {
                self.relay.republishing = None;
                Timer::Republish
            }
            PlatformCallKind::ReadRelays => {
                if !self.join.admitted {
                    self.timers.set_no_later(Timer::Join, self.now + wait);
                }
                Timer::Relays
            }
            PlatformCallKind::StopWatch | PlatformCallKind::ReleaseSlot => return,
        };
        if timer != Timer::Relays || self.relay.slot.is_some() {
            self.timers.set(timer, self.now + wait);
        }
    }

    fn start_watch(&mut self, revision: u64) {
        if self.watches_head() && !self.relay.watching {
            self.relay.watching = true;
            self.call(PlatformCall::WatchHead { revision });
        }
    }

    /// Whether an answer with this revision was sent before one that has already arrived, such as a read of the
    /// head that is slower than the watch. Revisions go back only if the platform is restored from a backup,
    /// which ends the watch.
    fn is_overtaken(&self, revision: u64) -> bool {
        self.relay.watching && self.relay.head.as_ref().is_some_and(|(_, known)| revision < *known)
    }

    fn on_head(&mut self, head: Option<Head>, revision: u64) {
        if head.is_some() && self.is_overtaken(revision) {
            return;
        }
        self.start_watch(revision);
        let newest = self.store.newest().number;
        let number = head.as_ref().map_or(0, |head| head.number);
        let known = self.relay.head.as_ref().is_some_and(|(_, at)| *at == revision);
        if number > newest && !known {
            self.log_event(LogEvent::NewerHead { number });
        }
        let served = head.as_ref().is_some_and(|head| head.version_id() == self.store.served_id());
        if served && self.watches_head() {
            // A recheck would find nothing that the watch has not reported.
            let jitter = self.jitter(HEAD_INTERVAL);
            self.timers.set(Timer::Head, self.now + HEAD_INTERVAL / 2 + jitter);
        }
        self.relay.head = Some((head, revision));
        // A standby leaves new versions to the relays, except for the first one that it serves.
        let first = self.cfg.preset.durable && self.store.served().is_none();
        if self.relay.slot.is_some() || !self.relay.standby || first {
            self.evaluate_head();
        } else {
            self.wait_for_relays();
        }
    }

    /// Schedules another read of the head after a version was published, if the last known head differs from
    /// that version. The read is delayed, because the watch may be about to report the newer head.
    pub(crate) fn recheck_head(&mut self) {
        let version_id = self.store.served_id();
        let same =
            |head: &Option<Head>| head.as_ref().is_some_and(|head| head.version_id() == version_id);
        match &self.relay.head {
            Some((head, _)) if !same(head) => {
                let wait = RECHECK_DELAY + self.jitter(RECHECK_DELAY);
                self.timers.set_no_later(Timer::Head, self.now + wait);
            }
            _ => {}
        }
    }

    /// Compares the platform's head with the version served: reads the parts of a newer head, refuses a lower
    /// head or a fork, and schedules the replacement of a lower head.
    pub(crate) fn evaluate_head(&mut self) {
        let Some((head, revision)) = self.relay.head.clone() else { return };
        let served = self.store.served_id();
        let lower = head.as_ref().map_or(0, |head| head.number) < served.number;
        if lower && self.relay.lower_revision != Some(revision) {
            // A peer may have been faster than the watch, so only a second read proves that the head is lower.
            self.relay.lower_revision = Some(revision);
            self.timers.set(Timer::Head, self.now);
            return;
        }
        self.relay.lower_revision = None;
        // The head on a durable platform belongs to the operator, who writes lost versions again.
        if lower && !self.cfg.preset.durable {
            self.timers.set_no_later(Timer::Republish, self.now);
        }
        let Some(head) = head else { return };
        let version_id = head.version_id();
        if version_id == served {
            self.store.refused_head = None;
            return;
        }
        if served.number == 0 && version_id.number < self.store.floor {
            self.store.refused_head = Some(version_id);
            let reason = format!("the host has served version {} before", self.store.floor);
            self.refuse(Counter::RefusedLower, version_id, &reason);
            return;
        }
        if !self.may_follow(version_id, Some(head.parent)) {
            self.store.refused_head = Some(version_id);
            return;
        }
        if self.was_refused(version_id) {
            self.store.refused_head = Some(version_id);
            return;
        }
        self.confirm_staged(version_id);
        if version_id.number > self.store.newest().number
            && self.relay.reading.as_ref() != Some(&head)
        {
            self.relay.reading = Some(head);
            self.run_parts();
        }
    }

    fn on_parts(&mut self, head: &Head, parts: &[Vec<u8>]) {
        if self.relay.reading.as_ref() != Some(head) {
            return;
        }
        let Some(text) = join_parts(parts, head.hash) else {
            self.on_call_failed(PlatformCallKind::ReadParts, "the parts do not match the hash");
            return;
        };
        self.relay.reading = None;
        self.timers.clear(Timer::Parts);
        let version: Option<Version> = self.read_rows(head.version_id(), &text);
        if let Some(version) = version {
            self.accept(Release::from_head(head, version), true);
        } else {
            self.store.refused_head = Some(head.version_id());
        }
    }

    /// Replaces a lower head by the version served, with a compare-and-swap on that head's revision.
    pub(crate) fn run_republish(&mut self) {
        let Some((head, revision)) = self.relay.head.clone() else { return };
        let Some(release) = self.store.served().cloned() else { return };
        let lower = head.is_none_or(|head| head.number < release.version.number);
        let waiting = self.relay.republishing.is_some_and(|at| at + CALL_TIMEOUT > self.now);
        if self.relay.slot.is_none() || !lower || waiting {
            return;
        }
        self.relay.republishing = Some(self.now);
        let (head, version) = (release.head(), release.version);
        self.call(PlatformCall::Republish { head, version, revision });
    }
}
