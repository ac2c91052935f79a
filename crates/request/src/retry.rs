//! Attempts of a request and what follows each: retries and their budget, delays, and the time after
//! which a refused caller may return.

mod attempt;
pub(crate) mod backoff;
mod budget;
pub(crate) mod caller_timeouts;
pub(crate) mod pending;
pub(crate) mod retry_after;
pub(crate) mod shed;
pub(crate) mod verdict;

pub use attempt::{Attempt, AttemptId, AttemptOutcome, Decision, Next, RequestInfo};
pub use budget::RetryBudget;
pub use retry_after::RetryAfterPolicy;
