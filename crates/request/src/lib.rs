//! Decisions about requests: routing, load balancing, limits, retries, at-most-once execution,
//! requests that crash their targets, and draining.
//!
//! The logic is free of I/O: a [`Dispatcher`] on the caller's side, a [`Gate`] beside each target,
//! and a [`Keeper`] for the idempotency keys of a failure domain. Time is passed in as an argument
//! and random numbers come from seeded generators; this crate opens no sockets and spawns no tasks.

mod admission;
mod attempt;
mod backoff;
mod balancer;
mod budget;
mod caller_timeouts;
mod claim;
mod dispatcher;
mod endpoint;
mod fingerprint;
mod gate;
mod goal;
mod keeper;
mod limiter;
mod load;
mod local_targets;
mod locality;
mod member;
mod outlier;
mod peers;
mod pending;
mod placement;
mod poison;
mod queue;
mod rate;
mod rate_limiter;
mod reason;
mod record;
mod records;
mod refusal;
mod retry_after;
mod router;
mod service_times;
mod shed;
mod target;
mod upstream;
mod verdict;
mod view;

pub use admission::{
    Admission, Arrival, GateConfig, GatePolicies, Permit, RunOutcome, Ticket, Wake,
};
pub use attempt::{Attempt, AttemptId, AttemptOutcome, Decision, Next, RequestInfo};
pub use budget::RetryBudget;
pub use claim::{
    CLOCK_SKEW, CedeReply, Claim, HandOver, KEEPER_HOLD, KeeperConfig, MAX_STORED_ANSWER_BYTES,
    RECORD_WINDOW,
};
pub use dispatcher::{Dispatcher, DispatcherConfig};
pub use endpoint::{Endpoint, EndpointState};
pub use fingerprint::Fingerprint;
pub use gate::Gate;
pub use goal::Goal;
pub use keeper::Keeper;
pub use limiter::ConcurrencyLimiter;
pub use load::{Load, ParseLoadError};
pub use local_targets::{LocalTarget, LocalTargets, ReportEffect, TargetReport};
pub use member::{Member, MemberState};
pub use placement::{Ranking, home_domain};
pub use poison::{Death, MAX_POISON_SUSPECTS, POISON_DURATION, PoisonList, Suspects};
pub use rate::{ParseRateError, Rate};
pub use reason::{Outcome, Reason, UnknownReason};
pub use record::{KeyOutcome, Record, RecordState, StoredAnswer};
pub use refusal::{DEFAULT_RETRY_AFTER, Refusal};
pub use retry_after::RetryAfterPolicy;
pub use router::{ResolvedRoute, Router};
pub use view::{Avoidance, Basis, TargetChange};
