use std::time::Duration;

use dw_tables::Ejection;
use tokio::time::Instant;

/// Ejections in a row up to which each lasts longer than the one before.
const ROUNDS: u32 = 6;

/// Time without an ejection after which the duration starts again from its base.
const FORGET: Duration = Duration::from_secs(300);

/// Whether a target takes part in the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It does.
    Good,
    /// It does not.
    Ejected,
    /// It gets one request at a time until one succeeds.
    Probation {
        /// Since when.
        since: Instant,
    },
}

/// Ejects one target after consecutive failures and puts it on probation afterwards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outlier {
    failures: u32,
    rounds: u32,
    until: Option<Instant>,
    last: Option<Instant>,
}

impl Outlier {
    /// The standing now.
    pub(crate) fn standing(&self, now: Instant) -> Standing {
        match self.until {
            None => Standing::Good,
            Some(until) if now < until => Standing::Ejected,
            Some(until) => Standing::Probation { since: until },
        }
    }

    /// Whether the target is ejected or on probation, and so counts against the share.
    pub(crate) const fn is_out(&self) -> bool {
        self.until.is_some()
    }

    /// A request succeeded; returns whether that ended a probation.
    pub(crate) fn succeeded(&mut self, now: Instant) -> bool {
        self.failures = 0;
        let done = matches!(self.standing(now), Standing::Probation { .. });
        if done {
            self.until = None;
        }
        done
    }

    /// A request failed; `room` tells whether another target may be ejected. Returns whether this
    /// one is ejected now and was not before.
    pub(crate) fn failed(&mut self, policy: &Ejection, room: bool, now: Instant) -> bool {
        let before = self.is_out();
        self.failures = self.failures.saturating_add(1);
        match self.standing(now) {
            Standing::Probation { .. } => self.eject(policy, now),
            Standing::Good if room && self.failures >= policy.failures.max(1) => {
                self.eject(policy, now);
            }
            Standing::Good | Standing::Ejected => {}
        }
        self.is_out() && !before
    }

    /// Ends the ejection because too large a share of the pool is ejected.
    pub(crate) const fn restore(&mut self) {
        self.until = None;
        self.failures = 0;
    }

    /// When the ejection ends.
    pub(crate) const fn until(&self) -> Option<Instant> {
        self.until
    }

    fn eject(&mut self, policy: &Ejection, now: Instant) {
        if self.last.is_some_and(|last| now.saturating_duration_since(last) > FORGET) {
            self.rounds = 0;
        }
        self.rounds = (self.rounds + 1).min(ROUNDS);
        self.last = Some(now);
        self.until = Some(now + Duration::from(policy.time) * self.rounds);
    }
}
