use std::time::Duration;

use dw_tables::Name;

use crate::{
    LEASE_RENEWAL, LogEvent, MemberState, Node, PlatformCall, RELAY_SLOTS, RelayRecord,
    relay::CALL_TIMEOUT, roster::relay_rank, timer::Timer,
};

/// Interval at which a candidate reconsiders its claim to a slot. With a lease of 6 s, a slot stays free for
/// a few seconds at most.
const CLAIM_RETRY: Duration = Duration::from_secs(3);

/// Delay of the next claim while the domain is not known to have all its relays, before jitter: the other
/// slot may be free, or the lease of a dead relay is about to expire.
const CLAIM_RETRY_SHORT: Duration = Duration::from_millis(500);

/// Delay of the next claim of a standby whose domain is known to have all its relays, before jitter. The
/// loss of a relay is noticed earlier through membership; this interval covers a slot record that no live
/// relay owns.
const CLAIM_RETRY_FULL: Duration = Duration::from_secs(15);

/// Minimum time for which a slot is held before it is released to a host with a faster link. If that host
/// cannot reach the platform, the slot changes hands again and again, but no more often than this.
const SLOT_MIN_HOLD: Duration = Duration::from_secs(5);

impl Node {
    /// The position of the node among the relay candidates of its domain.
    pub(crate) fn candidate_rank(&mut self) -> Option<usize> {
        let domain = self.me.domain.clone();
        self.roster.candidates(&domain).iter().position(|host| *host == self.me.host)
    }

    /// Claims a slot if the node is a candidate without one, or releases its slot to a candidate with a faster
    /// link.
    pub(crate) fn run_claim(&mut self) {
        self.update_role();
        let rank = self.candidate_rank();
        if !self.join.settled || self.me.state != MemberState::Alive {
            return;
        }
        if self.relay.slot.is_some() {
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
        if self.defers_to_faster() || self.claim_not_due() {
            return;
        }
        self.relay.last_claim = Some(self.now);
        let turn = u32::try_from(rank).unwrap_or(0) + self.relay.attempts;
        let record = RelayRecord {
            domain: self.me.domain.clone(),
            host: self.me.host.clone(),
            peer: self.me.peer,
            incarnation: self.me.incarnation,
        };
        self.timers.set(Timer::Claim, self.now + CALL_TIMEOUT);
        self.call(PlatformCall::ClaimSlot { slot: turn % RELAY_SLOTS, record });
    }

    /// Whether a candidate with a faster link is without a slot.
    fn faster_candidate_waits(&mut self) -> bool {
        let (domain, class) = (self.me.domain.clone(), self.me.link_class());
        let hosts = self.roster.candidates(&domain).to_vec();
        let mut members = hosts.iter().filter_map(|host| self.roster.get(host));
        members.any(|member| !member.relay && member.link_class() > class)
    }

    /// Whether the domain is known to have all its relays.
    fn has_all_relays(&self) -> bool {
        self.roster.relays(&self.me.domain).count() >= RELAY_SLOTS as usize
    }

    /// Whether a standby can skip this claim: according to membership both slots are taken, and its last
    /// claim was recent. Every membership change schedules a claim, and every claim is a platform call.
    fn claim_not_due(&mut self) -> bool {
        let Some(last_claim) = self.relay.last_claim else { return false };
        let until = last_claim + CLAIM_RETRY_FULL;
        let held = self.relay.standby && !self.me.relay && self.has_all_relays();
        let early = held && self.now < until;
        if early {
            self.timers.set(Timer::Claim, until);
        }
        early
    }

    /// Starts to watch the head as a standby.
    fn become_standby(&mut self) {
        if !self.watches_head() && self.me.state == MemberState::Alive {
            self.relay.standby = true;
            self.timers.set_no_later(Timer::Head, self.now);
        }
    }

    /// Leaves a free slot to a candidate with a faster link for a limited time. That candidate may be unable to
    /// reach the platform, so the node claims the slot itself if it is still free afterwards.
    fn defers_to_faster(&mut self) -> bool {
        if !self.faster_candidate_waits() {
            self.relay.defer_until = None;
            return false;
        }
        if self.has_all_relays() {
            // A relay may be about to release its slot to that candidate.
            self.relay.defer_until = None;
            self.become_standby();
            self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
            return true;
        }
        let until = *self.relay.defer_until.get_or_insert(self.now + CLAIM_RETRY);
        let defers = self.now < until;
        if defers {
            self.timers.set(Timer::Claim, until);
        }
        defers
    }

    /// Whether the node should release its slot to a candidate with a faster link. Of the domain's relays, only
    /// the one with the slowest link does so, while the other one continues.
    fn should_yield(&mut self) -> bool {
        let mine = relay_rank(&self.me);
        let behind =
            |host: &Name| self.roster.get(host).is_some_and(|member| relay_rank(member) > mine);
        let last = !self.roster.relays(&self.me.domain).any(behind);
        let held = self.relay.claimed.is_some_and(|at| at + SLOT_MIN_HOLD <= self.now);
        held && last && self.has_all_relays() && self.faster_candidate_waits()
    }

    /// Releases the slot to a candidate with a faster link, which learns of it from the node's new member
    /// record.
    fn yield_slot(&mut self) {
        self.release_slot();
        self.update_role();
        self.relay.defer_until = Some(self.now + CLAIM_RETRY);
        self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
    }

    /// Renews the lease of the slot.
    pub(crate) fn run_renew(&mut self) {
        if let Some(slot) = self.relay.slot {
            self.timers.set(Timer::Renew, self.now + LEASE_RENEWAL);
            self.call(PlatformCall::RenewSlot { slot });
        }
    }

    /// Releases the slot and stops watching the head.
    pub(crate) fn release_slot(&mut self) {
        self.stop_watch();
        if let Some(slot) = self.relay.slot.take() {
            self.call(PlatformCall::ReleaseSlot { slot });
        }
    }

    /// Starts to distribute versions to the domain, after the node has obtained a slot.
    pub(crate) fn on_claimed(&mut self, slot: u32) {
        if self.me.state != MemberState::Alive {
            self.call(PlatformCall::ReleaseSlot { slot });
            return;
        }
        self.relay.slot = Some(slot);
        self.relay.standby = false;
        self.timers.clear(Timer::StandbyRead);
        self.relay.claimed = Some(self.now);
        self.timers.set(Timer::Claim, self.now + CLAIM_RETRY);
        self.timers.set(Timer::Renew, self.now + LEASE_RENEWAL);
        self.timers.set(Timer::Head, self.now);
        self.timers.set(Timer::Relays, self.now);
    }

    /// Handles a slot that another host holds: that host is a peer to join, and the other slot is tried next.
    pub(crate) fn on_taken(&mut self, holder: Option<RelayRecord>) {
        self.relay.attempts += 1;
        self.become_standby();
        let wait = if self.has_all_relays() { CLAIM_RETRY_FULL } else { CLAIM_RETRY_SHORT };
        let wait = wait + self.jitter(wait);
        self.timers.set(Timer::Claim, self.now + wait);
        if let Some(holder) = holder.filter(|holder| holder.host != self.me.host)
            && self.roster.get(&holder.host).is_none_or(|m| !m.state.is_live())
        {
            self.send_join(holder.peer);
        }
    }

    /// Handles the end of the lease, after which another host may hold the slot.
    pub(crate) fn on_lost(&mut self, slot: u32) {
        if self.relay.slot != Some(slot) {
            return;
        }
        self.log_event(LogEvent::LeaseLost(slot));
        self.relay.slot = None;
        self.stop_watch();
        let wait = self.jitter(Duration::from_millis(500));
        self.timers.set(Timer::Claim, self.now + wait);
    }
}
