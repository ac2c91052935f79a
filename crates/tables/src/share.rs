use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Name;

/// The share of a pool in the split of a route, written as `pool=weight`.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{pool}={weight}")]
#[serde(try_from = "String", into = "String")]
pub struct Share {
    /// The name of a row in the table of pools.
    pub pool: Name,
    /// The weight of the pool, at least 1. Requests are split in proportion to the weights.
    pub weight: u32,
}

/// The text is not a pool and a weight of at least 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is not a pool and a weight, such as \"ledger=90\"")]
pub struct ParseShareError(String);

impl FromStr for Share {
    type Err = ParseShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseShareError(text.to_owned());
        let (pool, weight) = text.split_once('=').ok_or_else(error)?;
        let weight = weight.parse().ok().filter(|weight| *weight > 0).ok_or_else(error)?;
        if pool.is_empty() {
            return Err(error());
        }
        Ok(Self { pool: pool.into(), weight })
    }
}

impl TryFrom<String> for Share {
    type Error = ParseShareError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Share> for String {
    fn from(share: Share) -> Self {
        share.to_string()
    }
}
