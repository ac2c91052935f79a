use serde::{Deserialize, Serialize};

use crate::{
    Millis, Name, UnknownFields,
    field::{Field, POOL_FIELDS, Row, Value},
};

/// The targets of one service and how requests are balanced over them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The name of the row, unique among pools.
    pub name: Name,
    /// The service that targets announce.
    pub service: Name,
    /// How a target is chosen.
    #[serde(default)]
    pub balance: Balance,
    /// Limits at each daemon.
    #[serde(default)]
    pub limits: Limits,
    /// Which targets are tried first; farther ones are chosen once nearer ones are full.
    #[serde(default)]
    pub prefer: Prefer,
    /// Time for requests in flight to finish when a target leaves.
    #[serde(default = "default_drain")]
    pub drain: Millis,
    /// Outlier ejection.
    #[serde(default)]
    pub ejection: Ejection,
    /// What the capacity of a target is taken to be. Omitted from the canonical text if fixed, so that
    /// the hash of tables without this field is unchanged.
    #[serde(default, skip_serializing_if = "Capacity::is_fixed")]
    pub capacity: Capacity,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

/// What the capacity of a target is taken to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Capacity {
    /// The slots that it announces, all of the same speed.
    #[default]
    Fixed,
    /// Its speed and useful concurrency, learned from its service times.
    Learned,
}

impl Capacity {
    /// Learned if this or `other` is.
    #[must_use]
    pub const fn or(self, other: Self) -> Self {
        match self {
            Self::Fixed => other,
            Self::Learned => Self::Learned,
        }
    }

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
    const fn is_fixed(&self) -> bool {
        matches!(self, Self::Fixed)
    }
}

/// How a target is chosen among those of the preferred distance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// The better of two random targets.
    #[default]
    TwoChoices,
    /// The targets in turn.
    RoundRobin,
}

/// Which targets are tried first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Prefer {
    /// Own failure domain, then own region, then any.
    #[default]
    Domain,
    /// Own region, then any.
    Region,
    /// Any target, near or far.
    Any,
}

/// Limits of a pool at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Requests in flight from one caller's daemon to the pool.
    pub in_flight: u32,
    /// Requests that wait for a slot at the daemon on the target's host.
    pub queue: u32,
    /// The longest wait for a slot.
    pub queue_wait: Millis,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 1024,
            queue: 32,
            queue_wait: Millis::new(100),
            unknown: UnknownFields::default(),
        }
    }
}

/// When a target that fails is ejected, so that it gets no requests for some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ejection {
    /// Consecutive failures after which a target is ejected.
    pub failures: u32,
    /// Percent of the pool that may be ejected at once, 1 to 33.
    pub share: u32,
    /// Time until an ejected target is on probation.
    pub time: Millis,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            failures: 5,
            share: 33,
            time: Millis::new(10_000),
            unknown: UnknownFields::default(),
        }
    }
}

impl Row for Pool {
    const FIELDS: &'static [Field] = POOL_FIELDS;

    fn name(&self) -> &Name {
        &self.name
    }

    fn values(&self) -> Vec<Value<'_>> {
        vec![
            Value::Text(&self.name),
            Value::Text(&self.service),
            Value::Choice,
            Value::Count(u64::from(self.limits.in_flight)),
            Value::Count(u64::from(self.limits.queue)),
            Value::Time(self.limits.queue_wait),
            Value::Choice,
            Value::Time(self.drain),
            Value::Count(u64::from(self.ejection.failures)),
            Value::Count(u64::from(self.ejection.share)),
            Value::Time(self.ejection.time),
            Value::Choice,
        ]
    }
}

const fn default_drain() -> Millis {
    Millis::new(30_000)
}
