use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request was run at a target, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was run.
    Run,
    /// It is proven that it was not run.
    NotRun,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// The value of the header `damaskwick-outcome`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Defines the reasons in one table, so that text, status and outcome stay consistent.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $outcome:ident;)*) => {
        /// Why a request was refused, retried, or not retried.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, so that a counter of each can be exported before it occurs.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The stable text in the header `damaskwick-reason` and in metric labels.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status of a refusal with this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// What the reason alone proves about whether the request was run.
            #[must_use]
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }
        }

        impl FromStr for Reason {
            type Err = UnknownReason;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$name),)*
                    _ => Err(UnknownReason),
                }
            }
        }
    };
}

/// Error for a text that is not a [`Reason`] of this release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown reason")]
pub struct UnknownReason;

reasons! {
    /// The request has no workspace key, and its route is not public.
    KeyMissing = "key-missing", 401, NotRun;
    /// The request's key is malformed or belongs to no workspace.
    KeyUnknown = "key-unknown", 401, NotRun;
    /// No route matches the request.
    NoRoute = "no-route", 404, NotRun;
    /// The daemon has no configuration yet.
    NotReady = "not-ready", 503, NotRun;
    /// The pool has no usable target.
    NoTarget = "no-target", 503, NotRun;
    /// This daemon has as many requests to the pool in flight as the limit allows.
    PoolLimit = "pool-limit", 503, NotRun;
    /// The call chain is deeper than allowed; most likely it is a loop.
    DepthLimit = "depth-limit", 503, NotRun;
    /// The deadline had passed before the request started.
    DeadlinePassed = "deadline-passed", 503, NotRun;
    /// The daemon or the target is draining.
    Draining = "draining", 503, NotRun;
    /// The request was in flight at two targets when they died, so it may have been run.
    Poisoned = "poisoned", 502, Unknown;
    /// No slot is free and the queue is full.
    QueueFull = "queue-full", 503, NotRun;
    /// No slot became free within the maximum wait.
    QueueWait = "queue-wait", 503, NotRun;
    /// A call from deeper in a call chain took the request's place in the full queue.
    QueuePreempted = "queue-preempted", 503, NotRun;
    /// The expected wait and service time exceed the deadline.
    DeadlineUnmet = "deadline-unmet", 503, NotRun;
    /// The workspace of the request is over its quota.
    Quota = "quota", 429, NotRun;
    /// The target receives as many requests as its advertised rate limit allows.
    RateLimit = "rate-limit", 503, NotRun;
    /// The concurrency limit was lowered because the target sheds load.
    Shedding = "shedding", 503, NotRun;
    /// The daemon does not know the target.
    UnknownTarget = "unknown-target", 503, NotRun;
    /// The target reported that it did not run the request.
    TargetRefused = "target-refused", 503, NotRun;
    /// No connection was established, so no byte was sent.
    ConnectFailed = "connect-failed", 503, NotRun;
    /// The peer refused the stream before processing it (GOAWAY or `REFUSED_STREAM`).
    StreamRefused = "stream-refused", 503, NotRun;
    /// The keeper has no room for another record.
    KeeperFull = "keeper-full", 503, NotRun;
    /// Another daemon is the keeper of the key.
    KeeperMoved = "keeper-moved", 503, NotRun;
    /// The keeper could not be reached, and the request may be a repeat.
    KeeperUnreachable = "keeper-unreachable", 502, Unknown;
    /// An earlier request with the same key is in progress.
    InProgress = "in-progress", 409, Unknown;
    /// The result of an earlier request with the same key is not known.
    RecordUnknown = "record-unknown", 502, Unknown;
    /// The record of the key may have been lost with its keeper.
    RecordLost = "record-lost", 502, Unknown;
    /// An earlier request with the same key was answered, but the response was too large to store.
    AnswerNotKept = "answer-not-kept", 502, Run;
    /// The connection broke after the request was sent.
    ConnectionLost = "connection-lost", 502, Unknown;
    /// The connection stopped responding.
    ConnectionUnresponsive = "connection-unresponsive", 504, Unknown;
    /// The response did not arrive within the deadline.
    TimedOut = "timed-out", 504, Unknown;
    /// The response ended early.
    ResponseTruncated = "response-truncated", 502, Unknown;
    /// The target died while the request was in flight.
    TargetDied = "target-died", 502, Unknown;
    /// The peer violated the protocol.
    ProtocolError = "protocol-error", 502, Unknown;
    /// The caller disconnected.
    Cancelled = "cancelled", 502, Unknown;
    /// The target answered 502, 503 or 504.
    ServerError = "server-error", 502, Run;
    /// Not retried: the route's number of retries is used up.
    RetryLimit = "retry-limit", 503, Unknown;
    /// Not retried: the pool's retry budget is used up.
    RetryBudget = "retry-budget", 503, Unknown;
    /// Not retried: another level of the call chain has already retried.
    RetryLevel = "retry-level", 503, Unknown;
    /// Not retried: the pool is shedding load.
    RetryShedding = "retry-shedding", 503, Unknown;
    /// Not retried: the deadline leaves no time for a retry.
    RetryDeadline = "retry-deadline", 503, Unknown;
    /// Not retried: the request may have been run and must not run twice.
    RetryUnsafe = "retry-unsafe", 503, Unknown;
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
