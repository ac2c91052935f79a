//! Learned capacity of targets: how fast each target is, compared with the others of its pool.
//!
//! The gate beside a target measures it, since all its requests pass there, and reports the result with
//! the load of each response. Callers' daemons compare the reports of the targets.

mod pace;
mod speeds;

pub(crate) use pace::Pace;
pub(crate) use speeds::{PoolSpeeds, RelativeSpeed};
