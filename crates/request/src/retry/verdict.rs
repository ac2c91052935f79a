use std::time::Duration;

use crate::{AttemptOutcome, Load, Reason, choice::target::Observation};

/// What an attempt's outcome means for its target and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    pub(crate) observation: Observation,
    pub(crate) load: Option<Load>,
    /// The target is leaving.
    pub(crate) leaving: bool,
    /// No connection to it could be established, or the connection stopped responding.
    pub(crate) unreachable: bool,
}

impl Verdict {
    /// Assesses an outcome. `fair` tells whether the attempt had enough time for a timeout to indicate a
    /// failure of the target rather than a short deadline of the caller.
    pub(crate) const fn of(outcome: &AttemptOutcome, fair: bool) -> Self {
        let (observation, load, leaving) = match *outcome {
            AttemptOutcome::Answered { status, load, latency } => {
                (of_status(status, latency), load, false)
            }
            AttemptOutcome::NotRun { reason, load, .. } => (
                of_refusal(reason, load),
                load,
                matches!(reason, Reason::Draining | Reason::UnknownTarget),
            ),
            AttemptOutcome::Unknown { reason: Reason::TimedOut } if !fair => {
                (Observation::Neutral, None, false)
            }
            AttemptOutcome::Unknown { reason } if is_final(reason) => {
                (Observation::Neutral, None, false)
            }
            AttemptOutcome::Unknown { .. } => (Observation::Failure, None, false),
            AttemptOutcome::Cancelled => (Observation::Neutral, None, false),
        };
        let leaving = leaving || matches!(load, Some(Load { leaving: true, .. }));
        let unreachable = matches!(
            outcome,
            AttemptOutcome::NotRun { reason: Reason::ConnectFailed, .. }
                | AttemptOutcome::Unknown { reason: Reason::ConnectionUnresponsive }
        );
        Self { observation, load, leaving, unreachable }
    }
}

const fn of_status(status: u16, latency: Duration) -> Observation {
    match status {
        429 | 503 => Observation::Shed,
        500 | 502 | 504 => Observation::Failure,
        _ => Observation::Success(latency),
    }
}

const fn of_refusal(reason: Reason, load: Option<Load>) -> Observation {
    match reason {
        Reason::ConnectFailed => Observation::Failure,
        // The gate beside the target gives each request a slot, and nobody waits for one there: the
        // target declines requests for a reason of its own, not for lack of room.
        Reason::TargetRefused if matches!(load, Some(Load { queued: 0, shedding: false, .. })) => {
            Observation::Declined
        }
        Reason::QueueFull
        | Reason::QueueWait
        | Reason::QueuePreempted
        | Reason::DeadlineUnmet
        | Reason::TargetRefused
        | Reason::Shedding => Observation::Shed,
        _ => Observation::Neutral,
    }
}

/// Whether a request that was provably not run for this reason may succeed at another target.
pub(crate) const fn can_succeed_elsewhere(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ConnectFailed
            | Reason::StreamRefused
            | Reason::Draining
            | Reason::UnknownTarget
            | Reason::NotReady
            | Reason::QueueFull
            | Reason::QueueWait
            | Reason::QueuePreempted
            | Reason::DeadlineUnmet
            | Reason::RateLimit
            | Reason::TargetRefused
            | Reason::Shedding
    )
}

/// Whether the request was refused before the target was contacted, so that the next attempt is the
/// first one to reach a target.
pub(crate) const fn is_before_target(reason: Reason) -> bool {
    can_succeed_elsewhere(reason) && !matches!(reason, Reason::TargetRefused)
}

/// Whether the reason concerns the request or its key, so that it tells nothing about the target and
/// no further attempt can change it.
pub(crate) const fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Poisoned
            | Reason::InProgress
            | Reason::RecordUnknown
            | Reason::RecordLost
            | Reason::AnswerNotKept
            | Reason::KeeperUnreachable
            | Reason::Cancelled
    )
}

/// Whether the reason is an overload, which may have passed as soon as another request has ended.
pub(crate) const fn is_overload(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull
            | Reason::QueueWait
            | Reason::QueuePreempted
            | Reason::DeadlineUnmet
            | Reason::RateLimit
            | Reason::TargetRefused
            | Reason::Shedding
            | Reason::PoolLimit
    )
}
