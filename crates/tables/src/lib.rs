//! Routes and pools, the two tables that operators edit: their types, parsing with the place of
//! every finding, validation, content hash, versions and row deltas. This crate opens no socket and
//! reads no file; text comes in, values and findings go out.

mod delta;
mod duration;
mod finding;
mod head;
mod name;
mod pool;
mod route;
mod tables;
mod version;

pub use delta::{Delta, DeltaError};
pub use duration::{Millis, ParseMillisError};
pub use finding::{Finding, Findings, Place};
pub use head::{Head, join_parts, split_parts};
pub use name::Name;
pub use pool::{Balance, Ejection, Limits, Pool, Prefer};
pub use route::{Match, Repeat, Route};
pub use tables::{Tables, parse_pools, parse_routes, validate};
pub use version::{Hash, Version, VersionMark};
