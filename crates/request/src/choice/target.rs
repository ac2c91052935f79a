use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    Endpoint, EndpointState, Load, Rate, capacity::RelativeSpeed, choice::outlier::Outlier,
};

/// Time over which a newly started target is ramped up to its full share of requests.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);

/// Share of its capacity that a target gets immediately after its start.
const INITIAL_SHARE: f64 = 0.1;

/// Age at which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);

/// Age at which an observed latency or failure rate has lost half its weight. Without this decay, a
/// target with one bad sample would never be tried again at low load.
const HALF_WEIGHT_AGE: Duration = Duration::from_secs(10);

/// Weight of the newest sample in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Additional cost of a target that always fails, as a multiple of the cost of one that never does.
const FAILURE_WEIGHT: f64 = 10.0;

/// Failure rate below which a target is treated as free of failures. Otherwise an idle pool would avoid
/// a target forever because of one failure.
const NEGLIGIBLE_FAILURE_RATE: f64 = 0.02;

/// How long a target that refused a request as draining is avoided while membership still lists it.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a target that could not be reached is avoided while others can be reached. Membership
/// detects a failed host within one to three seconds.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which responses on several connections may be reordered. A response without a limit does
/// not lift a limit that another response advertised within this time.
const REORDER_WINDOW: Duration = Duration::from_millis(250);

/// The outcome of an attempt, as far as it matters for the score of the target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observation {
    /// It succeeded after this time.
    Success(Duration),
    /// It failed in a way that counts against the target.
    Failure,
    /// The target shed the request; this counts against its score but does not eject it.
    Shed,
    /// The target did not accept the request although it had room; this counts against its score, but
    /// neither ejects it nor shows an overload of its pool.
    Declined,
    /// The outcome says nothing about the target.
    Neutral,
}

/// What this daemon knows about one target of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Never reused, so that an attempt at an earlier incarnation does not count for a later one.
    pub(crate) uid: u64,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) in_flight: u32,
    pub(crate) outlier: Outlier,
    /// Unknown unless the capacity of the pool is learned.
    pub(crate) speed: RelativeSpeed,
    warmup_start: Instant,
    latency_ms: Option<f64>,
    failure_rate: f64,
    observed_at: Option<Instant>,
    load: Option<(Load, Instant)>,
    /// The rate limit that it advertises, and when a response last did so.
    limit: Option<(Rate, Instant)>,
    leaving: Option<Instant>,
    unreachable: Option<Instant>,
}

impl Target {
    pub(crate) fn new(uid: u64, endpoint: Arc<Endpoint>) -> Self {
        let warmup_start = endpoint.started;
        Self {
            uid,
            endpoint,
            in_flight: 0,
            outlier: Outlier::default(),
            speed: RelativeSpeed::default(),
            warmup_start,
            latency_ms: None,
            failure_rate: 0.0,
            observed_at: None,
            load: None,
            limit: None,
            leaving: None,
            unreachable: None,
        }
    }

    /// Applies the current endpoint from membership. A target that was leaving and is alive again is no
    /// longer avoided.
    pub(crate) fn update_endpoint(&mut self, endpoint: &Arc<Endpoint>) {
        let was_leaving = self.endpoint.state == EndpointState::Leaving;
        if was_leaving && endpoint.state == EndpointState::Alive {
            self.leaving = None;
        }
        self.endpoint = Arc::clone(endpoint);
    }

    /// The state according to membership, corrected by what attempts at the target have shown.
    pub(crate) fn state(&self, now: Instant) -> EndpointState {
        match self.leaving {
            Some(since) if now.saturating_duration_since(since) < LEAVING_TIMEOUT => {
                EndpointState::Leaving
            }
            _ if self.endpoint.state == EndpointState::Alive && self.is_unreachable(now) => {
                EndpointState::Suspect
            }
            _ => self.endpoint.state,
        }
    }

    /// Whether it recently could not be reached.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_TIMEOUT)
    }

    /// The age of its last load report.
    pub(crate) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Records that no connection to the target could be established.
    pub(crate) const fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable = Some(now);
    }

    /// Records that the target refused a request because it is leaving.
    pub(crate) const fn mark_leaving(&mut self, now: Instant) {
        self.leaving = Some(now);
    }

    /// The share of its capacity that the target gets while it warms up, from 0.1 to 1.
    pub(crate) fn warmup_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.warmup_start);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(INITIAL_SHARE, 1.0)
    }

    /// Estimated number of requests at the target: the larger of this daemon's own count and the reported
    /// one, whose weight decreases with age.
    pub(crate) fn estimated_load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((load, at)) = self.load else { return own };
        let age = now.saturating_duration_since(at).as_secs_f64() / MAX_LOAD_AGE.as_secs_f64();
        // A target that sheds load reports fewer slots than membership lists.
        let scale = f64::from(self.endpoint.slots) / f64::from(load.slots.max(1));
        let reported = (f64::from(load.in_flight) + f64::from(load.queued)) * scale;
        own.max(reported * (1.0 - age).max(0.0))
    }

    /// Expected cost of one more request at a target of known speed; the lower, the better.
    pub(crate) fn learned_score(&self, now: Instant) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        (self.estimated_load(now) + 1.0) / slots * self.speed.factor(now) * self.penalty(now)
    }

    /// Expected cost of one more request; the lower, the better. `mean` is the pool's mean latency
    /// in ms, which stands in for a target without samples.
    pub(crate) fn score(&self, mean: f64, now: Instant) -> f64 {
        let remaining_weight = self.remaining_weight(now);
        let latency = mean + (self.latency_ms.unwrap_or(mean) - mean) * remaining_weight;
        let slots = f64::from(self.endpoint.slots.max(1));
        (self.estimated_load(now) + 1.0) / slots * latency.max(0.05) * self.penalty(now)
    }

    /// Factor of the cost for recent failures and shed requests.
    fn penalty(&self, now: Instant) -> f64 {
        let remaining_weight = self.remaining_weight(now);
        let shedding = self.load.is_some_and(|(load, at)| {
            load.shedding && now.saturating_duration_since(at) < MAX_LOAD_AGE
        });
        let failure_rate = Some(self.failure_rate * remaining_weight)
            .filter(|f| *f >= NEGLIGIBLE_FAILURE_RATE)
            .unwrap_or_default();
        1.0 + FAILURE_WEIGHT * failure_rate + f64::from(u8::from(shedding))
    }

    /// Remaining weight of the averages.
    fn remaining_weight(&self, now: Instant) -> f64 {
        let age = self.observed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 / (1.0 + age.as_secs_f64() / HALF_WEIGHT_AGE.as_secs_f64())
    }

    /// Stores a load report.
    pub(crate) fn record_load(&mut self, load: Load, now: Instant) {
        self.load = Some((load, now));
        let recent =
            |advertised_at: Instant| now.saturating_duration_since(advertised_at) < REORDER_WINDOW;
        match load.limit {
            Some(rate) => self.limit = Some((rate, now)),
            None => self.limit = self.limit.filter(|(_, advertised_at)| recent(*advertised_at)),
        }
    }

    /// The rate limit that the target advertises, if known.
    pub(crate) fn advertised_limit(&self) -> Option<Rate> {
        self.limit.map(|(rate, _)| rate)
    }

    /// Updates the averages from the outcome of an attempt; ejection is decided elsewhere.
    pub(crate) fn observe(&mut self, observation: Observation, now: Instant) {
        // A new sample replaces averages whose weight has decayed. Otherwise a target that was slow once
        // would need dozens of samples to recover, and would get only few.
        let alpha = 1.0 - (1.0 - SMOOTHING_FACTOR) * self.remaining_weight(now);
        let bad = match observation {
            Observation::Success(latency) => {
                self.unreachable = None;
                let ms = latency.as_secs_f64() * 1000.0;
                self.latency_ms = Some(self.latency_ms.map_or(ms, |old| old + alpha * (ms - old)));
                0.0
            }
            Observation::Failure | Observation::Shed | Observation::Declined => 1.0,
            Observation::Neutral => return,
        };
        self.failure_rate += alpha * (bad - self.failure_rate);
        self.observed_at = Some(now);
    }

    /// Discards the history and restarts the warm-up, after an ejection.
    pub(crate) const fn reset_history(&mut self, now: Instant) {
        self.warmup_start = now;
        self.failure_rate = 0.0;
        self.latency_ms = None;
        self.speed = RelativeSpeed::NEUTRAL;
    }
}
