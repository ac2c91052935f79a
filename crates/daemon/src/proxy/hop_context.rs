use std::{fmt, str::FromStr, time::Duration};

use dw_request::{Arrival, Attempt, Goal, Rate};
use thiserror::Error;
use tokio::time::Instant;

/// Context of a request for the daemon on the target's host. It is sent in one header, because each
/// header costs the bytes of its name, and traffic between failure domains is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HopContext {
    /// The index of the target on its host.
    pub(super) target: u16,
    /// Time left for the whole response.
    pub(super) timeout: Duration,
    /// Number of calls above this one in the call chain.
    pub(super) depth: u8,
    /// Whether another level of the call chain retries the request.
    pub(super) retried: bool,
    /// Priority of the route.
    priority: u32,
    /// Latency objective of the route.
    objective: Duration,
    /// Time left until the response counts as late.
    left: Duration,
    /// The rate limit of the target that the sender knows, if any.
    limit: Option<Rate>,
}

/// The text is not a valid [`HopContext`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "expected target/timeout/depth/retried/priority/objective/left with times in ms, followed by \
     /limit in requests per second if the target has one"
)]
pub(super) struct ParseHopContextError;

impl HopContext {
    /// The context of an attempt with the given deadline.
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

    /// Converts to an arrival at the gate.
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

impl fmt::Display for HopContext {
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

impl FromStr for HopContext {
    type Err = ParseHopContextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut next = || {
            let part = parts.next().ok_or(ParseHopContextError)?;
            part.parse::<u32>().map_err(|_| ParseHopContextError)
        };
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let context = Self {
            target: u16::try_from(next()?).map_err(|_| ParseHopContextError)?,
            timeout: ms(next()?),
            depth: u8::try_from(next()?).map_err(|_| ParseHopContextError)?,
            retried: next()? != 0,
            priority: next()?,
            objective: ms(next()?),
            left: ms(next()?),
            limit: None,
        };
        let limit = parts.next().map(str::parse).transpose().map_err(|_| ParseHopContextError)?;
        if parts.next().is_some() {
            Err(ParseHopContextError)
        } else {
            Ok(Self { limit, ..context })
        }
    }
}
