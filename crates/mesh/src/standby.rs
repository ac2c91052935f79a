use std::time::Duration;

use crate::{Counter, Node, timer::Timer};

/// How long a standby waits for the relays to distribute a new head, before jitter. Longer than a
/// distribution tree takes, including its batching delay, so that a standby reads no parts while a relay
/// is working.
const STANDBY_WAIT: Duration = Duration::from_millis(600);

impl Node {
    /// Whether the node offers the version that it serves to its domain: either as a relay, or as a standby
    /// that read the version because no relay had distributed it.
    pub(crate) fn offers_version(&self) -> bool {
        self.acts_as_relay() || self.relay.standby_number == Some(self.store.served_id().number)
    }

    /// As a standby, gives the relays time to distribute a newer head before it does so itself.
    pub(crate) fn wait_for_relays(&mut self) {
        if self.head_is_newer() && !self.timers.is_set(Timer::StandbyRead) {
            let jitter = self.jitter(STANDBY_WAIT);
            self.timers.set(Timer::StandbyRead, self.now + STANDBY_WAIT + jitter);
        }
    }

    /// Whether the platform's head is newer than every version that the node has.
    fn head_is_newer(&self) -> bool {
        let head = self.relay.head.as_ref().and_then(|(head, _)| head.as_ref());
        head.is_some_and(|head| head.number > self.store.newest().number)
    }

    /// As a standby, reads and distributes a version that no relay has distributed in time. Both relays
    /// may have died, and their leases expire only seconds later.
    pub(crate) fn run_standby_read(&mut self) {
        if self.relay.standby && self.head_is_newer() {
            self.relay.standby_number =
                self.relay.head.as_ref().and_then(|(h, _)| Some(h.as_ref()?.number));
            self.count(Counter::StandbyRead);
            self.evaluate_head();
        }
    }
}
