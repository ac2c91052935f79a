use std::time::Duration;

use tokio::time::Instant;

use crate::{Fingerprint, Goal, Rate, Refusal};

/// Limits of one target, enforced exactly by the daemon beside it.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Connections that the target accepts, each with one request at a time; the daemon never opens
    /// more.
    pub connections: u32,
    /// Requests that may wait for a slot at the same time.
    pub queue: u32,
    /// Longest time that a request waits for a slot.
    pub queue_wait: Duration,
    /// How long a slot stays occupied after a request whose end was not observed, because the target
    /// may still be running it.
    pub linger: Duration,
    /// Which optional policies are enabled.
    pub policies: GatePolicies,
}

/// Optional policies of a gate. Each one can be disabled to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatePolicies {
    /// Run short requests before others. If disabled, no request counts as short.
    pub short_first: bool,
    /// Bound the wait in the queue by a share of the request's latency objective. If disabled, only
    /// the pool's limit applies.
    pub bound_waits: bool,
}

impl Default for GatePolicies {
    fn default() -> Self {
        Self { short_first: true, bound_waits: true }
    }
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            connections: 128,
            queue: 32,
            queue_wait: Duration::from_millis(100),
            linger: Duration::from_millis(500),
            policies: GatePolicies::default(),
        }
    }
}

/// A request that arrives at a gate.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Number of calls above this one in the call chain, from `damaskwick-depth`.
    pub depth: u8,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Its latency objective; `None` if the caller's daemon did not send one.
    pub goal: Option<Goal>,
    /// Identifies the request across retries and repeats.
    pub fingerprint: Option<Fingerprint>,
    /// The rate limit that the target last advertised to the caller's daemon, if known there.
    pub limit: Option<Rate>,
}

/// The right to run one request; handed back with [`crate::Gate::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not finished holds its slot forever"]
pub struct Permit(pub(crate) u64);

/// Identifies a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// The decision on an arrival.
#[derive(Debug)]
pub enum Admission {
    /// Forward the request to the target now.
    Run(Permit),
    /// The request is queued; wait for a [`Wake`] with this ticket.
    Wait(Ticket),
    /// The request is refused without being run.
    Refuse(Refusal),
}

/// The decision on a queued request.
#[derive(Debug)]
pub enum Wake {
    /// Forward the request to the target now.
    Run {
        /// The queued request.
        ticket: Ticket,
        /// The permit for its slot.
        permit: Permit,
    },
    /// The request is refused without being run.
    Refuse {
        /// The queued request.
        ticket: Ticket,
        /// The response to the caller.
        refusal: Refusal,
    },
}

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole response was read.
    Answered {
        /// HTTP status; 429 and 503 mean that the target shed the request.
        status: u16,
        /// Time from forwarding the request to the end of the response.
        latency: Duration,
    },
    /// No byte of the request was sent, for example because no connection was established.
    NotStarted,
    /// The target reported that it did not run the request.
    Refused,
    /// The connection broke, timed out, or was closed because the caller cancelled; the target may
    /// still be running the request.
    Lost,
}
