use std::{cmp::Reverse, collections::HashMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::keeper::placement::{name_hash, weight};

/// Number of daemons that watch the operators' orders. Each holds one call to the store open.
const CANDIDATES: usize = 3;

/// Time without an announcement after which the next candidate leads: three periods of announcements.
const TAKEOVER: Duration = Duration::from_millis(1500);

/// Time for which calls to the store fail before a leader leaves the rollouts to a candidate that reaches it.
/// A single lost response takes up to 2 s to be noticed and needs no change of the leader.
const STORE_PATIENCE: Duration = Duration::from_millis(2500);

/// Time for which a leader that could not reach the store does not lead again.
const YIELD_TIME: Duration = Duration::from_secs(5);

/// Decides whether a daemon leads the rollouts of the fleet.
///
/// It addresses leaders that die, are cut off, or are turned away by the store alone. The candidates are
/// ranked the same way on every daemon, and each leads once those before it have been silent for long
/// enough. Two daemons may lead at once while views differ: every step is a conditional write, so only one
/// of them takes it, and shares are ordered by their epoch.
#[derive(Clone, Debug)]
pub struct Succession {
    host: Name,
    rank: Option<usize>,
    candidates: Vec<Name>,
    /// When a candidate before this daemon last announced a share of the service.
    heard: HashMap<Name, Instant>,
    /// Since when calls to the store have failed.
    failing: Option<Instant>,
    yields_until: Option<Instant>,
}

impl Succession {
    /// The succession as seen by the daemon of `host`, which knows no other daemon yet.
    #[must_use]
    pub fn new(host: Name) -> Self {
        Self {
            candidates: vec![host.clone()],
            rank: Some(0),
            host,
            heard: HashMap::new(),
            failing: None,
            yields_until: None,
        }
    }

    /// Applies a view of the live members, each with the speed of its link in Mbit/s. Hosts with fast links are
    /// preferred, because a leader exchanges messages with every daemon.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (Name, u32)>) {
        let speed_class = |mbps: u32| mbps.checked_ilog2().map_or(0, |class| class + 1);
        let rank = |(host, mbps): (Name, u32)| {
            (Reverse((speed_class(mbps), weight(0, name_hash(&host)))), host)
        };
        let mut ranked: Vec<_> = members.into_iter().map(rank).collect();
        ranked.sort_unstable();
        self.candidates = ranked.into_iter().take(CANDIDATES).map(|(_, host)| host).collect();
        self.rank = self.candidates.iter().position(|host| *host == self.host);
    }

    /// Whether this daemon watches the operators' orders.
    #[must_use]
    pub const fn is_candidate(&self) -> bool {
        self.rank.is_some()
    }

    /// Records that `from` announced a share of the service. Daemons that rank behind this one stop by
    /// themselves once they hear of it.
    pub fn hear(&mut self, service: &Name, from: &Name, now: Instant) {
        let position = self.candidates.iter().position(|host| host == from);
        if position.is_some_and(|position| self.rank.is_none_or(|rank| position < rank)) {
            self.heard.insert(service.clone(), now);
        }
    }

    /// Records the outcome of a call to the store.
    pub fn record_store(&mut self, succeeded: bool, now: Instant) {
        match succeeded {
            true => self.failing = None,
            false => drop(self.failing.get_or_insert(now)),
        }
    }

    /// Whether the latest call to the store succeeded.
    #[must_use]
    pub const fn reaches_store(&self) -> bool {
        self.is_candidate() && self.failing.is_none()
    }

    /// Records that another candidate reaches the store. A leader that has not reached it for 2.5 s then stops
    /// leading for 5 s. If nobody reaches the store, the leader stays.
    pub fn peer_reaches_store(&mut self, now: Instant) {
        if self.failing.is_some_and(|since| now >= since + STORE_PATIENCE) {
            self.yields_until = Some(now + YIELD_TIME);
        }
    }

    /// Whether this daemon leads the rollout of a service whose order it has known since `ordered`.
    #[must_use]
    pub fn leads(&self, service: &Name, ordered: Instant, now: Instant) -> bool {
        let Some(rank) = self.rank else { return false };
        if self.yields_until.is_some_and(|until| now < until) {
            return false;
        }
        let quiet_since = self.heard.get(service).map_or(ordered, |heard| (*heard).max(ordered));
        let wait = TAKEOVER * u32::try_from(rank).unwrap_or(u32::MAX);
        now >= quiet_since + wait
    }
}
