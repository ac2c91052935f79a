use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{
    Member, MemberState,
    placement::{name_hash, weight},
};

/// Times that decide when a record may have been lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeeperTiming {
    pub(crate) window: Duration,
    pub(crate) hold: Duration,
    pub(crate) skew: Duration,
}

/// Whose task a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// Another daemon's.
    Remote(Name),
    /// Own, after asking an earlier keeper if there is one.
    Local {
        /// The earlier keeper.
        earlier: Option<Name>,
        /// Whether the record may have been lost with a keeper that is gone.
        lost: bool,
    },
}

/// Another daemon of the domain, and when its records were lost.
#[derive(Clone, Debug)]
struct Peer {
    host: Name,
    hash: u64,
    /// State and time of joining, unless it is gone.
    live: Option<(MemberState, Instant)>,
    /// When it last died.
    died_at: Option<Instant>,
    /// When it left without a complete hand-over.
    left_at: Option<Instant>,
    /// Whether it handed over what it had, whatever a stale view of membership says.
    leaving: bool,
    /// Whether nothing was missing in its hand-over.
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

    /// Notices a restart that was not announced; it loses the records as a death does.
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
                // The earliest statement stays, so that small differences do not add up.
                let start = self.live.map_or(member.started, |(_, start)| start);
                let state = if self.leaving { MemberState::Leaving } else { member.state };
                self.live = Some((state, start));
            }
            MemberState::Left => {
                self.live = None;
                // What left before this daemon started handed over to those that it asks.
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

    /// Whether the record of a key may have been lost with this peer.
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

/// The daemons of the own failure domain, from which keepers are chosen.
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

    /// Takes over the view of membership; a member that is no longer listed counts as dead.
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

    /// The peer completed its hand-over among the daemons of the digest: nothing is lost when it
    /// leaves, and it takes over nothing from others.
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

    /// A daemon says when it started, which may be news.
    pub(crate) fn observe_start(&mut self, host: &Name, started: Instant, now: Instant) {
        if let Some(peer) = self.list.iter_mut().find(|peer| peer.host == *host) {
            peer.check_start(started, self.timing.skew, now);
        }
    }

    /// Whether the daemon is there to answer.
    pub(crate) fn is_live(&self, host: &Name) -> bool {
        self.list.iter().any(|peer| peer.host == *host && peer.live.is_some())
    }

    /// The daemons that could take over records.
    pub(crate) fn successors(&self) -> impl Iterator<Item = &Name> {
        self.list.iter().filter(|peer| is_keeper(peer)).map(|peer| &peer.host)
    }

    /// Digest of the daemons that take over from `from`, or from this one. Both must come to the
    /// same value to agree on who takes over which key.
    pub(crate) fn successor_digest(&self, from: Option<&Name>) -> u64 {
        let others = self.list.iter().filter(|p| is_keeper(p) && Some(&p.host) != from);
        let own = from.map_or(0, |_| weight(0, self.hash));
        others.fold(own, |sum, peer| sum.wrapping_add(weight(0, peer.hash)))
    }

    /// The daemon that is the keeper of a key once this one has left.
    pub(crate) fn successor(&self, key: &str) -> Option<&Name> {
        let key = name_hash(key);
        let candidates = self.list.iter().filter(|peer| is_keeper(peer));
        candidates.max_by_key(|peer| (weight(key, peer.hash), &peer.host)).map(|peer| &peer.host)
    }

    /// The peers whose rank for a key is accepted, the first ranked first.
    fn ranked(&self, key: u64, accept: impl Fn((u64, &Name)) -> bool) -> Vec<&Peer> {
        let ranks = self.list.iter().map(|peer| (weight(key, peer.hash), peer));
        let mut list: Vec<_> = ranks.filter(|(rank, p)| accept((*rank, &p.host))).collect();
        list.sort_unstable_by(|(a, p), (b, q)| (b, &q.host).cmp(&(a, &p.host)));
        list.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Whose task a key is that this daemon has no record of, as if `without`, the daemon that
    /// asks and those that it asked before, were not there.
    ///
    /// The cost is a few ns for each daemon of the domain, and for a newcomer a sort of them.
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
                // It leaves: the daemon that ranks next takes over and asks it.
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
        // When an earlier keeper is asked, keys sent after all daemons knew of it are its own.
        if !excluded.is_empty()
            && first_sent.is_some_and(|sent| sent >= own_started + self.timing.hold)
        {
            return KeyOwner::Local { earlier: None, lost };
        }
        let below = self.ranked(key, |rank| rank < own);
        for peer in below {
            lost |= peer.may_have_lost(first_sent, self.timing, now);
            match peer.live.filter(|_| !excluded.contains(&&peer.host)) {
                // One that started at about the same time may have been there before.
                Some((_, since)) if since < own_started + self.timing.skew => {
                    return KeyOwner::Local { earlier: Some(peer.host.clone()), lost };
                }
                _ => {}
            }
        }
        // Nobody was here before: earlier records of the domain, if there were any, are lost.
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
