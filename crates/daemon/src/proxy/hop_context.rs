use std::{fmt, str::FromStr, time::Duration};

use dw_request::{Arrival, Attempt, Goal, Rate};
use thiserror::Error;
use tokio::time::Instant;

/// What a daemon tells the one beside a target about a request, in one header: each header costs a
/// name, and bytes between failure domains are paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Leg {
    /// The index of the target at its host.
    pub(super) target: u16,
    /// Time left for the whole response.
    pub(super) timeout: Duration,
    /// Calls above this one in the chain.
    pub(super) depth: u8,
    /// Whether another level of the chain retries the request.
    pub(super) retried: bool,
    /// Rank of the route.
    priority: u32,
    /// Time within which the route's answers are worth most.
    objective: Duration,
    /// How much of it is left.
    left: Duration,
    /// The limit that the target named to the sender, as far as that knows.
    limit: Option<Rate>,
}

/// The text is not a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "a leg is written as target/timeout/depth/retried/priority/objective/left, times in ms, followed by \
     /limit in requests a second if the target names one"
)]
pub(super) struct ParseLegError;

impl Leg {
    /// The leg of an attempt that has to end by `deadline`.
    pub(super) fn new(attempt: &Attempt, deadline: Instant, now: Instant) -> Self {
        Self {
            target: attempt.endpoint.target,
            timeout: deadline.saturating_duration_since(now),
            depth: attempt.depth,
            retried: attempt.retried,
            priority: attempt.goal.priority,
            objective: attempt.goal.objective,
            left: attempt.goal.late_at.saturating_duration_since(now),
            limit: attempt.basis.limit,
        }
    }

    /// The request as its arrival at the gate.
    pub(super) fn arrival(&self, now: Instant) -> Arrival {
        let goal =
            Goal { objective: self.objective, late_at: now + self.left, priority: self.priority };
        Arrival {
            depth: self.depth,
            deadline: now + self.timeout,
            goal: Some(goal),
            fingerprint: None,
            limit: self.limit,
        }
    }
}

impl fmt::Display for Leg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { target, depth, priority, .. } = self;
        let [timeout, objective, left] =
            [self.timeout, self.objective, self.left].map(|time| time.as_millis());
        let retried = u8::from(self.retried);
        write!(f, "{target}/{timeout}/{depth}/{retried}/{priority}/{objective}/{left}")?;
        match self.limit {
            Some(rate) => write!(f, "/{rate}"),
            None => Ok(()),
        }
    }
}

impl FromStr for Leg {
    type Err = ParseLegError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut next = || {
            let part = parts.next().ok_or(ParseLegError)?;
            part.parse::<u32>().map_err(|_| ParseLegError)
        };
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let leg = Self {
            target: u16::try_from(next()?).map_err(|_| ParseLegError)?,
            timeout: ms(next()?),
            depth: u8::try_from(next()?).map_err(|_| ParseLegError)?,
            retried: next()? != 0,
            priority: next()?,
            objective: ms(next()?),
            left: ms(next()?),
            limit: None,
        };
        let limit = parts.next().map(str::parse).transpose().map_err(|_| ParseLegError)?;
        if parts.next().is_some() { Err(ParseLegError) } else { Ok(Self { limit, ..leg }) }
    }
}
