use std::time::Duration;

use dw_tables::Ejection;
use tokio::time::Instant;

/// Maximum factor by which the ejection time is multiplied. The factor grows by one with each ejection.
const MAX_TIME_FACTOR: u32 = 6;

/// Time without an ejection after which the factor starts again at one.
const FACTOR_RESET_TIME: Duration = Duration::from_secs(300);

/// Whether a target may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutlierState {
    /// It may be chosen.
    Healthy,
    /// It is not chosen.
    Ejected,
    /// It gets one request at a time until a request succeeds.
    Probation {
        /// When the ejection ended and the probation began.
        since: Instant,
    },
}

/// Ejects one target after consecutive failures and puts it on probation afterwards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outlier {
    failures: u32,
    time_factor: u32,
    ejected_until: Option<Instant>,
    last_ejection: Option<Instant>,
}

impl Outlier {
    /// The state at `now`.
    pub(crate) fn state(&self, now: Instant) -> OutlierState {
        match self.ejected_until {
            None => OutlierState::Healthy,
            Some(until) if now < until => OutlierState::Ejected,
            Some(until) => OutlierState::Probation { since: until },
        }
    }

    /// Whether the target is ejected or on probation, and so counts towards the share of targets that
    /// may be ejected.
    pub(crate) const fn is_excluded(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records a success; returns whether it ended a probation.
    pub(crate) fn succeeded(&mut self, now: Instant) -> bool {
        self.failures = 0;
        let recovered = matches!(self.state(now), OutlierState::Probation { .. });
        if recovered {
            self.ejected_until = None;
        }
        recovered
    }

    /// Records a failure; `may_eject` tells whether another target of the pool may be ejected.
    /// Returns whether this target was ejected just now.
    pub(crate) fn failed(&mut self, policy: &Ejection, may_eject: bool, now: Instant) -> bool {
        let before = self.is_excluded();
        self.failures = self.failures.saturating_add(1);
        match self.state(now) {
            OutlierState::Probation { .. } => self.eject(policy, now),
            OutlierState::Healthy if may_eject && self.failures >= policy.failures.max(1) => {
                self.eject(policy, now);
            }
            OutlierState::Healthy | OutlierState::Ejected => {}
        }
        self.is_excluded() && !before
    }

    /// Ends the ejection early because too large a share of the pool is ejected.
    pub(crate) const fn restore(&mut self) {
        self.ejected_until = None;
        self.failures = 0;
    }

    /// When the ejection ends.
    pub(crate) const fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    fn eject(&mut self, policy: &Ejection, now: Instant) {
        if self
            .last_ejection
            .is_some_and(|last| now.saturating_duration_since(last) > FACTOR_RESET_TIME)
        {
            self.time_factor = 0;
        }
        self.time_factor = (self.time_factor + 1).min(MAX_TIME_FACTOR);
        self.last_ejection = Some(now);
        self.ejected_until = Some(now + Duration::from(policy.time) * self.time_factor);
    }
}
