use std::{net::SocketAddr, sync::Arc, time::Duration};

use dw_tables::Name;
use dw_wire::{FrameBody, Hello, SyncMembers, SyncReply};
use rand::seq::IteratorRandom;

use crate::{
    Counter, LogEvent, Member, MemberState, Node,
    convert::member_from_wire,
    roster::{BUCKETS, bucket_of},
    timer::Timer,
};

/// Maximum size of the member records in one frame, in bytes. Below the size limit of the decoder.
pub(crate) const RECORDS_BYTES: usize = 900 << 10;

impl Node {
    /// Merges a member record received from a peer. Returns whether it was new.
    pub(crate) fn merge_wire_record(&mut self, wire: &dw_wire::Member) -> bool {
        match member_from_wire(wire) {
            Some(member) => self.merge_record(member, Duration::from_millis(wire.dead_ms)),
            None => {
                self.count(Counter::BadMessage);
                false
            }
        }
    }

    /// Merges a member record. `age` is how long ago the member died or left. Returns whether the record was
    /// new.
    pub(crate) fn merge_record(&mut self, member: Member, age: Duration) -> bool {
        if member.host == self.me.host {
            self.refute(&member);
            return false;
        }
        let old = self.roster.get(&member.host).cloned();
        let is_new = match &old {
            Some(old) => member.supersedes(old),
            // A member that was unknown until now matters only if it may still be serving requests.
            None => {
                let may_serve =
                    member.state == MemberState::Dead && age < self.cfg.preset.dead_grace;
                member.state.is_live() || may_serve
            }
        };
        if !is_new {
            return false;
        }
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        let suspect = member.state == MemberState::Suspect && member.domain == self.me.domain;
        let gone = !member.state.is_live();
        self.acks.restart(&host, member.started);
        self.store_member(member);
        if gone && let Some(at) = self.now.checked_sub(age) {
            self.roster.gone.insert(host.clone(), at);
        }
        if suspect {
            self.start_suspicion(&host, incarnation, false);
        }
        if gone && let Some(old) = old {
            self.member_gone(&old);
        }
        true
    }

    /// Refutes a record about this host that would supersede its own one.
    fn refute(&mut self, record: &Member) {
        if self.me.state == MemberState::Left || !record.supersedes(&self.me) {
            return;
        }
        self.count(Counter::Refuted);
        self.me.incarnation = record.incarnation;
        self.update_own_record(self.me.clone());
    }

    /// Handles the death or departure of a member: this node adopts its children in the distribution trees, and
    /// tries to claim its relay slot, which may soon be free.
    pub(crate) fn member_gone(&mut self, member: &Arc<Member>) {
        self.give_up_child(member.peer);
        if member.relay && member.domain == self.me.domain && self.relay.slot.is_none() {
            self.timers.set_no_later(Timer::Claim, self.now);
        }
    }

    pub(crate) fn on_send_failed(&mut self, to: SocketAddr, refused: bool) {
        self.give_up_child(to);
        self.pull_failed(to);
        self.fleet.mark_unreachable(to, self.now);
        if !refused {
            return;
        }
        self.join.unknown_addrs.remove(&to);
        if let Some(member) = self.roster.by_addr(to).cloned() {
            self.suspect(&member.host);
            self.shorten_suspicion(&member.host);
            return;
        }
        let dead: Vec<Name> = self.roster.gone.keys().cloned().collect();
        for host in dead {
            if let Some(member) = self.roster.get(&host).cloned()
                && member.peer == to
                && member.state == MemberState::Dead
            {
                self.store_member(Member { state: MemberState::Left, ..(*member).clone() });
                self.queue_broadcast(&host);
            }
        }
    }

    /// Sends a `Hello` to test whether a process is running: a refused connection proves that it has ended.
    pub(crate) fn send_hello(&mut self, to: SocketAddr) {
        let (host, peer) = (self.me.host.to_string(), self.me.peer.to_string());
        self.send(to, FrameBody::Hello(Hello { host, peer }));
    }

    /// A random live peer of this node's domain.
    pub(crate) fn random_peer(&mut self) -> Option<SocketAddr> {
        let me = &self.me;
        let live = self.roster.live(&me.domain).filter(|m| m.host != me.host);
        live.choose(&mut self.rng).map(|m| m.peer)
    }

    /// Answers with the records of all hash buckets in which the member tables differ.
    pub(crate) fn on_sync(&mut self, from: SocketAddr, sync: &SyncMembers) {
        let mut members = Vec::new();
        let mut room = RECORDS_BYTES;
        let mut any_differs = false;
        for theirs in &sync.domains {
            let ours = self.roster.buckets(&theirs.domain);
            let mut differs = [false; BUCKETS];
            for (idx, differ) in differs.iter_mut().enumerate() {
                *differ = theirs.buckets.get(idx).copied().unwrap_or(0) != ours[idx];
            }
            any_differs |= differs.contains(&true);
            if differs.contains(&true) {
                let records = self.roster.members(&theirs.domain);
                let records = records.filter(|m| differs[bucket_of(&m.host)]);
                self.roster.collect(&mut members, &mut room, records, self.now);
            }
        }
        if sync.full {
            // The sender does not know the domains that it did not name.
            let named = |d: &Name| sync.domains.iter().any(|theirs| *theirs.domain == ***d);
            for domain in self.roster.domains().filter(|d| !named(d)) {
                let records = self.roster.members(domain);
                self.roster.collect(&mut members, &mut room, records, self.now);
            }
        }
        // A sender that was cut off may have missed broadcasts.
        let poison = self.poison.to_wire(self.now);
        if !members.is_empty() || !poison.is_empty() {
            self.send(from, FrameBody::SyncReply(SyncReply { members, poison }));
        }
        if any_differs && !sync.answer {
            // The sender may have records that this node lacks.
            let only = (!sync.full).then(|| sync.domains.first()).flatten();
            let only = only.map(|digest| Name::new(&digest.domain));
            self.ask_sync(from, only.as_ref(), true);
        }
    }

    pub(crate) fn on_sync_reply(&mut self, reply: &SyncReply) {
        self.spread_poison(&reply.poison);
        for wire in &reply.members {
            self.merge_wire_record(wire);
        }
        self.log_event(LogEvent::Detail(format!(
            "compared {} member records",
            reply.members.len()
        )));
    }
}
