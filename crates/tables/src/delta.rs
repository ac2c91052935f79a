use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Name, Pool, Route, Tables, Version, VersionMark};

/// The rows in which one version differs from an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delta {
    /// The version that the delta applies to.
    pub base: VersionMark,
    /// The version that results.
    pub target: VersionMark,
    /// Routes added or changed.
    pub routes: Vec<Route>,
    /// Pools added or changed.
    pub pools: Vec<Pool>,
    /// Names of routes removed.
    pub gone_routes: Vec<Name>,
    /// Names of pools removed.
    pub gone_pools: Vec<Name>,
}

/// Why a delta was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta starts from another version.
    #[error("delta applies to version {wanted}, not to version {held}")]
    Base {
        /// The base of the delta.
        wanted: u64,
        /// The version held.
        held: u64,
    },
    /// The rows that result do not have the announced hash.
    #[error("rows of version {number} do not match its hash")]
    Hash {
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
            base: old.mark(),
            target: new.mark(),
            routes: b.routes.iter().filter(|r| !a.routes.contains(r)).cloned().collect(),
            pools: b.pools.iter().filter(|p| !a.pools.contains(p)).cloned().collect(),
            gone_routes: gone(a.routes.iter().map(|r| &r.name), |n| {
                b.routes.iter().any(|r| r.name == *n)
            }),
            gone_pools: gone(a.pools.iter().map(|p| &p.name), |n| {
                b.pools.iter().any(|p| p.name == *n)
            }),
        }
    }

    /// The version that results from applying the delta to `old`.
    ///
    /// # Errors
    /// The delta has another base, or the result does not match the announced hash.
    pub fn apply(&self, old: &Version) -> Result<Version, DeltaError> {
        if self.base != old.mark() {
            return Err(DeltaError::Base { wanted: self.base.number, held: old.number });
        }
        let Tables { mut routes, mut pools } = old.tables.clone();
        routes.retain(|r| {
            !self.gone_routes.contains(&r.name) && self.routes.iter().all(|n| n.name != r.name)
        });
        pools.retain(|p| {
            !self.gone_pools.contains(&p.name) && self.pools.iter().all(|n| n.name != p.name)
        });
        routes.extend(self.routes.iter().cloned());
        pools.extend(self.pools.iter().cloned());
        let new = Version::new(self.target.number, Tables { routes, pools });
        if new.mark() != self.target {
            return Err(DeltaError::Hash { number: self.target.number });
        }
        Ok(new)
    }
}

fn gone<'a>(old: impl Iterator<Item = &'a Name>, kept: impl Fn(&Name) -> bool) -> Vec<Name> {
    old.filter(|name| !kept(name)).cloned().collect()
}
