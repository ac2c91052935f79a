use std::time::Duration;

use crate::Goal;

/// Weight of the newest sample in the means.
const ALPHA: f64 = 0.1;

/// Kinds of requests that are told apart at one target.
const KINDS: usize = 16;

/// Largest factor by which a request that is cheaper than the mean may wait longer.
const MAX_CHEAPNESS: f64 = 4.0;

/// Mean service times at one target: of all requests, and of those with the same goal, which are
/// nearly always those of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Mean of all in seconds.
    mean: Option<f64>,
    kinds: Vec<(Kind, f64)>,
}

/// What identifies the requests of a route at the daemon beside the target.
pub(crate) type Kind = (u32, Duration);

/// The kind of the requests with this goal.
pub(crate) const fn kind_of(goal: &Goal) -> Kind {
    (goal.priority, goal.objective)
}

impl ServiceTimes {
    /// Takes over the time of one request.
    pub(crate) fn observe(&mut self, kind: Option<Kind>, took: Duration) {
        let new = took.as_secs_f64();
        self.mean = Some(self.mean.map_or(new, |old| old + ALPHA * (new - old)));
        let Some(kind) = kind else { return };
        if let Some((_, old)) = self.kinds.iter_mut().find(|(known, _)| *known == kind) {
            *old += ALPHA * (new - *old);
        } else {
            // The oldest kind is forgotten: its route has changed or is rarely used.
            if self.kinds.len() >= KINDS {
                self.kinds.remove(0);
            }
            self.kinds.push((kind, new));
        }
    }

    /// Mean time of all requests; zero before the first one.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// Mean time of the requests of a kind, or of all if the kind is not known.
    pub(crate) fn of(&self, kind: Option<Kind>) -> Duration {
        let known = |kind| self.kinds.iter().find(|(known, _)| *known == kind);
        kind.and_then(known).map_or_else(|| self.mean(), |(_, s)| Duration::from_secs_f64(*s))
    }

    /// How much cheaper a request of the kind is than the mean, from 1 up. To refuse a cheap one
    /// frees little room, and it is often a call without which a costlier request fails.
    pub(crate) fn cheapness(&self, kind: Option<Kind>) -> f64 {
        let own = self.of(kind).as_secs_f64();
        let ratio = if own > 0.0 { self.mean().as_secs_f64() / own } else { 1.0 };
        ratio.clamp(1.0, MAX_CHEAPNESS)
    }
}
