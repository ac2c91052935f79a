use std::time::Duration;

use crate::{
    LEASE_RENEWAL, MemberState, Node, Note, PlatformCall, RELAY_SLOTS, RelayRecord,
    relay::CALL_WAIT, timer::Timer,
};

/// Wait of a candidate before it tries a taken slot again, before jitter. With the lease of 6 s a
/// slot is free for a few seconds at the most.
const CLAIM_RETRY: Duration = Duration::from_secs(3);

impl Node {
    /// The place of the node among the candidates of its domain.
    pub(crate) fn rank(&mut self) -> Option<usize> {
        let domain = self.me.domain.clone();
        self.roster.candidates(&domain).iter().position(|host| *host == self.me.host)
    }

    /// Claims a slot if the node is a candidate without one.
    pub(crate) fn run_claim(&mut self) {
        self.update_role();
        let rank = self.rank();
        if !self.join.settled || self.relay.held.is_some() || self.me.state != MemberState::Alive {
            return;
        }
        let Some(rank) = rank else {
            self.stop_watch();
            return;
        };
        let turn = u32::try_from(rank).unwrap_or(0) + self.relay.attempts;
        let record = RelayRecord {
            domain: self.me.domain.clone(),
            host: self.me.host.clone(),
            peer: self.me.peer,
            incarnation: self.me.incarnation,
        };
        self.timers.set(Timer::Claim, self.now + CALL_WAIT);
        self.call(PlatformCall::ClaimSlot { slot: turn % RELAY_SLOTS, record });
    }

    /// Renews the lease of the slot.
    pub(crate) fn run_renew(&mut self) {
        if let Some(slot) = self.relay.held {
            self.timers.set(Timer::Renew, self.now + LEASE_RENEWAL);
            self.call(PlatformCall::RenewSlot { slot });
        }
    }

    /// Gives the slot up.
    pub(crate) fn release_slot(&mut self) {
        self.stop_watch();
        if let Some(slot) = self.relay.held.take() {
            self.call(PlatformCall::ReleaseSlot { slot });
        }
    }

    pub(crate) fn on_claimed(&mut self, slot: u32) {
        if self.me.state != MemberState::Alive {
            self.call(PlatformCall::ReleaseSlot { slot });
            return;
        }
        self.relay.held = Some(slot);
        self.relay.standby = false;
        self.timers.clear(Timer::Cover);
        self.relay.claimed = Some(self.now);
        self.timers.clear(Timer::Claim);
        self.timers.set(Timer::Renew, self.now + LEASE_RENEWAL);
        self.timers.set(Timer::Head, self.now);
        self.timers.set(Timer::Relays, self.now);
    }

    /// Another host holds the slot: it is a peer, and the other slot is tried next.
    pub(crate) fn on_taken(&mut self, holder: Option<RelayRecord>) {
        self.relay.attempts += 1;
        if !self.watches() && self.me.state == MemberState::Alive {
            self.relay.standby = true;
            self.timers.sooner(Timer::Head, self.now);
        }
        let wait = CLAIM_RETRY + self.jitter(CLAIM_RETRY);
        self.timers.set(Timer::Claim, self.now + wait);
        if let Some(holder) = holder.filter(|holder| holder.host != self.me.host)
            && self.roster.get(&holder.host).is_none_or(|m| !m.state.is_live())
        {
            self.send_join(holder.peer);
        }
    }

    pub(crate) fn on_lost(&mut self, slot: u32) {
        if self.relay.held != Some(slot) {
            return;
        }
        self.note(Note::LeaseLost(slot));
        self.relay.held = None;
        self.stop_watch();
        let wait = self.jitter(Duration::from_millis(500));
        self.timers.set(Timer::Claim, self.now + wait);
    }
}
