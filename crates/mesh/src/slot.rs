use std::time::Duration;

use dw_tables::Name;

use crate::{
    LEASE_RENEWAL, LogEvent, MemberState, Node, PlatformCall, RELAY_SLOTS, RelayRecord,
    relay::CALL_WAIT, roster::relay_rank, timer::Timer,
};

/// Wait of a candidate before it tries a taken slot again, before jitter. With the lease of 6 s a
/// slot is free for a few seconds at the most.
const CLAIM_RETRY: Duration = Duration::from_secs(3);

/// The same while the domain is not known to have all its relays: the other slot may be free, or the
/// lease of a relay that died is about to end.
const CLAIM_NEXT: Duration = Duration::from_millis(500);

/// Wait of a standby whose domain is known to have all its relays. Membership tells sooner that one of them
/// is gone; this is for a record that no live relay holds.
const CLAIM_FULL: Duration = Duration::from_secs(15);

/// The shortest time for which a slot is held before it is left to a faster host. Slots that pass between
/// a host and one that cannot reach the platform do so this seldom.
const SLOT_TIME: Duration = Duration::from_secs(5);

impl Node {
    /// The place of the node among the candidates of its domain.
    pub(crate) fn rank(&mut self) -> Option<usize> {
        let domain = self.me.domain.clone();
        self.roster.candidates(&domain).iter().position(|host| *host == self.me.host)
    }

    /// Claims a slot if the node is a candidate without one, or leaves its slot to a better candidate.
    pub(crate) fn run_claim(&mut self) {
        self.update_role();
        let rank = self.rank();
        if !self.join.settled || self.me.state != MemberState::Alive {
            return;
        }
        if self.relay.held.is_some() {
            self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
            if self.should_yield() {
                self.yield_slot();
            }
            return;
        }
        let Some(rank) = rank else {
            self.stop_watch();
            return;
        };
        if self.gives_way() || self.rests() {
            return;
        }
        self.relay.tried = Some(self.now);
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

    /// Whether a candidate with a faster link has no slot.
    fn faster_waits(&mut self) -> bool {
        let (domain, class) = (self.me.domain.clone(), self.me.link_class());
        let hosts = self.roster.candidates(&domain).to_vec();
        let mut members = hosts.iter().filter_map(|host| self.roster.get(host));
        members.any(|member| !member.relay && member.link_class() > class)
    }

    /// Whether the domain is known to have all its relays.
    fn is_full(&self) -> bool {
        self.roster.relays(&self.me.domain).count() >= RELAY_SLOTS as usize
    }

    /// Whether a standby has no reason to claim a slot: both are held as far as membership tells, and it
    /// made sure a short time ago. Each change of membership asks for a claim, and each claim is a call.
    fn rests(&mut self) -> bool {
        let Some(tried) = self.relay.tried else { return false };
        let until = tried + CLAIM_FULL;
        let held = self.relay.standby && !self.me.relay && self.is_full();
        let rests = held && self.now < until;
        if rests {
            self.timers.set(Timer::Claim, until);
        }
        rests
    }

    /// Watches the head as a standby.
    fn stand_ready(&mut self) {
        if !self.watches() && self.me.state == MemberState::Alive {
            self.relay.standby = true;
            self.timers.set_no_later(Timer::Head, self.now);
        }
    }

    /// Leaves a free slot to a candidate with a faster link for a while. It may be cut off from the
    /// platform, so the node claims the slot if that does not happen.
    fn gives_way(&mut self) -> bool {
        if !self.faster_waits() {
            self.relay.deferred = None;
            return false;
        }
        if self.is_full() {
            // A relay may be about to make room for that candidate.
            self.relay.deferred = None;
            self.stand_ready();
            self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
            return true;
        }
        let until = *self.relay.deferred.get_or_insert(self.now + CLAIM_RETRY);
        let defers = self.now < until;
        if defers {
            self.timers.set(Timer::Claim, until);
        }
        defers
    }

    /// Whether a candidate with a faster link waits and the node is the one to make room: of the relays
    /// of the domain, the other of which goes on, it has the slowest link.
    fn should_yield(&mut self) -> bool {
        let mine = relay_rank(&self.me);
        let behind =
            |host: &Name| self.roster.get(host).is_some_and(|member| relay_rank(member) > mine);
        let last = !self.roster.relays(&self.me.domain).any(behind);
        let held = self.relay.claimed.is_some_and(|at| at + SLOT_TIME <= self.now);
        held && last && self.is_full() && self.faster_waits()
    }

    /// Gives the slot to a candidate with a faster link, which learns of it as the node's role changes.
    fn yield_slot(&mut self) {
        self.release_slot();
        self.update_role();
        self.relay.deferred = Some(self.now + CLAIM_RETRY);
        self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
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

    /// Distributes for the domain from now on.
    pub(crate) fn on_claimed(&mut self, slot: u32) {
        if self.me.state != MemberState::Alive {
            self.call(PlatformCall::ReleaseSlot { slot });
            return;
        }
        self.relay.held = Some(slot);
        self.relay.standby = false;
        self.timers.clear(Timer::StandbyRead);
        self.relay.claimed = Some(self.now);
        self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
        self.timers.set(Timer::Renew, self.now + LEASE_RENEWAL);
        self.timers.set(Timer::Head, self.now);
        self.timers.set(Timer::Relays, self.now);
    }

    /// Another host holds the slot: it is a peer, and the other slot is tried next.
    pub(crate) fn on_taken(&mut self, holder: Option<RelayRecord>) {
        self.relay.attempts += 1;
        self.stand_ready();
        let wait = if self.is_full() { CLAIM_FULL } else { CLAIM_NEXT };
        let wait = wait + self.jitter(wait);
        self.timers.set(Timer::Claim, self.now + wait);
        if let Some(holder) = holder.filter(|holder| holder.host != self.me.host)
            && self.roster.get(&holder.host).is_none_or(|m| !m.state.is_live())
        {
            self.send_join(holder.peer);
        }
    }

    /// The lease has ended: another host may hold the slot.
    pub(crate) fn on_lost(&mut self, slot: u32) {
        if self.relay.held != Some(slot) {
            return;
        }
        self.log_event(LogEvent::LeaseLost(slot));
        self.relay.held = None;
        self.stop_watch();
        let wait = self.jitter(Duration::from_millis(500));
        self.timers.set(Timer::Claim, self.now + wait);
    }
}
