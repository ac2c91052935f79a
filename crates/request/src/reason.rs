use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What is known about whether a request was run at a target.
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
    /// The text for the header `damaskwick-outcome`.
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

/// Defines the reasons in one table, so that text, status and outcome cannot get out of step.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $outcome:ident;)*) => {
        /// Why a request was refused, retried, or not retried.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, for counters that exist from the start.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The stable text for the header `damaskwick-reason` and the metrics label.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The status of a refusal for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// What the reason alone proves about the request.
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

/// The text names no reason that this release knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the text names no known reason")]
pub struct UnknownReason;

reasons! {
    /// No route takes the request.
    NoRoute = "no-route", 404, NotRun;
    /// The daemon has no configuration yet.
    NotReady = "not-ready", 503, NotRun;
    /// The pool has no target that may be used.
    NoTarget = "no-target", 503, NotRun;
    /// The pool has as many requests in flight from this daemon as its limit allows.
    PoolLimit = "pool-limit", 503, NotRun;
    /// The call chain is deeper than allowed, most likely a loop.
    DepthLimit = "depth-limit", 503, NotRun;
    /// The deadline had passed before the request started.
    DeadlinePassed = "deadline-passed", 503, NotRun;
    /// The daemon or target is leaving.
    Draining = "draining", 503, NotRun;
    /// The request was in flight at two targets when they died, so it may have been run.
    Poisoned = "poisoned", 502, Unknown;
    /// No slot is free and the queue is full.
    QueueFull = "queue-full", 503, NotRun;
    /// No slot became free within the longest wait.
    QueueWait = "queue-wait", 503, NotRun;
    /// A call from deeper in a chain took the place in the full queue.
    QueuePreempted = "queue-preempted", 503, NotRun;
    /// The expected wait and service time exceed the deadline.
    DeadlineUnmet = "deadline-unmet", 503, NotRun;
    /// The target has got as many requests as the limit allows that it names.
    RateLimit = "rate-limit", 503, NotRun;
    /// The concurrency limit was lowered because the target sheds load.
    Shedding = "shedding", 503, NotRun;
    /// The daemon has no such target.
    UnknownTarget = "unknown-target", 503, NotRun;
    /// The target states that it did not run the request.
    TargetRefused = "target-refused", 503, NotRun;
    /// No connection was established, so no byte was sent.
    ConnectFailed = "connect-failed", 503, NotRun;
    /// The peer refused the stream before it processed it (GOAWAY or `REFUSED_STREAM`).
    StreamRefused = "stream-refused", 503, NotRun;
    /// The keeper has no room for another record.
    KeeperFull = "keeper-full", 503, NotRun;
    /// Another daemon keeps the record of the key.
    KeeperMoved = "keeper-moved", 503, NotRun;
    /// The keeper was not reached, and the request may be a repeat.
    KeeperUnreachable = "keeper-unreachable", 502, Unknown;
    /// An earlier request with the same key is in progress.
    InProgress = "in-progress", 409, Unknown;
    /// The result of an earlier request with the same key is not known.
    RecordUnknown = "record-unknown", 502, Unknown;
    /// The record of the key may have been lost with its keeper.
    RecordLost = "record-lost", 502, Unknown;
    /// An earlier request with the same key was answered, but the response was too large to keep.
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
    /// The caller went away.
    Cancelled = "cancelled", 502, Unknown;
    /// The target answered 502, 503 or 504.
    ServerError = "server-error", 502, Run;
    /// Not retried: the route's number of retries is used up.
    RetryLimit = "retry-limit", 503, Unknown;
    /// Not retried: the pool's retry budget is used up.
    RetryBudget = "retry-budget", 503, Unknown;
    /// Not retried: another level of the call chain has retried already.
    RetryLevel = "retry-level", 503, Unknown;
    /// Not retried: the pool sheds load.
    RetryShedding = "retry-shedding", 503, Unknown;
    /// Not retried: the deadline leaves no time.
    RetryDeadline = "retry-deadline", 503, Unknown;
    /// Not retried: the request may have run and must not run again.
    RetryUnsafe = "retry-unsafe", 503, Unknown;
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
