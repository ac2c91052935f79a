use std::collections::HashMap;

use derive_more::Display;

use crate::{KeyHash, MAX_REQUEST_RATE, Millis, Name, Share, kind::FieldKind};

/// A field of a row: its path in the row, what it accepts, and its default.
///
/// Parsing, validation and the page `docs/tables.md` are all based on [`ROUTE_FIELDS`],
/// [`POOL_FIELDS`] and [`WORKSPACE_FIELDS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// The path in the row, such as `limits.queue`.
    pub path: &'static str,
    /// What is accepted.
    pub kind: FieldKind,
    /// The default as written in a table, or `None` where the field is required.
    pub default: Option<&'static str>,
}

/// The smallest and the largest value accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{min} to {max}")]
pub struct Bounds {
    /// The smallest value.
    pub min: u64,
    /// The largest value.
    pub max: u64,
}

/// The value of a field, borrowed from its row.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Value<'a> {
    Text(&'a str),
    List(&'a [Name]),
    Shares(&'a [Share]),
    Count(u64),
    Time(Millis),
    Keys(&'a [KeyHash]),
    /// A number that may be absent.
    Rank(Option<u32>),
    /// A rate, whose type holds accepted values only.
    Rate,
    /// A flag.
    Flag,
    /// A field whose enum type holds accepted values only, so that nothing is left to check.
    Choice,
}

/// A row of any table.
pub(crate) trait Row {
    /// The fields of the table.
    const FIELDS: &'static [Field];

    fn name(&self) -> &Name;

    /// The values of [`Self::FIELDS`], in the same order.
    fn values(&self) -> Vec<Value<'_>>;
}

/// Indexes rows by their names.
pub(crate) fn by_name<T: Row>(rows: &[T]) -> HashMap<&Name, &T> {
    rows.iter().map(|row| (row.name(), row)).collect()
}

/// The longest deadline of a route. `KEEPER_HOLD` covers the 30 s after the death of a keeper, the
/// daemon that records which requests have run, and a request may start until its deadline plus a
/// clock skew below 500 ms. With a longer deadline, a repeated request could run twice.
pub const MAX_DEADLINE_MS: u64 = 29_000;

/// The largest priority value of a route or workspace, which is served last.
pub(crate) const MAX_PRIORITY: u64 = 100;

/// The longest drain and the longest ejection.
const HOUR_MS: u64 = 3_600_000;

/// The largest part of a pool that may be ejected: a third, so that ejection cannot empty a pool.
const MAX_EJECTED_PERCENT: u64 = 33;

/// The fields of a route.
pub const ROUTE_FIELDS: &[Field] = &[
    required("name", FieldKind::Name),
    required("match.path", FieldKind::Path),
    optional("match.host", FieldKind::Host, "\"\""),
    optional("match.methods", FieldKind::Methods, "[]"),
    required("pool", FieldKind::Name),
    optional("split", FieldKind::Shares, "[]"),
    optional("repeat", FieldKind::Choice(&["idempotent", "once"]), "\"once\""),
    optional("deadline", FieldKind::Time(Bounds { min: 1, max: MAX_DEADLINE_MS }), "\"2s\""),
    optional("retries", FieldKind::Count(Bounds { min: 0, max: 5 }), "1"),
    optional("priority", FieldKind::Count(Bounds { min: 0, max: MAX_PRIORITY }), "0"),
    optional("objective", FieldKind::Time(Bounds { min: 1, max: MAX_DEADLINE_MS }), "\"1s\""),
    optional("public", FieldKind::Flag, "false"),
];

/// The fields of a pool.
pub const POOL_FIELDS: &[Field] = &[
    required("name", FieldKind::Name),
    required("service", FieldKind::Name),
    optional("balance", FieldKind::Choice(&["two-choices", "round-robin"]), "\"two-choices\""),
    optional("limits.in_flight", FieldKind::Count(Bounds { min: 1, max: 1_000_000 }), "1024"),
    optional("limits.queue", FieldKind::Count(Bounds { min: 1, max: 100_000 }), "32"),
    optional(
        "limits.queue_wait",
        FieldKind::Time(Bounds { min: 1, max: MAX_DEADLINE_MS }),
        "\"100ms\"",
    ),
    optional("prefer", FieldKind::Choice(&["domain", "region", "any"]), "\"domain\""),
    optional("drain", FieldKind::Time(Bounds { min: 1, max: HOUR_MS }), "\"30s\""),
    optional("ejection.failures", FieldKind::Count(Bounds { min: 1, max: 1000 }), "5"),
    optional("ejection.share", FieldKind::Count(Bounds { min: 1, max: MAX_EJECTED_PERCENT }), "33"),
    optional("ejection.time", FieldKind::Time(Bounds { min: 1, max: HOUR_MS }), "\"10s\""),
    optional("capacity", FieldKind::Choice(&["fixed", "learned"]), "\"fixed\""),
];

/// The largest burst of a workspace, one second at the largest rate.
const MAX_BURST: u64 = MAX_REQUEST_RATE as u64;

/// The fields of a workspace.
pub const WORKSPACE_FIELDS: &[Field] = &[
    required("name", FieldKind::Name),
    optional("keys", FieldKind::Keys, "[]"),
    optional("priority", FieldKind::Rank(Bounds { min: 0, max: MAX_PRIORITY }), "null"),
    optional("rate", FieldKind::Rate, "0"),
    optional("burst", FieldKind::Count(Bounds { min: 0, max: MAX_BURST }), "0"),
];

const fn required(path: &'static str, kind: FieldKind) -> Field {
    Field { path, kind, default: None }
}

const fn optional(path: &'static str, kind: FieldKind, default: &'static str) -> Field {
    Field { path, kind, default: Some(default) }
}
