use std::time::Duration;

use tokio::time::Instant;

use crate::{Fingerprint, Goal, Rate, Refusal};

/// Limits of one target, kept exactly by the daemon beside it.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target accepts, each with one request at a time; the daemon opens no
    /// more than this.
    pub connections: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// The longest wait for a slot.
    pub queue_wait: Duration,
    /// Time that a slot stays taken after a request whose end was not seen, because the target may
    /// still be running it.
    pub linger: Duration,
    /// Which of its policies are in force.
    pub policies: GatePolicies,
}

/// Policies of a gate that can be replaced by their neutral form, so that their worth can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatePolicies {
    /// Short work goes before other work; if not, no work counts as short.
    pub short_first: bool,
    /// Waits are bounded by a share of the objective; if not, only by the pool's limit.
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

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Calls above this one in the chain, from `damaskwick-depth`.
    pub depth: u8,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// When its answer is worth most; `None` if the caller's daemon does not say.
    pub goal: Option<Goal>,
    /// Identifies the request across repeats.
    pub fingerprint: Option<Fingerprint>,
    /// The limit that the target named to the caller's daemon, as far as that knows.
    pub limit: Option<Rate>,
}

/// The right to run one request; returned by [`crate::Gate::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not finished keeps its slot for ever"]
pub struct Permit(pub(crate) u64);

/// The place of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// What becomes of an arrival.
#[derive(Debug)]
pub enum Admission {
    /// Hand it to the target now.
    Run(Permit),
    /// Wait for a [`Wake`] with this ticket.
    Wait(Ticket),
    /// Not run.
    Refuse(Refusal),
}

/// What becomes of a queued request.
#[derive(Debug)]
pub enum Wake {
    /// Hand it to the target now.
    Run {
        /// The request.
        ticket: Ticket,
        /// Its slot.
        permit: Permit,
    },
    /// Not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The response.
        refusal: Refusal,
    },
}

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole response was read.
    Answered {
        /// HTTP status; 429 and 503 count as load shedding by the target.
        status: u16,
        /// Time from handoff to the end of the response.
        latency: Duration,
    },
    /// No byte was sent, for example because no connection was established.
    NotStarted,
    /// The target states that it did not run the request.
    Refused,
    /// The connection broke, timed out, or was closed by a cancellation; the target may still be
    /// running the request.
    Lost,
}
