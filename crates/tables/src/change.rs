use std::collections::{BTreeMap, HashSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use crate::{
    Field, FieldKind, Name, Tables,
    field::{Row, by_name},
};

/// One of the tables.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TableName {
    /// The table of routes.
    #[display("route")]
    Routes,
    /// The table of pools.
    #[display("pool")]
    Pools,
    /// The table of workspaces.
    #[display("workspace")]
    Workspaces,
}

/// What an edit does to a row.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The row was added.
    #[display("added")]
    Added,
    /// The values of the row differ.
    #[display("changed")]
    Changed,
    /// The row was removed.
    #[display("removed")]
    Removed,
    /// The pool is referenced by a route that was added or changed.
    #[display("referenced")]
    Referenced,
}

/// A row that differs between two tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The table of the row.
    pub table: TableName,
    /// The name of the row.
    pub name: Name,
    /// What happens to the row.
    pub change: Change,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
}

/// A field that differs between two rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The path in the row, such as `limits.queue`.
    pub path: String,
    /// The value before, if the row existed.
    pub old: Option<Json>,
    /// The value after, if the row still exists.
    pub new: Option<Json>,
}

/// The rows that differ between `old` and `new`: routes, pools, then workspaces, each by name.
#[must_use]
pub fn changes(old: &Tables, new: &Tables) -> Vec<RowChange> {
    let mut list = table_changes(TableName::Routes, &old.routes, &new.routes);
    list.extend(table_changes(TableName::Pools, &old.pools, &new.pools));
    list.extend(table_changes(TableName::Workspaces, &old.workspaces, &new.workspaces));
    list
}

/// The change of each row that differs, by name.
pub(crate) fn row_changes<'a, T: Row + PartialEq>(
    old: &'a [T],
    new: &'a [T],
) -> BTreeMap<&'a Name, Change> {
    let (before, after) = (by_name(old), by_name(new));
    let upserts = new.iter().filter_map(|row| match before.get(row.name()) {
        None => Some((row.name(), Change::Added)),
        Some(previous) if *previous != row => Some((row.name(), Change::Changed)),
        Some(_) => None,
    });
    let removed = old.iter().map(Row::name).filter(|name| !after.contains_key(name));
    upserts.chain(removed.map(|name| (name, Change::Removed))).collect()
}

fn table_changes<T: Row + PartialEq + Serialize>(
    table: TableName,
    old: &[T],
    new: &[T],
) -> Vec<RowChange> {
    let (before, after) = (by_name(old), by_name(new));
    row_changes(old, new)
        .into_iter()
        .map(|(name, change)| {
            let fields = field_changes(before.get(name).copied(), after.get(name).copied());
            RowChange { table, name: name.clone(), change, fields }
        })
        .collect()
}

fn field_changes<T: Row + Serialize>(old: Option<&T>, new: Option<&T>) -> Vec<FieldChange> {
    let (old, new) = (old.map(to_json), new.map(to_json));
    let paths = T::FIELDS.iter().map(|field| field.path).filter(|path| *path != "name");
    paths
        .filter_map(|path| {
            let (old, new) = (value_at(old.as_ref(), path), value_at(new.as_ref(), path));
            (old != new).then(|| {
                let is_keys = |field: &&Field| field.path == path && field.kind == FieldKind::Keys;
                let (old, new) = match T::FIELDS.iter().find(is_keys) {
                    Some(_) => (key_count(&old, &new, "removed"), key_count(&new, &old, "added")),
                    None => (old, new),
                };
                FieldChange { path: path.to_owned(), old, new }
            })
        })
        .collect()
}

/// Describes a list of keys by their number and by how many of them `other` lacks, because a change
/// is shown and logged, and hashes of keys are not.
fn key_count(list: &Option<Json>, other: &Option<Json>, verb: &str) -> Option<Json> {
    let keys = |list: &Option<Json>| list.as_ref().and_then(Json::as_array).cloned();
    let (list, other) = (keys(list)?, keys(other).unwrap_or_default());
    let other: HashSet<&str> = other.iter().filter_map(Json::as_str).collect();
    let missing = list.iter().filter_map(Json::as_str).filter(|key| !other.contains(key)).count();
    Some(format!("{} keys, {missing} {verb}", list.len()).into())
}

fn to_json<T: Serialize>(row: &T) -> Json {
    serde_json::to_value(row).unwrap_or_default()
}

fn value_at(row: Option<&Json>, path: &str) -> Option<Json> {
    row?.pointer(&format!("/{}", path.replace('.', "/"))).cloned()
}
