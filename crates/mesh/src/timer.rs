use std::collections::BTreeMap;

use tokio::time::Instant;

/// The timers of a node, by what happens when they fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The next probe period starts.
    Probe,
    /// Other members are asked to probe the one that has not answered.
    Indirect,
    /// A suspicion has not been refuted in time.
    Suspicion,
    /// The next attempt to join is made.
    Join,
    /// The wait for floors from peers ends.
    Floor,
    /// A pull is due or has timed out.
    Pull,
    /// A report to the parent is due, or a child has timed out.
    Tree,
    /// The version served is offered down a tree rooted at this node.
    StartTree,
    /// The queued events are broadcast.
    Broadcast,
    /// A relay slot is claimed if the node is a candidate.
    Claim,
    /// The lease of the slot is renewed.
    Renew,
    /// The platform's head is read.
    Head,
    /// Reading the parts of the head is retried.
    Parts,
    /// A standby reads and distributes a version that no relay has distributed.
    StandbyRead,
    /// The relay records are read.
    Relays,
    /// The platform's head is overwritten with the version served.
    Republish,
    /// Summaries are sent to other domains.
    Summary,
    /// Members that have not acknowledged the version are probed.
    Audit,
    /// The status is refreshed.
    Status,
    /// The changed member table is published.
    Members,
    /// Old records of dead and left members are removed.
    Sweep,
}

/// The deadline of each timer that is set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    deadlines: BTreeMap<Timer, Instant>,
}

impl Timers {
    /// Sets a timer, replacing its earlier deadline.
    pub(crate) fn set(&mut self, timer: Timer, at: Instant) {
        self.deadlines.insert(timer, at);
    }

    /// Sets a timer unless it already has an earlier deadline.
    pub(crate) fn set_no_later(&mut self, timer: Timer, at: Instant) {
        let deadline = self.deadlines.entry(timer).or_insert(at);
        *deadline = at.min(*deadline);
    }

    /// Clears a timer.
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

    /// Clears and returns the timers that are due.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<Timer> {
        let due: Vec<_> =
            self.deadlines.iter().filter(|(_, at)| **at <= now).map(|(timer, _)| *timer).collect();
        for timer in &due {
            self.deadlines.remove(timer);
        }
        due
    }
}
