use std::time::Duration;

use crate::{Counter, Node, timer::Timer};

/// How long a standby leaves a new head to the relays, before jitter. Above the time of a tree with
/// its batching delay, so that a standby reads no parts while a relay works.
const STANDBY_WAIT: Duration = Duration::from_millis(600);

impl Node {
    /// Whether the node offers the version served to its domain: as a relay, or as the standby that
    /// read it because no relay distributed it.
    pub(crate) fn offering(&self) -> bool {
        self.acts_as_relay() || self.relay.cover == Some(self.store.mark().number)
    }

    /// As a standby, leaves a newer head to the relays for a while.
    pub(crate) fn stand_by(&mut self) {
        if self.is_uncovered() && !self.timers.is_set(Timer::StandbyRead) {
            let jitter = self.jitter(STANDBY_WAIT);
            self.timers.set(Timer::StandbyRead, self.now + STANDBY_WAIT + jitter);
        }
    }

    /// Whether the platform's head is newer than any version the node holds.
    fn is_uncovered(&self) -> bool {
        let head = self.relay.head.as_ref().and_then(|(head, _)| head.as_ref());
        head.is_some_and(|head| head.number > self.store.newest().number)
    }

    /// As a standby, reads and distributes a version that no relay has distributed in time: both
    /// may have died, and their leases end only seconds later.
    pub(crate) fn run_cover(&mut self) {
        if self.relay.standby && self.is_uncovered() {
            self.relay.cover = self.relay.head.as_ref().and_then(|(h, _)| Some(h.as_ref()?.number));
            self.count(Counter::StandbyRead);
            self.judge_head();
        }
    }
}
