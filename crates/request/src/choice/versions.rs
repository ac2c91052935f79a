use std::{collections::HashSet, mem};

use rand::{Rng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Endpoint, EndpointState,
    choice::target::Target,
    keeper::placement::{name_hash, weight},
    rollout::{RolloutStep, VersionShare},
};

/// The targets from which one request may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionGroup {
    /// All targets.
    Any,
    /// All but those of the version that is rolled out.
    Old,
    /// Those of the version that is rolled out.
    New,
    /// The few of them that receive the canary share.
    Canary,
    /// All but those of versions that are known to be bad, where no other group has a live target.
    Fallback,
}

/// Chooses the version of the target of each request while a rollout of the pool's service is known.
///
/// It addresses a new version that may be bad: it receives an exact share of the requests, at few targets,
/// so that each of those bears the load that it will have after the rollout.
#[derive(Clone, Debug)]
pub(crate) struct VersionSplit {
    share: VersionShare,
    /// Position of the current request in its block of requests, one of which goes to the new version.
    position: u32,
    chosen: u32,
    /// Ids of the canary targets.
    canaries: HashSet<u64>,
}

impl VersionSplit {
    pub(crate) fn new(share: VersionShare) -> Self {
        Self { share, position: 0, chosen: 0, canaries: HashSet::new() }
    }

    /// Applies another share of the same service.
    pub(crate) fn set_share(&mut self, share: VersionShare) {
        self.share = share;
    }

    /// The groups to choose from for the next request, in order of preference. `retry` tells whether the
    /// request was sent to a target before: it then never goes to a version that is not yet in force.
    pub(crate) fn groups(
        &mut self,
        targets: &[Target],
        retry: bool,
        rng: &mut SmallRng,
        now: Instant,
    ) -> [Option<VersionGroup>; 2] {
        use VersionGroup::{Canary, Fallback, New, Old};
        let live = |group| targets.iter().any(|t| self.admits(group, t) && is_live(&t.endpoint));
        let old_live = live(Old);
        match (self.share.step, old_live) {
            (RolloutStep::Complete, true) => return [Some(New), Some(Old)],
            (RolloutStep::RolledBack(_), true) => return [Some(Old), None],
            (RolloutStep::Canary | RolloutStep::Switch, true) if retry => return [Some(Old), None],
            (RolloutStep::Switch, true) => return [Some(New), Some(Old)],
            (RolloutStep::Canary, true) => {}
            // The old targets have stopped, as after a completion that this daemon has not heard of.
            (RolloutStep::Complete | RolloutStep::Canary | RolloutStep::Switch, false)
                if live(New) =>
            {
                return [Some(New), None];
            }
            (_, false) => return [Some(Fallback), None],
        }
        if !self.draw(rng) {
            return [Some(Old), None];
        }
        self.set_canaries(targets, now);
        [Some(Canary), Some(Old)]
    }

    /// Whether targets of another version are live.
    pub(crate) fn has_live_old(&self, targets: &[Target]) -> bool {
        targets.iter().any(|t| self.admits(VersionGroup::Old, t) && is_live(&t.endpoint))
    }

    /// Whether the target belongs to the group.
    pub(crate) fn admits(&self, group: VersionGroup, target: &Target) -> bool {
        match group {
            VersionGroup::Any => true,
            VersionGroup::Old => self.is_old(&target.endpoint),
            VersionGroup::New => self.is_new(&target.endpoint),
            VersionGroup::Canary => self.canaries.contains(&target.uid),
            VersionGroup::Fallback => !self.is_bad(&target.endpoint),
        }
    }

    fn is_new(&self, endpoint: &Endpoint) -> bool {
        endpoint.version.as_ref() == Some(&self.share.version)
    }

    /// Whether the target has another version, which was neither rolled back nor replaced.
    fn is_old(&self, endpoint: &Endpoint) -> bool {
        let avoided = |version| self.share.avoid.contains(version);
        !self.is_new(endpoint) && !endpoint.version.as_ref().is_some_and(avoided)
    }

    /// Whether the target's version responded worse than the one in force.
    fn is_bad(&self, endpoint: &Endpoint) -> bool {
        let listed =
            endpoint.version.as_ref().is_some_and(|version| self.share.bad.contains(version));
        listed || (self.share.step.is_bad() && self.is_new(endpoint))
    }

    /// Whether the next request goes to the new version. One request of each block does, at a random
    /// position: the share is exact over a block, and requests that arrive in a regular pattern of
    /// routes are sampled evenly.
    fn draw(&mut self, rng: &mut SmallRng) -> bool {
        if self.share.share == 0 {
            return false;
        }
        let block = 1000 / self.share.share.min(1000);
        if self.position == 0 || self.position >= block {
            self.position = 0;
            self.chosen = rng.random_range(0..block);
        }
        self.position += 1;
        self.position - 1 == self.chosen
    }

    /// Chooses the targets that receive the canary share by rendezvous hashing, which gives the same ones on
    /// every daemon. Cold targets are left out, since they are slow whatever their version is.
    fn set_canaries(&mut self, targets: &[Target], now: Instant) {
        let mut list = mem::take(&mut self.canaries);
        list.clear();
        let key = name_hash(&self.share.service) ^ name_hash(&self.share.version).rotate_left(1);
        let all = targets.iter().filter(|t| self.is_new(&t.endpoint) && is_live(&t.endpoint));
        let count = all.clone().count() * self.share.share as usize;
        let count = count.div_ceil(1000).max(1);
        let warm = all.filter(|t| t.endpoint.warm.is_none_or(|warm| warm <= now));
        let mut ranked: Vec<_> = warm
            .map(|t| {
                let host = name_hash(&t.endpoint.host);
                (weight(key, host.wrapping_add(u64::from(t.endpoint.target))), t.uid)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        list.extend(ranked.into_iter().take(count).map(|(_, uid)| uid));
        self.canaries = list;
    }
}

const fn is_live(endpoint: &Endpoint) -> bool {
    matches!(endpoint.state, EndpointState::Alive | EndpointState::Suspect)
}
