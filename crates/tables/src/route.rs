use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    Match, Millis, Name, Share, UnknownFields,
    field::{Field, ROUTE_FIELDS, Row, Value},
};

/// Sends the requests that match to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the row, unique among routes.
    pub name: Name,
    /// Which requests match the route.
    #[serde(rename = "match")]
    pub matches: Match,
    /// The name of a row in the table of pools.
    pub pool: Name,
    /// Pools among which the requests are split instead of going to `pool`; empty for no split.
    #[serde(default)]
    pub split: Vec<Share>,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub repeat: Repeat,
    /// The longest time from the arrival at the first daemon to the end of the response.
    #[serde(default = "default_deadline")]
    pub deadline: Millis,
    /// The maximum number of attempts after the first.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Priority of the requests while slots are scarce; 0 is served first.
    #[serde(default)]
    pub priority: u32,
    /// Response time objective: an answer within it is worth most to the caller.
    #[serde(default = "default_objective")]
    pub objective: Millis,
    /// Whether requests need no key. Omitted from the canonical text if false, so that the text of
    /// tables without workspaces is the same as before the field existed.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
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
    /// It may run at most once. This is the default, because a request wrongly declared idempotent
    /// could, for example, book a credit twice.
    #[default]
    #[display("once")]
    Once,
}

impl Row for Route {
    const FIELDS: &'static [Field] = ROUTE_FIELDS;

    fn name(&self) -> &Name {
        &self.name
    }

    fn values(&self) -> Vec<Value<'_>> {
        vec![
            Value::Text(&self.name),
            Value::Text(&self.matches.path),
            Value::Text(&self.matches.host),
            Value::List(&self.matches.methods),
            Value::Text(&self.pool),
            Value::Shares(&self.split),
            Value::Choice,
            Value::Time(self.deadline),
            Value::Count(u64::from(self.retries)),
            Value::Count(u64::from(self.priority)),
            Value::Time(self.objective),
            Value::Flag,
        ]
    }
}

const fn default_deadline() -> Millis {
    Millis::new(2000)
}

const fn default_objective() -> Millis {
    Millis::new(1000)
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_false(value: &bool) -> bool {
    !*value
}

const fn default_retries() -> u32 {
    1
}
