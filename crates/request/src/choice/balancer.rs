use std::{collections::HashMap, sync::Arc, time::Duration};

use dw_tables::{Balance, Capacity, Ejection, Pool};
use rand::{Rng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Avoidance, Basis, Endpoint, EndpointState, Goal, Load, TargetChange, VersionShare,
    capacity::PoolSpeeds,
    choice::{
        locality::{Locality, TIERS, Tier, choose_tier},
        outlier::OutlierState,
        target::{Observation, Target},
        versions::{VersionGroup, VersionSplit},
        view::Choice,
    },
    gate::kind_of,
};

/// Weight of the newest sample in the pool's mean latency.
const LATENCY_ALPHA: f64 = 0.05;

/// Relative difference of scores within which the choice is random, so that a slightly slower target
/// is not left idle while its measurements become outdated.
const SCORE_NOISE: f64 = 0.2;

/// Tolerance when comparing two reports of the same start time.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// Maximum number of target changes that are kept for the log until they are taken.
const MAX_CHANGES: usize = 64;

/// Number of random draws after which any target is accepted, which bounds the work if all targets
/// are cold.
const MAX_DRAWS: usize = 4;

/// Speed, relative to a typical target, from which a drawn target is always accepted if speeds are
/// learned. Slower ones are accepted in proportion, so that each is drawn as often as it has capacity:
/// among targets drawn evenly, the better of two is often slow.
const FULL_SPEED: f64 = 2.0;

/// What a request requires of the choice of its target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Constraints<'a> {
    /// Targets that earlier attempts were sent to.
    pub(crate) tried: &'a [u64],
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

/// Classes of targets, best first. Only the targets of the best class present are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Usable,
    Tried,
    Probation,
    Suspect,
    Ejected,
}

/// Chooses among the targets of one pool. The cost grows with the pool's own targets only.
#[derive(Debug)]
pub(crate) struct Balancer {
    locality: Locality,
    targets: Vec<Target>,
    index: HashMap<u64, usize>,
    tiers: [Tier; TIERS],
    mean_latency: Option<f64>,
    speeds: PoolSpeeds,
    cursor: usize,
    next_uid: u64,
    changes: Vec<TargetChange>,
    /// The choice of versions; `None` unless a rollout of the service is known.
    split: Option<VersionSplit>,
}

impl Balancer {
    pub(crate) fn new(locality: Locality) -> Self {
        Self {
            locality,
            targets: Vec::new(),
            index: HashMap::new(),
            tiers: Default::default(),
            mean_latency: None,
            speeds: PoolSpeeds::default(),
            cursor: 0,
            next_uid: 0,
            changes: Vec::new(),
            split: None,
        }
    }

    /// Sets the share of requests that a version of the service receives.
    pub(crate) fn set_share(&mut self, share: Option<VersionShare>) {
        match (&mut self.split, share) {
            (Some(split), Some(share)) => split.set_share(share),
            (split, share) => *split = share.map(VersionSplit::new),
        }
    }

    /// Whether targets are live that have another version than the one that is rolled out.
    pub(crate) fn has_old_version(&self) -> bool {
        self.split.as_ref().is_some_and(|split| split.has_live_old(&self.targets))
    }

    /// The groups of targets to choose from, in order of preference.
    fn groups(
        &mut self,
        constraints: Constraints<'_>,
        rng: &mut SmallRng,
        now: Instant,
    ) -> [Option<VersionGroup>; 2] {
        let retry = !constraints.tried.is_empty();
        match &mut self.split {
            None => [Some(VersionGroup::Any), None],
            Some(split) => split.groups(&self.targets, retry, rng, now),
        }
    }

    /// Returns what changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<TargetChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, idx: usize, avoided: Option<Avoidance>) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(TargetChange::new(&self.targets[idx].endpoint, avoided));
        }
    }

    /// Replaces the targets. Measurements are kept for targets that were not restarted.
    pub(crate) fn update(&mut self, endpoints: &[Arc<Endpoint>], policy: &Ejection) {
        let mut old: HashMap<_, _> = self
            .targets
            .drain(..)
            .map(|t| ((t.endpoint.host.clone(), t.endpoint.target), t))
            .collect();
        for endpoint in endpoints.iter().filter(|e| e.state != EndpointState::Dead) {
            let key = (endpoint.host.clone(), endpoint.target);
            let same = |target: &Target| {
                target.endpoint.host == endpoint.host
                    && target.endpoint.service == endpoint.service
                    && is_same_process(&target.endpoint, endpoint)
            };
            // A daemon that was restarted may number its targets differently.
            let known = match old.get(&key) {
                Some(target) if same(target) => Some(key),
                _ => old.iter().find(|(_, target)| same(target)).map(|(key, _)| key.clone()),
            };
            let target = match known.and_then(|key| old.remove(&key)) {
                Some(mut target) => {
                    target.update_endpoint(endpoint);
                    target
                }
                None => {
                    self.next_uid += 1;
                    Target::new(self.next_uid, Arc::clone(endpoint))
                }
            };
            self.targets.push(target);
        }
        self.index = self.targets.iter().enumerate().map(|(idx, t)| (t.uid, idx)).collect();
        self.restore_excess(policy);
    }

    /// Chooses a target and counts the request as in flight there.
    pub(crate) fn choose(
        &mut self,
        pool: &Pool,
        constraints: Constraints<'_>,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Choice> {
        let mut groups = self.groups(constraints, rng, now).into_iter().flatten();
        let tier = groups.find_map(|group| {
            self.fill_tiers(pool, constraints, group, now);
            choose_tier(&self.tiers, rng)
        })?;
        let list = &self.tiers[tier].list;
        let idx = match pool.balance {
            Balance::TwoChoices => {
                let (a, b) = self.sample_two(pool, list, rng, now);
                let mean = self.mean_latency.unwrap_or(1.0);
                let noise = 1.0 + SCORE_NOISE * (rng.random::<f64>() - 0.5);
                let score = |idx: usize| score(pool, &self.speeds, &self.targets[idx], mean, now);
                if score(b) * noise < score(a) { b } else { a }
            }
            Balance::RoundRobin => {
                self.cursor = self.cursor.wrapping_add(1);
                list[self.cursor % list.len()]
            }
        };
        let candidates = list.len();
        Some(assign(&mut self.targets[idx], candidates, now))
    }

    /// Chooses a target for a request that another target had no capacity for: the nearest one that
    /// was not tried and, as far as is known, has a free slot. Counts the request as in flight there.
    pub(crate) fn choose_free(
        &mut self,
        pool: &Pool,
        constraints: Constraints<'_>,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Choice> {
        // A request that is rerouted goes to the first group only.
        let group = self.groups(constraints, rng, now)[0].unwrap_or(VersionGroup::Any);
        let split = self.split.as_ref();
        let free = |target: &Target| {
            if split.is_some_and(|split| !split.admits(group, target)) {
                return false;
            }
            let usable = classify(target, constraints, &pool.ejection, now) == Some(Class::Usable);
            usable
                && target.estimated_load(now)
                    < f64::from(target.endpoint.slots) * target.warmup_share(now)
        };
        let mean = self.mean_latency.unwrap_or(1.0);
        let (locality, speeds) = (&self.locality, &self.speeds);
        let cost = |target: &Target| {
            (locality.tier(pool.prefer, &target.endpoint), score(pool, speeds, target, mean, now))
        };
        let mut candidates = 0;
        let counted = self.targets.iter_mut().filter(|target| free(target));
        let counted = counted.inspect(|_| candidates += 1);
        let best = counted.min_by(|a, b| {
            let ((near, a), (far, b)) = (cost(a), cost(b));
            near.cmp(&far).then(a.total_cmp(&b))
        })?;
        Some(assign(best, candidates, now))
    }

    /// Records the end of an attempt.
    pub(crate) fn finish(
        &mut self,
        uid: u64,
        observation: Observation,
        load: Option<Load>,
        policy: &Ejection,
        now: Instant,
    ) {
        let Some(&idx) = self.index.get(&uid) else { return };
        let may_eject = matches!(observation, Observation::Failure) && self.may_eject_more(policy);
        let target = &mut self.targets[idx];
        target.in_flight = target.in_flight.saturating_sub(1);
        target.observe(observation, now);
        if let Some(load) = load {
            target.record_load(load, now);
        }
        match observation {
            Observation::Success(latency) => {
                let recovered = target.outlier.succeeded(now);
                if recovered {
                    target.reset_history(now);
                    self.record_change(idx, None);
                }
                let ms = latency.as_secs_f64() * 1000.0;
                self.mean_latency =
                    Some(self.mean_latency.map_or(ms, |mean| mean + LATENCY_ALPHA * (ms - mean)));
            }
            Observation::Failure => {
                if target.outlier.failed(policy, may_eject, now) {
                    self.record_change(idx, Some(Avoidance::Failing));
                }
            }
            Observation::Shed | Observation::Declined | Observation::Neutral => {}
        }
    }

    /// Applies the typical service time that a target reported for requests with this goal.
    pub(crate) fn record_service(&mut self, uid: u64, goal: &Goal, time: Duration, now: Instant) {
        if let Some(&idx) = self.index.get(&uid) {
            self.speeds.record(&mut self.targets[idx].speed, kind_of(goal), time, now);
        }
    }

    /// Records that the target announced that it is leaving.
    pub(crate) fn mark_leaving(&mut self, uid: u64, now: Instant) {
        if let Some(&idx) = self.index.get(&uid) {
            if self.targets[idx].state(now) != EndpointState::Leaving {
                self.record_change(idx, Some(Avoidance::Leaving));
            }
            self.targets[idx].mark_leaving(now);
        }
    }

    /// Records that the target could not be reached.
    pub(crate) fn mark_unreachable(&mut self, uid: u64, now: Instant) {
        if let Some(&idx) = self.index.get(&uid) {
            if !self.targets[idx].is_unreachable(now) {
                self.record_change(idx, Some(Avoidance::Unreachable));
            }
            self.targets[idx].mark_unreachable(now);
        }
    }

    /// The number of targets that are ejected or on probation, and of all targets.
    pub(crate) fn ejected(&self) -> (usize, usize) {
        let listed = || self.targets.iter().filter(|t| counts_in_pool(t));
        (listed().filter(|t| t.outlier.is_excluded()).count(), listed().count())
    }

    /// Whether another target may be ejected without exceeding the share.
    fn may_eject_more(&self, policy: &Ejection) -> bool {
        let (out, all) = self.ejected();
        (out + 1) * 100 <= policy.share as usize * all
    }

    /// Ends ejections while their share is exceeded, those that would expire first before the others.
    fn restore_excess(&mut self, policy: &Ejection) {
        loop {
            let (out, all) = self.ejected();
            if out * 100 <= policy.share as usize * all {
                return;
            }
            let listed = self.targets.iter().enumerate();
            let listed = listed.filter(|(_, t)| counts_in_pool(t) && t.outlier.is_excluded());
            let Some((idx, _)) = listed.min_by_key(|(_, t)| t.outlier.ejected_until()) else {
                return;
            };
            self.targets[idx].outlier.restore();
            self.record_change(idx, None);
        }
    }

    /// Fills the tiers with the targets of the best class present.
    fn fill_tiers(
        &mut self,
        pool: &Pool,
        constraints: Constraints<'_>,
        group: VersionGroup,
        now: Instant,
    ) {
        let split = self.split.as_ref();
        let mut best = None;
        self.tiers.iter_mut().for_each(Tier::clear);
        for (idx, target) in self.targets.iter().enumerate() {
            if split.is_some_and(|split| !split.admits(group, target)) {
                continue;
            }
            let Some(class) = classify(target, constraints, &pool.ejection, now) else { continue };
            if best.is_some_and(|best| class > best) {
                continue;
            }
            if best != Some(class) {
                best = Some(class);
                self.tiers.iter_mut().for_each(Tier::clear);
            }
            let tier = &mut self.tiers[self.locality.tier(pool.prefer, &target.endpoint)];
            tier.list.push(idx);
            tier.busy += target.estimated_load(now);
            tier.slots += f64::from(target.endpoint.slots) * target.warmup_share(now);
        }
    }

    /// Two random targets, which are distinct unless no other one was drawn.
    fn sample_two(
        &self,
        pool: &Pool,
        list: &[usize],
        rng: &mut SmallRng,
        now: Instant,
    ) -> (usize, usize) {
        let first = self.sample(pool, list, rng, now);
        let second =
            (0..MAX_DRAWS).map(|_| self.sample(pool, list, rng, now)).find(|idx| *idx != first);
        (first, second.unwrap_or(first))
    }

    /// A random target; a cold one is accepted with a probability equal to its warm-up share, and one of
    /// learned speed in proportion to it.
    fn sample(&self, pool: &Pool, list: &[usize], rng: &mut SmallRng, now: Instant) -> usize {
        let mut idx = list[rng.random_range(0..list.len())];
        for _ in 0..MAX_DRAWS {
            let target = &self.targets[idx];
            let share = target.warmup_share(now)
                * match pool.capacity {
                    Capacity::Fixed => 1.0,
                    Capacity::Learned => 1.0 / (FULL_SPEED * target.speed.factor(now)),
                };
            if share >= 1.0 || rng.random::<f64>() < share {
                break;
            }
            idx = list[rng.random_range(0..list.len())];
        }
        idx
    }
}

/// Expected cost of one more request at a target; `mean` is the pool's mean latency in ms. Without any
/// report of service times, as from daemons of an earlier version, latencies are all that is known.
fn score(pool: &Pool, speeds: &PoolSpeeds, target: &Target, mean: f64, now: Instant) -> f64 {
    match pool.capacity {
        Capacity::Learned if !speeds.is_empty() => target.learned_score(now),
        Capacity::Fixed | Capacity::Learned => target.score(mean, now),
    }
}

/// Counts a request as in flight at the target.
fn assign(target: &mut Target, candidates: usize, now: Instant) -> Choice {
    target.in_flight += 1;
    let in_flight = target.estimated_load(now).round().clamp(0.0, f64::from(u32::MAX));
    let basis = Basis {
        candidates: u32::try_from(candidates).unwrap_or(u32::MAX),
        // Clamped to the range of the type.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        in_flight: in_flight as u32,
        load_age: target.load_age(now),
        limit: target.advertised_limit(),
    };
    Choice { uid: target.uid, endpoint: Arc::clone(&target.endpoint), basis }
}

/// Whether the target was not restarted in between. Start times are computed from wall clocks, so
/// they may differ slightly for the same process.
fn is_same_process(old: &Endpoint, new: &Endpoint) -> bool {
    new.started.saturating_duration_since(old.started) <= START_TOLERANCE
}

/// Whether the target counts towards the size of the pool, of which a share may be ejected.
fn counts_in_pool(target: &Target) -> bool {
    matches!(target.endpoint.state, EndpointState::Alive | EndpointState::Suspect)
}

fn classify(
    target: &Target,
    constraints: Constraints<'_>,
    policy: &Ejection,
    now: Instant,
) -> Option<Class> {
    match target.state(now) {
        EndpointState::Leaving | EndpointState::Dead => return None,
        EndpointState::Suspect => return Some(Class::Suspect),
        EndpointState::Alive => {}
    }
    Some(match target.outlier.state(now) {
        OutlierState::Ejected => Class::Ejected,
        OutlierState::Probation { .. } if target.in_flight > 0 => Class::Ejected,
        // A request that must not run twice avoids a target on probation, but only for a limited
        // time: the pool may receive no idempotent requests that could end the probation.
        OutlierState::Probation { since }
            if !constraints.idempotent && now < since + policy.time.into() =>
        {
            Class::Probation
        }
        _ if constraints.tried.contains(&target.uid) => Class::Tried,
        OutlierState::Healthy | OutlierState::Probation { .. } => Class::Usable,
    })
}
