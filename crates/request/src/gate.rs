use std::time::Duration;

use tokio::time::Instant;

use crate::{Fingerprint, Load, Poison, Reason, Refusal};

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
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            connections: 128,
            queue: 32,
            queue_wait: Duration::from_millis(100),
            linger: Duration::from_millis(500),
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
    /// Identifies the request across repeats.
    pub fingerprint: Option<Fingerprint>,
}

/// The right to run one request; returned by [`Gate::finish`].
#[derive(Debug, PartialEq, Eq)]
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
    /// The connection broke, timed out, or was closed by a cancellation; the target may still be
    /// running the request.
    Lost,
}

/// Decides beside a target which requests run, wait or are refused.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    poison: Poison,
    in_flight: u32,
    next: u64,
    draining: bool,
}

impl Gate {
    /// A gate with all slots free.
    #[must_use]
    pub fn new(config: GateConfig) -> Self {
        Self { config, poison: Poison::default(), in_flight: 0, next: 0, draining: false }
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut Poison {
        &mut self.poison
    }

    /// Takes over the limits of the pool in a new version.
    pub const fn set_queue(&mut self, queue: u32, wait: Duration) {
        self.config.queue = queue;
        self.config.queue_wait = wait;
    }

    /// Decides on an arrival. Call [`Self::deadline`] again afterwards: a request that lost its
    /// place to a deeper call is refused by the next [`Self::expire`].
    pub fn offer(&mut self, arrival: Arrival, now: Instant) -> Admission {
        let refusal = match () {
            () if self.draining => Reason::Draining,
            () if arrival.deadline <= now => Reason::DeadlinePassed,
            () if arrival.fingerprint.is_some_and(|print| self.poison.refuses(print, now)) => {
                Reason::Poisoned
            }
            () if self.in_flight >= self.config.slots.min(self.config.connections) => {
                Reason::QueueFull
            }
            () => {
                self.in_flight += 1;
                self.next += 1;
                return Admission::Run(Permit(self.next));
            }
        };
        Admission::Refuse(Refusal::new(refusal))
    }

    /// Returns a slot and says which queued requests run or are refused now.
    pub fn finish(&mut self, _permit: Permit, _outcome: RunOutcome, _now: Instant) -> Vec<Wake> {
        self.in_flight = self.in_flight.saturating_sub(1);
        Vec::new()
    }

    /// Removes a queued request whose caller went away. If it got its permit meanwhile, finish that
    /// as [`RunOutcome::NotStarted`].
    pub const fn cancel(&mut self, _ticket: Ticket) {}

    /// Does what is due at [`Self::deadline`].
    pub fn expire(&mut self, _now: Instant) -> Vec<Wake> {
        Vec::new()
    }

    /// When [`Self::expire`] must be called, if nothing happens before.
    #[must_use]
    pub const fn deadline(&self) -> Option<Instant> {
        None
    }

    /// Refuses new requests as not run from now on; queued ones may still run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether nothing is in flight or queued, so that a drain is complete.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// The target died: returns the requests that were in flight, for [`Poison::report`].
    pub fn target_died(&mut self, _now: Instant) -> Vec<Fingerprint> {
        Vec::new()
    }

    /// What the daemon reports with each response.
    #[must_use]
    pub const fn load(&self) -> Load {
        let slots = self.config.slots;
        Load { in_flight: self.in_flight, slots, queued: 0, shedding: false }
    }
}
