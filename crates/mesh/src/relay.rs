use std::time::Duration;

use dw_tables::{Head, Version, VersionMark, join_parts};
use tokio::time::Instant;

use crate::{
    Counter, LogEvent, MemberState, Node, PlatformCall, PlatformCallKind, PlatformEvent,
    RELAY_SLOTS, bucket::backoff, store::Release, timer::Timer,
};

/// Time after which a call that was neither answered nor failed is made again.
pub(crate) const CALL_WAIT: Duration = Duration::from_secs(10);

/// Time between two reads of the head beside the watch, in case the watch is lost silently.
const REREAD: Duration = Duration::from_secs(30);

/// Time between two reads of the head by a node that serves nothing yet, or that no peer has admitted
/// and that therefore hears of new versions from nobody else.
const UNJOINED_REREAD: Duration = Duration::from_millis(700);

/// Wait before the head is read after a version came from a peer first, before jitter. Above the time
/// in which the watch brings the largest head, of 1.4 MB, over a link of 5 Mbit/s.
const RECHECK: Duration = Duration::from_secs(4);

/// Time between two reads of the relay records by a relay, to find domains it does not know.
const RELAYS_EVERY: Duration = Duration::from_secs(30);

/// Time after which the relay records name the relays of all domains again that the platform serves:
/// their leases may have ended while it was down, and candidates wait up to 5 s between attempts.
const RELAYS_SETTLE: Duration = Duration::from_secs(10);

/// Consecutive failures after which the platform counts as down.
const DOWN: u32 = 3;

/// The part of a node that calls the platform.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    /// The slot held.
    pub(crate) held: Option<u32>,
    /// When it was claimed.
    pub(crate) claimed: Option<Instant>,
    /// Whether the node is a candidate without a slot, which watches the head too.
    pub(crate) standby: bool,
    /// The version that the node distributes without a slot because no relay did.
    pub(crate) cover: Option<u64>,
    /// Claims that found a slot taken.
    pub(crate) attempts: u32,
    /// When the last claim was made.
    pub(crate) tried: Option<Instant>,
    /// Until when a free slot is left to a candidate with a faster link.
    pub(crate) deferred: Option<Instant>,
    /// Consecutive failed calls.
    failures: u32,
    watching: bool,
    /// The platform's head as last seen; `None` inside for no head.
    pub(crate) head: Option<(Option<Head>, u64)>,
    /// When the head was asked for, while no answer has come: an answer may carry the whole
    /// configuration, and a second one beside it makes both slower.
    asked: Option<Instant>,
    /// Whether the head is to be read again once that answer has come.
    again: bool,
    /// The head whose parts are being read.
    reading: Option<Head>,
    republishing: Option<Instant>,
    /// The revision of a lower or absent head that is being read again.
    doubted: Option<u64>,
}

impl Node {
    /// Whether the node distributes for its domain: it holds a slot, or would be the first choice
    /// and the platform, which grants slots, is down.
    pub(crate) fn acts_as_relay(&self) -> bool {
        self.me.state == MemberState::Alive && self.me.relay
    }

    /// Whether the node reads and watches the platform's head.
    pub(crate) const fn watches(&self) -> bool {
        self.relay.held.is_some() || self.relay.standby
    }

    /// Tells the fleet when the node starts or ends to act as a relay.
    pub(crate) fn update_role(&mut self) {
        let first = self.rank().is_some_and(|rank| rank < RELAY_SLOTS as usize);
        let down = self.relay.failures >= DOWN;
        // Slot holders stay relays while the platform is down; more than needed cost bytes.
        let others = self.roster.relays(&self.me.domain).filter(|host| **host != self.me.host);
        let others = others.count();
        let needed = self.me.relay || others < RELAY_SLOTS as usize;
        let relay = self.join.settled
            && self.me.state == MemberState::Alive
            && (self.relay.held.is_some() || (down && first && needed));
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

    /// Reads the head; the answer starts the watch if there is none.
    pub(crate) fn run_head(&mut self) {
        if let Some(asked) = self.relay.asked.filter(|at| *at + CALL_WAIT > self.now) {
            self.relay.again = true;
            self.timers.set(Timer::Head, asked + CALL_WAIT);
            return;
        }
        if self.watches() {
            let jitter = self.jitter(REREAD);
            self.timers.set(Timer::Head, self.now + REREAD / 2 + jitter);
            self.read_head();
        } else if self.cfg.preset.durable && (!self.join.admitted || self.store.served().is_none())
        {
            self.timers.set(Timer::Head, self.now + UNJOINED_REREAD);
            self.read_head();
        }
    }

    /// The answer about the head has come: a read that was put off until then is due.
    fn end_head_read(&mut self) {
        self.relay.asked = None;
        if std::mem::take(&mut self.relay.again) {
            let wait = if self.watches() { Duration::ZERO } else { UNJOINED_REREAD };
            self.timers.set_no_later(Timer::Head, self.now + wait);
        }
    }

    fn read_head(&mut self) {
        self.relay.asked = Some(self.now);
        self.call(PlatformCall::ReadHead);
    }

    /// Reads the parts of the head again.
    pub(crate) fn run_parts(&mut self) {
        if let Some(head) = self.relay.reading.clone() {
            self.timers.set(Timer::Parts, self.now + CALL_WAIT);
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
        self.relay.cover = None;
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
        let head = matches!(
            event,
            PlatformEvent::HeadRead { .. }
                | PlatformEvent::HeadAbsent
                | PlatformEvent::HeadMalformed { .. }
                | PlatformEvent::Failed { call: PlatformCallKind::ReadHead, .. }
        );
        if head {
            self.end_head_read();
        }
        match event {
            PlatformEvent::HeadRead { head, revision } => self.on_head(Some(head), revision),
            PlatformEvent::HeadAbsent => self.on_head(None, 0),
            PlatformEvent::HeadMalformed { reason, revision } => {
                self.start_watch(revision);
                let reason = format!("the head cannot be read: {reason}");
                self.store.refused_head = Some(VersionMark::default());
                self.refuse(Counter::RefusedInvalid, VersionMark::default(), &reason);
            }
            PlatformEvent::PartsRead { head, parts } => self.on_parts(&head, &parts),
            PlatformEvent::SlotClaimed { slot } => self.on_claimed(slot),
            PlatformEvent::SlotTaken { holder, .. } => self.on_taken(holder),
            PlatformEvent::SlotRenewed { .. } => {}
            PlatformEvent::SlotLost { slot } => self.on_lost(slot),
            PlatformEvent::RelaysRead { records } => {
                if self.relay.held.is_some() {
                    let jitter = self.jitter(RELAYS_EVERY);
                    let next = self.now + RELAYS_EVERY / 2 + jitter;
                    let settled = self.relay.claimed.map_or(next, |at| at + RELAYS_SETTLE);
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

    /// Retries a failed call with full-jitter backoff.
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
        if timer != Timer::Relays || self.relay.held.is_some() {
            self.timers.set(timer, self.now + wait);
        }
    }

    fn start_watch(&mut self, revision: u64) {
        if self.watches() && !self.relay.watching {
            self.relay.watching = true;
            self.call(PlatformCall::WatchHead { revision });
        }
    }

    fn on_head(&mut self, head: Option<Head>, revision: u64) {
        self.start_watch(revision);
        let newest = self.store.newest().number;
        let number = head.as_ref().map_or(0, |head| head.number);
        let known = self.relay.head.as_ref().is_some_and(|(_, at)| *at == revision);
        if number > newest && !known {
            self.log_event(LogEvent::NewerHead { number });
        }
        let served = head.as_ref().is_some_and(|head| head.mark() == self.store.mark());
        if served && self.watches() {
            // The watch has told what a recheck would find.
            let jitter = self.jitter(REREAD);
            self.timers.set(Timer::Head, self.now + REREAD / 2 + jitter);
        }
        self.relay.head = Some((head, revision));
        // A standby leaves new versions to the relays, but not the first one that it serves.
        let first = self.cfg.preset.durable && self.store.served().is_none();
        if self.relay.held.is_some() || !self.relay.standby || first {
            self.judge_head();
        } else {
            self.stand_by();
        }
    }

    /// A version was published: a head that was seen before is compared again once it is read
    /// again, because the watch may report the newer head in a moment.
    pub(crate) fn recheck_head(&mut self) {
        let mark = self.store.mark();
        let same = |head: &Option<Head>| head.as_ref().is_some_and(|head| head.mark() == mark);
        match &self.relay.head {
            Some((head, _)) if !same(head) => {
                let wait = RECHECK + self.jitter(RECHECK);
                self.timers.set_no_later(Timer::Head, self.now + wait);
            }
            _ => {}
        }
    }

    /// Compares the platform's head with the version served: reads the parts of a newer one,
    /// refuses a lower one and a fork, and has a lower one replaced.
    pub(crate) fn judge_head(&mut self) {
        let Some((head, revision)) = self.relay.head.clone() else { return };
        let served = self.store.mark();
        let lower = head.as_ref().map_or(0, |head| head.number) < served.number;
        if lower && self.relay.doubted != Some(revision) {
            // A peer may have been faster than the watch: only a second read proves it.
            self.relay.doubted = Some(revision);
            self.timers.set(Timer::Head, self.now);
            return;
        }
        self.relay.doubted = None;
        // A durable platform belongs to the operator, who writes again what it has lost.
        if lower && !self.cfg.preset.durable {
            self.timers.set_no_later(Timer::Republish, self.now);
        }
        let Some(head) = head else { return };
        let mark = head.mark();
        if mark == served {
            self.store.refused_head = None;
            return;
        }
        if served.number == 0 && mark.number < self.store.floor {
            self.store.refused_head = Some(mark);
            let reason = format!("the host has served version {} before", self.store.floor);
            self.refuse(Counter::RefusedLower, mark, &reason);
            return;
        }
        if !self.may_follow(mark, Some(head.parent)) {
            self.store.refused_head = Some(mark);
            return;
        }
        if self.was_refused(mark) {
            self.store.refused_head = Some(mark);
            return;
        }
        self.confirm(mark);
        if mark.number > self.store.newest().number && self.relay.reading.as_ref() != Some(&head) {
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
        let version: Option<Version> = self.read_rows(head.mark(), &text);
        if let Some(version) = version {
            self.accept(Release::from_head(head, version), true);
        } else {
            self.store.refused_head = Some(head.mark());
        }
    }

    /// Writes the version served over a lower head, by compare-and-swap on that head's revision.
    pub(crate) fn run_republish(&mut self) {
        let Some((head, revision)) = self.relay.head.clone() else { return };
        let Some(release) = self.store.served().cloned() else { return };
        let lower = head.is_none_or(|head| head.number < release.version.number);
        let waiting = self.relay.republishing.is_some_and(|at| at + CALL_WAIT > self.now);
        if self.relay.held.is_none() || !lower || waiting {
            return;
        }
        self.relay.republishing = Some(self.now);
        let (head, version) = (release.head(), release.version);
        self.call(PlatformCall::Republish { head, version, revision });
    }
}
