use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{
    Member, MemberState,
    keeper::placement::{name_hash, weight},
};

/// Durations that decide whether a record may have been lost; see [`crate::KeeperConfig`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeeperTiming {
    pub(crate) window: Duration,
    pub(crate) hold: Duration,
    pub(crate) skew: Duration,
}

/// Which daemon is responsible for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// Another daemon.
    Remote(Name),
    /// This daemon, after it has asked an earlier keeper if there is one.
    Local {
        /// The earlier keeper to ask.
        earlier: Option<Name>,
        /// Whether the record may have been lost with a former keeper.
        lost: bool,
    },
}

/// Another daemon of the failure domain, and when its records were lost.
#[derive(Clone, Debug)]
struct Peer {
    host: Name,
    hash: u64,
    /// State and start time, unless it is gone.
    live: Option<(MemberState, Instant)>,
    /// When it last died and so lost its records.
    died_at: Option<Instant>,
    /// When it left without handing over all its records.
    left_at: Option<Instant>,
    /// Whether it has handed over its records, so that it counts as leaving even if membership still
    /// lists it as alive.
    leaving: bool,
    /// Whether the hand-over was complete.
    handed_over: bool,
}

impl Peer {
    fn new(host: &Name) -> Self {
        let hash = name_hash(host);
        Self {
            host: host.clone(),
            hash,
            live: None,
            died_at: None,
            left_at: None,
            leaving: false,
            handed_over: false,
        }
    }

    /// Detects an unannounced restart, which loses the records just as a death does.
    fn check_start(&mut self, started: Instant, skew: Duration, now: Instant) {
        if let Some((state, known)) = self.live
            && started > known + skew
        {
            self.died_at = Some(now);
            (self.leaving, self.handed_over) = (false, false);
            self.live = Some((state, started));
        }
    }

    fn apply(
        &mut self,
        member: &Member,
        own_started: Option<Instant>,
        skew: Duration,
        now: Instant,
    ) {
        self.check_start(member.started, skew, now);
        let was_live = self.live.is_some();
        match member.state {
            MemberState::Alive | MemberState::Suspect | MemberState::Leaving => {
                if !was_live {
                    (self.leaving, self.handed_over) = (false, false);
                }
                // The first reported start time is kept, so that small differences do not add up.
                let start = self.live.map_or(member.started, |(_, start)| start);
                let state = if self.leaving { MemberState::Leaving } else { member.state };
                self.live = Some((state, start));
            }
            MemberState::Left => {
                self.live = None;
                // A peer that left before this daemon started handed over its records to daemons
                // that this one asks.
                if !self.handed_over
                    && (was_live || own_started.is_none_or(|own| own < member.changed))
                {
                    self.left_at = self.left_at.max(Some(member.changed));
                }
            }
            MemberState::Dead => {
                self.live = None;
                self.died_at = self.died_at.max(Some(member.changed));
            }
        }
    }

    fn mark_gone(&mut self, now: Instant) {
        if self.live.take().is_some() {
            self.died_at = Some(now);
        }
    }

    /// Whether the record of a key may have been lost with this peer. Without the time when the
    /// request was first sent, this is assumed for the hold time after the loss.
    fn may_have_lost(
        &self,
        first_sent: Option<Instant>,
        timing: KeeperTiming,
        now: Instant,
    ) -> bool {
        let lost = |at: Instant| match first_sent {
            Some(sent) => now < at + timing.window + timing.skew && sent < at + timing.skew,
            None => now < at + timing.hold,
        };
        self.died_at.is_some_and(lost) || self.left_at.is_some_and(lost)
    }
}

/// The daemons of this failure domain, among which the keeper of each key is chosen.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Name,
    hash: u64,
    own_started: Option<Instant>,
    list: Vec<Peer>,
    timing: KeeperTiming,
}

impl Peers {
    pub(crate) fn new(own: Name, timing: KeeperTiming) -> Self {
        Self { hash: name_hash(&own), own, own_started: None, list: Vec::new(), timing }
    }

    /// Applies the current list of members; a member that is no longer listed counts as dead.
    pub(crate) fn update<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Instant) {
        let mut old: BTreeMap<Name, Peer> =
            self.list.drain(..).map(|peer| (peer.host.clone(), peer)).collect();
        for member in members {
            if member.host == self.own {
                self.own_started = self.own_started.max(Some(member.started));
                continue;
            }
            let mut peer = old.remove(&member.host).unwrap_or_else(|| Peer::new(&member.host));
            peer.apply(member, self.own_started, self.timing.skew, now);
            self.list.push(peer);
        }
        self.list.extend(old.into_values().map(|mut peer| {
            peer.mark_gone(now);
            peer
        }));
        let keep = self.timing.window + self.timing.skew;
        let recent = |at: Option<Instant>| at.is_some_and(|at| now < at + keep);
        self.list.retain(|p| p.live.is_some() || recent(p.died_at) || recent(p.left_at));
    }

    /// Records that a peer has handed over its records to the daemons of `digest`. It takes over no
    /// records from others any more, and if the digest matches, no record is lost when it leaves.
    pub(crate) fn handed_over(&mut self, host: &Name, digest: u64) {
        let agreed = digest == self.successor_digest(Some(host));
        let Some(peer) = self.list.iter_mut().find(|peer| peer.host == *host) else { return };
        peer.leaving = true;
        if let Some((state, _)) = &mut peer.live {
            *state = MemberState::Leaving;
        }
        if agreed {
            peer.handed_over = true;
            peer.left_at = None;
        }
    }

    /// Records the start time that a daemon reports, which may reveal a restart.
    pub(crate) fn observe_start(&mut self, host: &Name, started: Instant, now: Instant) {
        if let Some(peer) = self.list.iter_mut().find(|peer| peer.host == *host) {
            peer.check_start(started, self.timing.skew, now);
        }
    }

    /// Whether the daemon is a current member and can respond.
    pub(crate) fn is_live(&self, host: &Name) -> bool {
        self.list.iter().any(|peer| peer.host == *host && peer.live.is_some())
    }

    /// The daemons that can take over records from this one.
    pub(crate) fn successors(&self) -> impl Iterator<Item = &Name> {
        self.list.iter().filter(|peer| is_keeper(peer)).map(|peer| &peer.host)
    }

    /// Digest of the daemons that take over records from `from`, or from this daemon if it is `None`.
    /// If two daemons compute the same digest, they agree on which daemon takes over which key.
    pub(crate) fn successor_digest(&self, from: Option<&Name>) -> u64 {
        let others = self.list.iter().filter(|p| is_keeper(p) && Some(&p.host) != from);
        let own = from.map_or(0, |_| weight(0, self.hash));
        others.fold(own, |sum, peer| sum.wrapping_add(weight(0, peer.hash)))
    }

    /// The daemon that becomes the keeper of a key once this one has left.
    pub(crate) fn successor(&self, key: &str) -> Option<&Name> {
        let key = name_hash(key);
        let candidates = self.list.iter().filter(|peer| is_keeper(peer));
        candidates.max_by_key(|peer| (weight(key, peer.hash), &peer.host)).map(|peer| &peer.host)
    }

    /// The peers whose rank for a key is accepted, in descending order of rank.
    fn ranked(&self, key: u64, accept: impl Fn((u64, &Name)) -> bool) -> Vec<&Peer> {
        let ranks = self.list.iter().map(|peer| (weight(key, peer.hash), peer));
        let mut list: Vec<_> = ranks.filter(|(rank, p)| accept((*rank, &p.host))).collect();
        list.sort_unstable_by(|(a, p), (b, q)| (b, &q.host).cmp(&(a, &p.host)));
        list.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Which daemon is responsible for a key that this daemon has no record of. The daemons in
    /// `excluded`, which are the one that asks and those that it asked before, are ignored.
    ///
    /// The cost is a few ns per daemon of the domain, plus sorting them if this daemon has started
    /// recently.
    pub(crate) fn key_owner(
        &mut self,
        key: &str,
        first_sent: Option<Instant>,
        excluded: &[&Name],
        now: Instant,
    ) -> KeyOwner {
        let own_started = *self.own_started.get_or_insert(now);
        let key = name_hash(key);
        let own = (weight(key, self.hash), &self.own);
        let above = self.ranked(key, |rank| rank > own);
        let (mut earlier, mut lost) = (None, false);
        for peer in above {
            lost |= peer.may_have_lost(first_sent, self.timing, now);
            match peer.live.filter(|_| !excluded.contains(&&peer.host)) {
                Some((MemberState::Alive | MemberState::Suspect, _)) => {
                    return KeyOwner::Remote(peer.host.clone());
                }
                // It is leaving: the daemon ranked next takes over the key and asks it first.
                Some(_) if !peer.handed_over => earlier = earlier.or(Some(peer.host.clone())),
                _ => {}
            }
        }
        if earlier.is_some() {
            return KeyOwner::Local { earlier, lost };
        }
        if now.saturating_duration_since(own_started) >= self.timing.window {
            return KeyOwner::Local { earlier: None, lost };
        }
        // If this daemon is asked as an earlier keeper: by the end of the hold time after its start,
        // all daemons knew of it, so keys that were first sent later are its own.
        if !excluded.is_empty()
            && first_sent.is_some_and(|sent| sent >= own_started + self.timing.hold)
        {
            return KeyOwner::Local { earlier: None, lost };
        }
        let below = self.ranked(key, |rank| rank < own);
        for peer in below {
            lost |= peer.may_have_lost(first_sent, self.timing, now);
            match peer.live.filter(|_| !excluded.contains(&&peer.host)) {
                // A peer that started at about the same time may have started earlier.
                Some((_, since)) if since < own_started + self.timing.skew => {
                    return KeyOwner::Local { earlier: Some(peer.host.clone()), lost };
                }
                _ => {}
            }
        }
        // No peer is older than this daemon: earlier records of the domain, if any, are lost.
        lost |= match first_sent {
            Some(sent) => sent < own_started + self.timing.skew,
            None => now < own_started + self.timing.hold,
        };
        KeyOwner::Local { earlier: None, lost }
    }
}

fn is_keeper(peer: &Peer) -> bool {
    matches!(peer.live, Some((MemberState::Alive | MemberState::Suspect, _)))
}
