//! Routes, pools and workspaces, the tables that operators edit: their types, parsing, validation, content
//! hash, versions and row deltas. Parsing and validation report every finding with its location.
//! This crate opens no sockets and reads no files; it works on text in memory.

mod canonical;
mod change;
mod check;
mod conflict;
mod delta;
mod duration;
mod field;
mod finding;
mod head;
mod key_hash;
mod kind;
mod leaf;
mod matches;
mod name;
mod pool;
mod read;
mod request_rate;
mod route;
mod share;
mod source;
mod tables;
mod tombstone;
mod unknown;
mod version;
mod workspace;

pub use canonical::{canonical_host, decode_path, encode_path};
pub use change::{Change, FieldChange, RowChange, TableName, changes};
pub use check::{MAX_CANONICAL_BYTES, MAX_ROWS};
pub use conflict::{Conflict, conflicts};
pub use delta::{Delta, DeltaError};
pub use duration::{Millis, ParseMillisError};
pub use field::{Bounds, Field, MAX_DEADLINE_MS, POOL_FIELDS, ROUTE_FIELDS, WORKSPACE_FIELDS};
pub use finding::{Finding, Findings, Place};
pub use head::{HEAD_KEY, Head, MAX_PART_BYTES, history_key, join_parts, part_key, split_parts};
pub use key_hash::{KeyError, KeyHash, MAX_KEY_BYTES, ParseKeyHashError};
pub use kind::{FieldKind, MAX_HOST_BYTES, MAX_NAME_BYTES, MAX_PATH_BYTES, METHODS, name_error};
pub use matches::Match;
pub use name::Name;
pub use pool::{Balance, Capacity, Ejection, Limits, Pool, Prefer};
pub use request_rate::{MAX_REQUEST_RATE, ParseRequestRateError, RequestRate};
pub use route::{Repeat, Route};
pub use share::{ParseShareError, Share};
pub use source::{MAX_FILE_BYTES, Source};
pub use tables::{
    Tables, parse_pools, parse_routes, parse_tables, parse_with_workspaces, parse_workspaces,
    validate,
};
pub use tombstone::Tombstone;
pub use unknown::UnknownFields;
pub use version::{Hash, Version, VersionId};
pub use workspace::Workspace;
