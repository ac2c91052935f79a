use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Millis, Name};

/// Sends the requests that match to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name of the row, unique among routes.
    pub name: Name,
    /// Which requests the route takes.
    #[serde(rename = "match")]
    pub matches: Match,
    /// The name of a row in the table of pools.
    pub pool: Name,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub repeat: Repeat,
    /// Time from arrival at the first daemon to the whole answer.
    #[serde(default = "default_deadline")]
    pub deadline: Millis,
    /// Attempts after the first, at the most.
    #[serde(default = "default_retries")]
    pub retries: u32,
}

/// Conditions on a request; all of them must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Match {
    /// The host of the request in lower case; empty takes any host.
    pub host: Name,
    /// A prefix of the path that ends at a segment; `/` takes any path.
    pub path: Name,
    /// Methods in upper case; empty takes any method.
    pub methods: Vec<Name>,
}

/// Whether a request may run more than once.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running it again changes nothing.
    #[display("idempotent")]
    Idempotent,
    /// It may run at most once. The default, because a wrong `idempotent` doubles a credit.
    #[default]
    #[display("once")]
    Once,
}

const fn default_deadline() -> Millis {
    Millis::new(2000)
}

const fn default_retries() -> u32 {
    1
}
