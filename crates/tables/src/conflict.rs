use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    Change, Name, Route, TableName, Tables,
    change::row_changes,
    field::{Row, by_name},
};

/// A row in which two edits of the same base conflict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The table of the row.
    pub table: TableName,
    /// The name of the row.
    pub name: Name,
    /// The change that the first edit makes.
    pub mine: Change,
    /// The change that the second edit makes.
    pub theirs: Change,
}

/// The rows in which the edits from `base` to `mine` and from `base` to `theirs` conflict: both
/// edits change the row with different results, or one removes a pool that is referenced by a route
/// that the other adds or changes.
#[must_use]
pub fn conflicts(base: &Tables, mine: &Tables, theirs: &Tables) -> Vec<Conflict> {
    let mut list = table_conflicts(TableName::Routes, &base.routes, &mine.routes, &theirs.routes);
    list.extend(table_conflicts(TableName::Pools, &base.pools, &mine.pools, &theirs.pools));
    list.extend(table_conflicts(
        TableName::Workspaces,
        &base.workspaces,
        &mine.workspaces,
        &theirs.workspaces,
    ));
    for name in removed_references(base, mine, theirs) {
        let (mine, theirs) = (Change::Removed, Change::Referenced);
        list.push(Conflict { table: TableName::Pools, name, mine, theirs });
    }
    for name in removed_references(base, theirs, mine) {
        let (mine, theirs) = (Change::Referenced, Change::Removed);
        list.push(Conflict { table: TableName::Pools, name, mine, theirs });
    }
    list
}

fn table_conflicts<T: Row + PartialEq>(
    table: TableName,
    base: &[T],
    mine: &[T],
    theirs: &[T],
) -> Vec<Conflict> {
    let (my_rows, their_rows) = (by_name(mine), by_name(theirs));
    let their_changes = row_changes(base, theirs);
    row_changes(base, mine)
        .into_iter()
        .filter(|(name, _)| my_rows.get(name) != their_rows.get(name))
        .filter_map(|(name, mine)| {
            let theirs = *their_changes.get(name)?;
            Some(Conflict { table, name: name.clone(), mine, theirs })
        })
        .collect()
}

/// Pools that the edit from `base` to `removing` removes, and that are referenced by a route that the
/// edit from `base` to `editing` adds or changes.
fn removed_references(base: &Tables, removing: &Tables, editing: &Tables) -> BTreeSet<Name> {
    let removed: BTreeMap<&Name, Change> = row_changes(&base.pools, &removing.pools)
        .into_iter()
        .filter(|(_, change)| *change == Change::Removed)
        .collect();
    let edited = row_changes(&base.routes, &editing.routes);
    let is_affected =
        |route: &&Route| edited.contains_key(&route.name) && removed.contains_key(&route.pool);
    editing.routes.iter().filter(is_affected).map(|route| route.pool.clone()).collect()
}
