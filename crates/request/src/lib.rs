//! Decisions about requests: routing, load balancing, limits, retries, at-most-once execution,
//! requests that crash their targets, and draining.
//!
//! The logic is free of I/O: a [`Dispatcher`] on the caller's side, a [`Gate`] beside each target,
//! and a [`Keeper`] for the idempotency keys of a failure domain. Time is passed in as an argument
//! and random numbers come from seeded generators; this crate opens no sockets and spawns no tasks.

mod answered;
mod capacity;
mod choice;
mod dispatcher;
mod fingerprint;
mod gate;
mod goal;
mod keeper;
mod poison;
mod reason;
mod refusal;
mod retry;
mod rollout;
mod stop;
mod workspace;

pub use choice::{
    Avoidance, Basis, Endpoint, EndpointState, Load, ParseLoadError, PathMatch, ResolvedRoute,
    Router, TargetChange,
};
pub use dispatcher::{Dispatcher, DispatcherConfig};
pub use fingerprint::Fingerprint;
pub use gate::{
    Admission, Arrival, ConcurrencyLimiter, Gate, GateConfig, GatePolicies, ParseRateError, Permit,
    Rate, ReportEffect, ReportedTarget, ReportedTargets, RunOutcome, TargetReport, Ticket, Wake,
};
pub use goal::Goal;
pub use keeper::{
    CLOCK_SKEW, CedeReply, Claim, HandOver, KEEPER_HOLD, Keeper, KeeperConfig, KeyOutcome,
    MAX_STORED_ANSWER_BYTES, Member, MemberState, RECORD_WINDOW, Ranking, Record, RecordState,
    StoredAnswer, home_domain,
};
pub use poison::{Death, MAX_POISON_SUSPECTS, POISON_DURATION, PoisonList, Suspects};
pub use reason::{Outcome, Reason, UnknownReason};
pub use refusal::{DEFAULT_RETRY_AFTER, Refusal};
pub use retry::{
    Attempt, AttemptId, AttemptOutcome, Decision, Next, RequestInfo, RetryAfterPolicy, RetryBudget,
};
pub use rollout::{
    Comparison, Evidence, EvidenceReport, Judgement, MAX_AVOIDED_VERSIONS, OldTargets,
    RollbackReason, RolloutAction, RolloutHolder, RolloutInput, RolloutLeader, RolloutOrder,
    RolloutPolicy, RolloutState, RolloutStep, RouteEvidence, Succession, Tally, VersionHistory,
    VersionShare,
};
pub use stop::StopLimit;
pub use workspace::{
    Access, Allotment, Credentials, CreditAsk, CreditHolder, CreditOwner, Electorate, KeyIndex,
    Lease, Take,
};
