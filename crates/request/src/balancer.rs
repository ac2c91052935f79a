use std::{collections::HashMap, sync::Arc, time::Duration};

use dw_tables::{Balance, Ejection, Pool};
use rand::{Rng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Avoidance, Basis, Endpoint, EndpointState, Load, TargetChange,
    locality::{Place, TIERS, Tier, choose_tier},
    outlier::Standing,
    target::{Observation, Target},
    view::Choice,
};

/// Weight of the newest latency in the pool's mean.
const ALPHA: f64 = 0.05;

/// Difference of scores within which chance decides, so that a target which is slower by a hair is
/// not left idle while its observations grow old.
const NOISE: f64 = 0.2;

/// Difference between two statements of the same start.
const START_JITTER: Duration = Duration::from_secs(1);

/// Changes of change that are kept for the log until they are taken.
const CHANGES: usize = 64;

/// Draws after which any target is accepted, which bounds the work where all are cold.
const DRAWS: usize = 4;

/// What a request allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    /// Targets tried before.
    pub(crate) tried: &'a [u64],
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

/// Classes of targets; only those of the best class present take part in a choice.
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
    place: Place,
    targets: Vec<Target>,
    index: HashMap<u64, usize>,
    tiers: [Tier; TIERS],
    mean: Option<f64>,
    turn: usize,
    next: u64,
    changes: Vec<TargetChange>,
}

impl Balancer {
    pub(crate) fn new(place: Place) -> Self {
        Self {
            place,
            targets: Vec::new(),
            index: HashMap::new(),
            tiers: Default::default(),
            mean: None,
            turn: 0,
            next: 0,
            changes: Vec::new(),
        }
    }

    /// What changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<TargetChange> {
        std::mem::take(&mut self.changes)
    }

    fn note(&mut self, idx: usize, avoided: Option<Avoidance>) {
        if self.changes.len() < CHANGES {
            self.changes.push(TargetChange::new(&self.targets[idx].endpoint, avoided));
        }
    }

    /// Replaces the targets. What was observed is kept for those that were not restarted.
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
                    && is_same_life(&target.endpoint, endpoint)
            };
            // A daemon that was restarted numbers its targets anew.
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
                    self.next += 1;
                    Target::new(self.next, Arc::clone(endpoint))
                }
            };
            self.targets.push(target);
        }
        self.index = self.targets.iter().enumerate().map(|(idx, t)| (t.uid, idx)).collect();
        self.enforce(policy);
    }

    /// Chooses a target, counts the request as in flight there and returns the target's id.
    pub(crate) fn choose(
        &mut self,
        pool: &Pool,
        wish: Wish<'_>,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Choice> {
        self.sort_out(pool, wish, now);
        let tier = choose_tier(&self.tiers, rng)?;
        let list = &self.tiers[tier].list;
        let idx = match pool.balance {
            Balance::TwoChoices => {
                let (a, b) = self.sample_two(list, rng, now);
                let mean = self.mean.unwrap_or(1.0);
                let noise = 1.0 + NOISE * (rng.random::<f64>() - 0.5);
                let score = |idx: usize| self.targets[idx].score(mean, now);
                if score(b) * noise < score(a) { b } else { a }
            }
            Balance::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                list[self.turn % list.len()]
            }
        };
        let candidates = list.len();
        Some(take(&mut self.targets[idx], candidates, now))
    }

    /// Chooses a target that was not tried and has a free slot as far as is known, the nearest one
    /// first, for a request that another target had no room for. Counts it as in flight there.
    pub(crate) fn choose_free(
        &mut self,
        pool: &Pool,
        wish: Wish<'_>,
        now: Instant,
    ) -> Option<Choice> {
        let free = |target: &Target| {
            let usable = classify(target, wish, &pool.ejection, now) == Some(Class::Usable);
            usable
                && target.estimated_load(now)
                    < f64::from(target.endpoint.slots) * target.warmup_share(now)
        };
        let mean = self.mean.unwrap_or(1.0);
        let place = &self.place;
        let cost =
            |target: &Target| (place.tier(pool.prefer, &target.endpoint), target.score(mean, now));
        let mut candidates = 0;
        let counted = self.targets.iter_mut().filter(|target| free(target));
        let counted = counted.inspect(|_| candidates += 1);
        let best = counted.min_by(|a, b| {
            let ((near, a), (far, b)) = (cost(a), cost(b));
            near.cmp(&far).then(a.total_cmp(&b))
        })?;
        Some(take(best, candidates, now))
    }

    /// Ends an attempt.
    pub(crate) fn finish(
        &mut self,
        uid: u64,
        seen: Observation,
        load: Option<Load>,
        policy: &Ejection,
        now: Instant,
    ) {
        let Some(&idx) = self.index.get(&uid) else { return };
        let room = matches!(seen, Observation::Failure) && self.has_room(policy);
        let target = &mut self.targets[idx];
        target.in_flight = target.in_flight.saturating_sub(1);
        target.observe(seen, now);
        if let Some(load) = load {
            target.record_load(load, now);
        }
        match seen {
            Observation::Success(latency) => {
                let recovered = target.outlier.succeeded(now);
                if recovered {
                    target.reset_history(now);
                    self.note(idx, None);
                }
                let ms = latency.as_secs_f64() * 1000.0;
                self.mean = Some(self.mean.map_or(ms, |mean| mean + ALPHA * (ms - mean)));
            }
            Observation::Failure => {
                if target.outlier.failed(policy, room, now) {
                    self.note(idx, Some(Avoidance::Failing));
                }
            }
            Observation::Shed | Observation::Neutral => {}
        }
    }

    /// The target said that it is leaving.
    pub(crate) fn mark_leaving(&mut self, uid: u64, now: Instant) {
        if let Some(&idx) = self.index.get(&uid) {
            if self.targets[idx].state(now) != EndpointState::Leaving {
                self.note(idx, Some(Avoidance::Leaving));
            }
            self.targets[idx].mark_leaving(now);
        }
    }

    /// The target could not be reached.
    pub(crate) fn mark_unreachable(&mut self, uid: u64, now: Instant) {
        if let Some(&idx) = self.index.get(&uid) {
            if !self.targets[idx].is_unreachable(now) {
                self.note(idx, Some(Avoidance::Unreachable));
            }
            self.targets[idx].mark_unreachable(now);
        }
    }

    /// Targets that are ejected or on probation, and all targets.
    pub(crate) fn ejected(&self) -> (usize, usize) {
        let listed = || self.targets.iter().filter(|t| is_listed(t));
        (listed().filter(|t| t.outlier.is_out()).count(), listed().count())
    }

    /// Whether one more target may be ejected.
    fn has_room(&self, policy: &Ejection) -> bool {
        let (out, all) = self.ejected();
        (out + 1) * 100 <= policy.share as usize * all
    }

    /// Restores targets while the share is exceeded, those first that would return first.
    fn enforce(&mut self, policy: &Ejection) {
        loop {
            let (out, all) = self.ejected();
            if out * 100 <= policy.share as usize * all {
                return;
            }
            let listed = self.targets.iter().enumerate();
            let listed = listed.filter(|(_, t)| is_listed(t) && t.outlier.is_out());
            let Some((idx, _)) = listed.min_by_key(|(_, t)| t.outlier.until()) else { return };
            self.targets[idx].outlier.restore();
            self.note(idx, None);
        }
    }

    /// Fills the tiers with the targets of the best class present.
    fn sort_out(&mut self, pool: &Pool, wish: Wish<'_>, now: Instant) {
        let mut best = None;
        self.tiers.iter_mut().for_each(Tier::clear);
        for (idx, target) in self.targets.iter().enumerate() {
            let Some(class) = classify(target, wish, &pool.ejection, now) else { continue };
            if best.is_some_and(|best| class > best) {
                continue;
            }
            if best != Some(class) {
                best = Some(class);
                self.tiers.iter_mut().for_each(Tier::clear);
            }
            let tier = &mut self.tiers[self.place.tier(pool.prefer, &target.endpoint)];
            tier.list.push(idx);
            tier.busy += target.estimated_load(now);
            tier.slots += f64::from(target.endpoint.slots) * target.warmup_share(now);
        }
    }

    /// Two random targets, distinct if there are two.
    fn sample_two(&self, list: &[usize], rng: &mut SmallRng, now: Instant) -> (usize, usize) {
        let first = self.sample(list, rng, now);
        let second = (0..DRAWS).map(|_| self.sample(list, rng, now)).find(|idx| *idx != first);
        (first, second.unwrap_or(first))
    }

    /// A random target; a cold one is accepted in proportion to its warmth.
    fn sample(&self, list: &[usize], rng: &mut SmallRng, now: Instant) -> usize {
        let mut idx = list[rng.random_range(0..list.len())];
        for _ in 0..DRAWS {
            let warmth = self.targets[idx].warmup_share(now);
            if warmth >= 1.0 || rng.random::<f64>() < warmth {
                break;
            }
            idx = list[rng.random_range(0..list.len())];
        }
        idx
    }
}

/// Counts a request as in flight at the target.
fn take(target: &mut Target, candidates: usize, now: Instant) -> Choice {
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

/// Whether the target was not restarted; times of its start that were computed from a wall clock
/// differ a little.
fn is_same_life(old: &Endpoint, new: &Endpoint) -> bool {
    new.started.saturating_duration_since(old.started) <= START_JITTER
}

/// Whether the target counts towards the size of the pool.
fn is_listed(target: &Target) -> bool {
    matches!(target.endpoint.state, EndpointState::Alive | EndpointState::Suspect)
}

fn classify(target: &Target, wish: Wish<'_>, policy: &Ejection, now: Instant) -> Option<Class> {
    match target.state(now) {
        EndpointState::Leaving | EndpointState::Dead => return None,
        EndpointState::Suspect => return Some(Class::Suspect),
        EndpointState::Alive => {}
    }
    Some(match target.outlier.standing(now) {
        Standing::Ejected => Class::Ejected,
        Standing::Probation { .. } if target.in_flight > 0 => Class::Ejected,
        // A request that must not run twice is kept away from a target on probation, but not for
        // ever: a pool may have no other requests.
        Standing::Probation { since } if !wish.idempotent && now < since + policy.time.into() => {
            Class::Probation
        }
        _ if wish.tried.contains(&target.uid) => Class::Tried,
        Standing::Good | Standing::Probation { .. } => Class::Usable,
    })
}
