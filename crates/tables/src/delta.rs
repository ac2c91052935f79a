use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Name, Pool, Route, Tables, Version, VersionId, Workspace,
    field::{Row, by_name},
};

/// The rows in which one version differs from an earlier one. Where they differ in tables of a later release, the delta
/// leads to another hash, and all rows are needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delta {
    /// The version to which the delta applies.
    pub base: VersionId,
    /// The version that results.
    pub target: VersionId,
    /// Routes added or changed.
    pub routes: Vec<Route>,
    /// Pools added or changed.
    pub pools: Vec<Pool>,
    /// Names of routes removed.
    pub gone_routes: Vec<Name>,
    /// Names of pools removed.
    pub gone_pools: Vec<Name>,
    /// Workspaces added or changed; omitted if there are none, like the names of those removed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
    /// Names of workspaces removed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone_workspaces: Vec<Name>,
}

/// Why a delta was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta applies to another version.
    #[error("delta applies to version {wanted}, not to version {held}")]
    BaseMismatch {
        /// The base of the delta.
        wanted: u64,
        /// The version to which it was to be applied.
        held: u64,
    },
    /// The resulting rows do not have the announced hash.
    #[error("rows of version {number} do not match its hash")]
    HashMismatch {
        /// The version announced.
        number: u64,
    },
}

impl Delta {
    /// The rows that differ between `old` and `new`.
    #[must_use]
    pub fn between(old: &Version, new: &Version) -> Self {
        let (a, b) = (&old.tables, &new.tables);
        Self {
            base: old.id(),
            target: new.id(),
            routes: upserted(&a.routes, &b.routes),
            pools: upserted(&a.pools, &b.pools),
            gone_routes: removed(&a.routes, &b.routes),
            gone_pools: removed(&a.pools, &b.pools),
            workspaces: upserted(&a.workspaces, &b.workspaces),
            gone_workspaces: removed(&a.workspaces, &b.workspaces),
        }
    }

    /// The number of rows added, changed and removed.
    #[must_use]
    pub fn len(&self) -> usize {
        let upserted = self.routes.len() + self.pools.len() + self.workspaces.len();
        let removed = self.gone_routes.len() + self.gone_pools.len() + self.gone_workspaces.len();
        upserted + removed
    }

    /// Whether both versions have the same rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version that results from applying the delta to `old`.
    ///
    /// # Errors
    /// The delta has another base, or the result does not match the announced hash.
    pub fn apply(&self, old: &Version) -> Result<Version, DeltaError> {
        if self.base != old.id() {
            return Err(DeltaError::BaseMismatch { wanted: self.base.number, held: old.number });
        }
        let new = Version::new(self.target.number, self.apply_to(&old.tables));
        if new.id() != self.target {
            return Err(DeltaError::HashMismatch { number: self.target.number });
        }
        Ok(new)
    }

    /// The version that results from applying the delta to its base `old`, without computing the hash. It
    /// is for deltas that were computed by this process, which needs no check and saves most of the time.
    #[must_use]
    pub fn apply_trusted(&self, old: &Version) -> Version {
        let VersionId { number, hash } = self.target;
        Version { number, hash, tables: self.apply_to(&old.tables).sorted() }
    }

    fn apply_to(&self, old: &Tables) -> Tables {
        Tables {
            routes: apply_rows(&old.routes, &self.routes, &self.gone_routes),
            pools: apply_rows(&old.pools, &self.pools, &self.gone_pools),
            workspaces: apply_rows(&old.workspaces, &self.workspaces, &self.gone_workspaces),
            unknown: old.unknown.clone(),
        }
    }
}

fn upserted<T: Row + Clone + PartialEq>(old: &[T], new: &[T]) -> Vec<T> {
    let old = by_name(old);
    new.iter().filter(|row| old.get(row.name()) != Some(row)).cloned().collect()
}

fn removed<T: Row>(old: &[T], new: &[T]) -> Vec<Name> {
    let new = by_name(new);
    old.iter().map(Row::name).filter(|name| !new.contains_key(name)).cloned().collect()
}

fn apply_rows<T: Row + Clone>(old: &[T], upserts: &[T], removed: &[Name]) -> Vec<T> {
    let replaced: HashSet<&Name> = upserts.iter().map(Row::name).chain(removed).collect();
    let kept = old.iter().filter(|row| !replaced.contains(row.name()));
    kept.chain(upserts).cloned().collect()
}
