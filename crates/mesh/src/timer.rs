use std::collections::BTreeMap;

use tokio::time::Instant;

/// What a node waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The next probe period.
    Probe,
    /// Indirect probes of the member probed.
    Indirect,
    /// The end of a suspicion.
    Suspicion,
    /// The next attempt to join.
    Join,
    /// The end of the wait for floors.
    Floor,
    /// A pull is to be sent or has timed out.
    Pull,
    /// A report or the timeout of a child is due.
    Tree,
    /// A version is offered down the own tree.
    StartTree,
    /// Urgent events are broadcast.
    Urgent,
    /// A slot is claimed if the node is a candidate.
    Claim,
    /// The slot's lease is renewed.
    Renew,
    /// The head is read.
    Head,
    /// The parts are read again.
    Parts,
    /// A standby distributes a version that no relay has distributed.
    StandbyRead,
    /// The relay records are read.
    Relays,
    /// The head is republished.
    Republish,
    /// Summaries are sent.
    Summary,
    /// Members that have not acknowledged are probed.
    Audit,
    /// The status is refreshed.
    Status,
    /// The changed member table is published.
    Members,
    /// Old records are removed.
    Sweep,
}

/// One deadline for each timer.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    deadlines: BTreeMap<Timer, Instant>,
}

impl Timers {
    /// Sets a timer, in place of an earlier setting.
    pub(crate) fn set(&mut self, timer: Timer, at: Instant) {
        self.deadlines.insert(timer, at);
    }

    /// Sets a timer unless it is set to an earlier time.
    pub(crate) fn set_no_later(&mut self, timer: Timer, at: Instant) {
        let deadline = self.deadlines.entry(timer).or_insert(at);
        *deadline = at.min(*deadline);
    }

    /// Unsets a timer.
    pub(crate) fn clear(&mut self, timer: Timer) {
        self.deadlines.remove(&timer);
    }

    /// Whether a timer is set.
    pub(crate) fn is_set(&self, timer: Timer) -> bool {
        self.deadlines.contains_key(&timer)
    }

    /// The earliest deadline.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.deadlines.values().min().copied()
    }

    /// Unsets and returns the timers that are due.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<Timer> {
        let due: Vec<_> =
            self.deadlines.iter().filter(|(_, at)| **at <= now).map(|(timer, _)| *timer).collect();
        for timer in &due {
            self.deadlines.remove(timer);
        }
        due
    }
}
