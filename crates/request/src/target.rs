use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{Endpoint, EndpointState, Load, Rate, outlier::Outlier};

/// Time in which a cold target gets up to its full share.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);

/// Share that a target gets from the first moment.
const COLD_SHARE: f64 = 0.1;

/// Age at which a reported load counts no more.
const LOAD_AGE: Duration = Duration::from_secs(5);

/// Age at which an observed latency or failure rate has lost half its weight. Without fading, a
/// target with one bad sample would never be tried again at low load.
const MEMORY: Duration = Duration::from_secs(10);

/// Weight of the newest sample in the moving averages.
const ALPHA: f64 = 0.1;

/// How much a target that always fails is worse than one that never does.
const FAILURE_WEIGHT: f64 = 10.0;

/// Failure rate below which a target counts as one without failures; otherwise an idle pool would
/// avoid a target for ever because of one failure.
const NEGLIGIBLE: f64 = 0.02;

/// Time that a target which refused as draining is left out while membership still lists it.
const LEAVING: Duration = Duration::from_secs(30);

/// Time that a target which could not be reached is left out while others can be. Membership notices a
/// host that failed within one to three seconds.
const UNREACHABLE: Duration = Duration::from_secs(1);

/// Time in which responses on several connections may overtake each other, so that one without a limit does
/// not end the limit which a newer one told.
const CROSSED: Duration = Duration::from_millis(250);

/// How an attempt ended, as far as the target's score is concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observation {
    /// It succeeded after this time.
    Success(Duration),
    /// It failed in a way that speaks against the target.
    Failure,
    /// The target shed load; that lowers its score but does not eject it.
    Shed,
    /// Nothing to conclude.
    Neutral,
}

/// What this daemon observed of one target of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Never reused, so that an attempt at a target's earlier life does not count for its next.
    pub(crate) uid: u64,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) in_flight: u32,
    pub(crate) outlier: Outlier,
    warm_from: Instant,
    latency: Option<f64>,
    failing: f64,
    seen: Option<Instant>,
    load: Option<(Load, Instant)>,
    /// The limit that it names, and when a response last told it.
    limit: Option<(Rate, Instant)>,
    leaving: Option<Instant>,
    unreachable: Option<Instant>,
}

impl Target {
    pub(crate) fn new(uid: u64, endpoint: Arc<Endpoint>) -> Self {
        let warm_from = endpoint.started;
        Self {
            uid,
            endpoint,
            in_flight: 0,
            outlier: Outlier::default(),
            warm_from,
            latency: None,
            failing: 0.0,
            seen: None,
            load: None,
            limit: None,
            leaving: None,
            unreachable: None,
        }
    }

    /// Takes over what membership says now. A target that stays and was leaving is taken back.
    pub(crate) fn update_endpoint(&mut self, endpoint: &Arc<Endpoint>) {
        let was_leaving = self.endpoint.state == EndpointState::Leaving;
        if was_leaving && endpoint.state == EndpointState::Alive {
            self.leaving = None;
        }
        self.endpoint = Arc::clone(endpoint);
    }

    /// The state by membership, corrected by what the target itself said.
    pub(crate) fn state(&self, now: Instant) -> EndpointState {
        match self.leaving {
            Some(since) if now.saturating_duration_since(since) < LEAVING => EndpointState::Leaving,
            _ if self.endpoint.state == EndpointState::Alive && self.is_unreachable(now) => {
                EndpointState::Suspect
            }
            _ => self.endpoint.state,
        }
    }

    /// Whether it could not be reached a moment ago.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE)
    }

    /// The age of its last report.
    pub(crate) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// No connection reached the target.
    pub(crate) const fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable = Some(now);
    }

    /// The target refused because it is leaving.
    pub(crate) const fn mark_leaving(&mut self, now: Instant) {
        self.leaving = Some(now);
    }

    /// Share of its capacity that a target gets while it warms up, 0.1 to 1.
    pub(crate) fn warmup_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.warm_from);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(COLD_SHARE, 1.0)
    }

    /// Requests at the target: the larger of the own count and the reported one, which counts less
    /// with age.
    pub(crate) fn estimated_load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((load, at)) = self.load else { return own };
        let age = now.saturating_duration_since(at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        // A target that sheds load reports fewer slots than membership lists.
        let scale = f64::from(self.endpoint.slots) / f64::from(load.slots.max(1));
        let reported = (f64::from(load.in_flight) + f64::from(load.queued)) * scale;
        own.max(reported * (1.0 - age).max(0.0))
    }

    /// Expected cost of one more request; the lower, the better. `mean` is the pool's mean latency
    /// in ms, which stands in for a target without samples.
    pub(crate) fn score(&self, mean: f64, now: Instant) -> f64 {
        let keep = self.keep(now);
        let latency = mean + (self.latency.unwrap_or(mean) - mean) * keep;
        let shedding = self.load.is_some_and(|(load, at)| {
            load.shedding && now.saturating_duration_since(at) < LOAD_AGE
        });
        let failing = Some(self.failing * keep).filter(|f| *f >= NEGLIGIBLE).unwrap_or_default();
        let penalty = 1.0 + FAILURE_WEIGHT * failing + f64::from(u8::from(shedding));
        let slots = f64::from(self.endpoint.slots.max(1));
        (self.estimated_load(now) + 1.0) / slots * latency.max(0.05) * penalty
    }

    /// Weight that remains of what was observed.
    fn keep(&self, now: Instant) -> f64 {
        let age = self.seen.map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        1.0 / (1.0 + age.as_secs_f64() / MEMORY.as_secs_f64())
    }

    /// Takes over a load report.
    pub(crate) fn record_load(&mut self, load: Load, now: Instant) {
        self.load = Some((load, now));
        let recent = |named: Instant| now.saturating_duration_since(named) < CROSSED;
        match load.limit {
            Some(rate) => self.limit = Some((rate, now)),
            None => self.limit = self.limit.filter(|(_, named)| recent(*named)),
        }
    }

    /// The limit that it names, as far as is known.
    pub(crate) fn advertised_limit(&self) -> Option<Rate> {
        self.limit.map(|(rate, _)| rate)
    }

    /// Takes over the outcome of an attempt, except for its ejection.
    pub(crate) fn observe(&mut self, seen: Observation, now: Instant) {
        // What has faded gives way to the first new sample; otherwise a target that was slow once would
        // need dozens of samples, and get few.
        let alpha = 1.0 - (1.0 - ALPHA) * self.keep(now);
        let bad = match seen {
            Observation::Success(latency) => {
                self.unreachable = None;
                let ms = latency.as_secs_f64() * 1000.0;
                self.latency = Some(self.latency.map_or(ms, |old| old + alpha * (ms - old)));
                0.0
            }
            Observation::Failure | Observation::Shed => 1.0,
            Observation::Neutral => return,
        };
        self.failing += alpha * (bad - self.failing);
        self.seen = Some(now);
    }

    /// Starts again without history, after an ejection.
    pub(crate) const fn reset_history(&mut self, now: Instant) {
        self.warm_from = now;
        self.failing = 0.0;
        self.latency = None;
    }
}
