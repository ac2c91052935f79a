//! Routes and pools, the two tables that operators edit: their types, parsing with the place of
//! every finding, validation, content hash, versions and row deltas. This crate opens no socket and
//! reads no file; text comes in, values and findings go out.

mod change;
mod check;
mod conflict;
mod delta;
mod duration;
mod field;
mod finding;
mod head;
mod kind;
mod leaf;
mod matches;
mod name;
mod pool;
mod read;
mod route;
mod share;
mod source;
mod tables;
mod version;

pub use change::{Change, FieldChange, RowChange, TableName, changes};
pub use check::{MAX_ROWS, MAX_TEXT};
pub use conflict::{Conflict, conflicts};
pub use delta::{Delta, DeltaError};
pub use duration::{Millis, ParseMillisError};
pub use field::{Bounds, Field, MAX_DEADLINE, POOL_FIELDS, ROUTE_FIELDS};
pub use finding::{Finding, Findings, Place};
pub use head::{HEAD_KEY, Head, PART_LIMIT, history_key, join_parts, part_key, split_parts};
pub use kind::{Kind, MAX_HOST, MAX_NAME, MAX_PATH, METHODS, name_fault};
pub use matches::Match;
pub use name::Name;
pub use pool::{Balance, Ejection, Limits, Pool, Prefer};
pub use route::{Repeat, Route};
pub use share::{ParseShareError, Share};
pub use source::{MAX_FILE, Source};
pub use tables::{Tables, parse_pools, parse_routes, parse_tables, validate};
pub use version::{Hash, Version, VersionMark};
