use std::{collections::HashMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use super::owner::WARM_UP;
use crate::{Member, MemberState, Ranking};

/// Time for which a member that disappeared without leaving still counts as known. The other side of
/// a partition may run requests for as long.
const KNOWN_FOR: Duration = Duration::from_secs(60);

/// The candidates for the ownership of workspaces in one view.
#[derive(Debug)]
struct Candidates {
    /// When the view came into use.
    at: Instant,
    /// Those that are alive or suspect, from which the owner is chosen.
    owners: Ranking,
    /// Those that are alive.
    alive: Ranking,
}

/// A daemon's view of the members, from which it derives the owner of each workspace and the part of
/// the rate that an owner may lease out.
///
/// It addresses partitions: owners on both sides, each with the full rate, would together lease twice
/// the rate of a workspace.
#[derive(Debug, Default)]
pub struct Electorate {
    /// The current view and those of the last 1.5 s, newest first.
    views: Vec<Candidates>,
    /// The members that did not leave; those that are not live, with the time when that was noticed.
    seen: HashMap<Name, Option<Instant>>,
    /// When the next of those that are not live is forgotten, so that a request does not look through
    /// all members.
    forgets_at: Option<Instant>,
    live: usize,
    /// When the first view arrived, or the first one with other daemons if the settings name some.
    started: Option<Instant>,
    /// Whether a view had other daemons.
    joined: bool,
    /// Number of daemons that the settings name.
    configured: usize,
}

impl Electorate {
    /// Sets the number of daemons that the settings name, including this one. Until a minute after the
    /// start, at least as many count as known.
    #[must_use]
    pub const fn with_configured(mut self, members: usize) -> Self {
        self.configured = members;
        self
    }

    /// Applies a view of the members, which includes this daemon.
    ///
    /// A suspect can still be an owner, because most suspicions are refuted, but does not count as
    /// live: a host that is cut off is suspected within about a second and declared dead 2 s later.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        // Until it has joined, a daemon does not know who else leases, so that time is no warm-up.
        if !self.joined && members.len() > 1 {
            self.joined = true;
            if self.configured > 1 {
                self.views.clear();
                self.started = None;
            }
        }
        self.started.get_or_insert(now);
        let ranking = |states: &[MemberState]| {
            let fit = members.iter().filter(|m| states.contains(&m.state));
            Ranking::new(fit.map(|m| m.host.clone()))
        };
        let owners = ranking(&[MemberState::Alive, MemberState::Suspect]);
        let alive = ranking(&[MemberState::Alive]);
        self.views.insert(0, Candidates { at: now, owners, alive });
        // The newest view that is older than the warm-up is the one that was in use when it began.
        if let Some(last) = self.views.iter().position(|view| view.at + WARM_UP <= now) {
            self.views.truncate(last + 1);
        }
        self.live = 0;
        // A member that is no longer listed counts as gone from now on.
        for since in self.seen.values_mut() {
            since.get_or_insert(now);
        }
        for member in members {
            match member.state {
                MemberState::Alive | MemberState::Leaving => {
                    self.live += 1;
                    self.seen.insert(member.host.clone(), None);
                }
                MemberState::Left => {
                    self.seen.remove(&member.host);
                }
                MemberState::Suspect | MemberState::Dead => {
                    // Members that were never seen alive here don't count. The others got their
                    // time above, or keep that of an earlier view.
                }
            }
        }
        self.plan_forgetting();
    }

    fn plan_forgetting(&mut self) {
        self.forgets_at = self.seen.values().flatten().min().map(|at| *at + KNOWN_FOR);
    }

    /// The daemon that owns a workspace; `None` without members.
    #[must_use]
    pub fn owner(&self, workspace: &str) -> Option<&Name> {
        self.views.first()?.owners.first(workspace)
    }

    /// When a host that is the owner of a workspace may begin to lease; `None` if it is not the owner.
    ///
    /// That is 1.5 s after all candidates before it stopped being alive, and not before it became the
    /// owner itself. The time in which its predecessor was only a suspect counts, because a suspect that
    /// is gone has leased nothing since. A host that was the owner in all views of the last 1.5 s may lease
    /// from 1.5 s after the first view on.
    #[must_use]
    pub fn leases_from(&self, workspace: &str, host: &str) -> Option<Instant> {
        let first =
            |ranking: &Ranking| ranking.first(workspace).is_some_and(|name| name.as_str() == host);
        let since = |is_first: &dyn Fn(&Candidates) -> bool| {
            let count = self.views.iter().take_while(|view| is_first(view)).count();
            if count == self.views.len() {
                self.started
            } else {
                Some(self.views[..count].last()?.at)
            }
        };
        let owned = since(&|view| first(&view.owners))?;
        let alive = since(&|view| first(&view.alive)).unwrap_or(owned);
        Some(owned.max(alive + WARM_UP))
    }

    /// Number of members known alive in the last 60 s that did not leave.
    pub fn known(&mut self, now: Instant) -> usize {
        if self.forgets_at.is_some_and(|at| at <= now) {
            self.seen.retain(|_, gone| gone.is_none_or(|at| now < at + KNOWN_FOR));
            self.plan_forgetting();
        }
        let starting = self.started.is_none_or(|at| now.saturating_duration_since(at) < KNOWN_FOR);
        let configured = if starting { self.configured } else { 0 };
        self.seen.len().max(configured).max(1)
    }

    /// The part of the rate that an owner on this daemon may lease out.
    pub fn fraction(&mut self, now: Instant) -> f64 {
        let known = self.known(now);
        as_f64(self.live.max(1)) / as_f64(known)
    }
}

#[expect(clippy::cast_precision_loss, reason = "numbers of daemons are small")]
pub(super) const fn as_f64(count: usize) -> f64 {
    count as f64
}
