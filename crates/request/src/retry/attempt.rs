use std::{sync::Arc, time::Duration};

use dw_tables::{Name, Repeat, Route};
use tokio::time::Instant;

use crate::{Basis, Endpoint, Fingerprint, Goal, Load, Reason, Refusal};

/// What the caller's daemon knows about a request when it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestInfo<'a> {
    /// The host, as in the request; a port is ignored.
    pub host: &'a str,
    /// The path; a query is ignored for routing.
    pub path: &'a str,
    /// The method in upper case.
    pub method: &'a str,
    /// The idempotency key.
    pub key: Option<&'a Name>,
    /// When the caller first sent the request, from `damaskwick-first-sent`.
    pub first_sent: Option<Instant>,
    /// SHA-256 of the body, if it is known before forwarding.
    pub body_hash: Option<&'a [u8; 32]>,
    /// Calls above this one in the chain, from `damaskwick-depth`.
    pub depth: u8,
    /// Time left according to the caller, from `damaskwick-timeout-ms`.
    pub timeout: Option<Duration>,
    /// Timeout that the caller itself stated, before the route's deadline shortened it.
    pub stated_timeout: Option<Duration>,
    /// Whether another level of the chain retries this request, from `damaskwick-retried`.
    pub retried: bool,
    /// Priority of the request's workspace, which replaces that of the route.
    pub priority: Option<u32>,
}

impl RequestInfo<'_> {
    /// Fingerprint of the request; `None` if it has no key and its body is not known.
    #[must_use]
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        if let Some(key) = self.key {
            return Some(Fingerprint::of_key(key));
        }
        self.body_hash.map(|body| Fingerprint::of_request(self.method, self.path, body))
    }
}

/// Identifies one attempt; never reused within a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// One request to one target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The identifier for [`crate::Dispatcher::settle`].
    pub id: AttemptId,
    /// Where to send it.
    pub endpoint: Arc<Endpoint>,
    /// When the whole response is due, the same for all attempts of a request.
    pub deadline: Instant,
    /// The route, as in the configuration version that the request began with.
    pub route: Arc<Route>,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Latency goal and priority of the request.
    pub goal: Goal,
    /// Value of `damaskwick-retried`; if set, no deeper level of the call chain may retry.
    pub retried: bool,
    /// Value of `damaskwick-depth` for the daemon beside the target.
    pub depth: u8,
    /// For a retry, why the previous attempt failed, for the metrics.
    pub cause: Option<Reason>,
    /// The number of the configuration version that the request began with.
    pub version: u64,
    /// The number of the attempt, from 1.
    pub number: u32,
    /// What the choice of the target was based on.
    pub basis: Basis,
}

/// What to do with a new request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it.
    Forward(Attempt),
    /// Answer it at once.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum AttemptOutcome {
    /// The target responded; the body may still be streaming.
    Answered {
        /// HTTP status.
        status: u16,
        /// Reported load, if the response carried it.
        load: Option<Load>,
        /// Time from sending to the response head.
        latency: Duration,
    },
    /// It is proven that the target did not start the request.
    NotRun {
        /// Why.
        reason: Reason,
        /// How long to wait before the target may be tried again.
        retry_after: Option<Duration>,
        /// Reported load, if any.
        load: Option<Load>,
    },
    /// The target may have started it.
    Unknown {
        /// Why it is not known whether the request was started.
        reason: Reason,
    },
    /// The caller went away; no response is sent to it.
    Cancelled,
}

/// What to do after an attempt.
#[derive(Clone, Debug)]
pub enum Next {
    /// Pass the response on to the caller. After a cancellation, or for an attempt that was already
    /// settled, there is nothing to do.
    Deliver,
    /// Send another attempt after a delay. It counts as in flight from now on and must be settled.
    Retry {
        /// Delay before it is sent.
        after: Duration,
        /// The new attempt.
        attempt: Attempt,
    },
    /// Answer the caller at once.
    Refuse(Refusal),
}
