use serde::{Deserialize, Serialize};

use crate::{
    KeyHash, Name, RequestRate, UnknownFields,
    field::{Field, Row, Value, WORKSPACE_FIELDS},
};

/// A tenant of the mesh: the keys that its callers present, the priority of its requests, and its
/// quota over all daemons together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name of the row, unique among workspaces. Targets receive it with each request, unless there is a label.
    pub name: Name,
    /// The hashes of the keys that are valid; without any, the workspace cannot send requests that
    /// need a key.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
    /// Replaces the priority of the route.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests per second over all daemons together; 0 means no limit.
    #[serde(default)]
    pub rate: RequestRate,
    /// Requests that may exceed the rate at once; 0 means one.
    #[serde(default)]
    pub burst: u32,
    /// The name that targets receive in place of `name`, where the system that the workspace comes from has another one.
    /// No field of the operators' files, and omitted if there is none, so that the hash of tables without it is unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Workspace {
    /// A workspace without keys, priority and limits.
    #[must_use]
    pub fn new(name: Name) -> Self {
        Self {
            name,
            keys: Vec::new(),
            priority: None,
            rate: RequestRate::default(),
            burst: 0,
            label: None,
            unknown: UnknownFields::default(),
        }
    }
}

impl Row for Workspace {
    const FIELDS: &'static [Field] = WORKSPACE_FIELDS;

    fn name(&self) -> &Name {
        &self.name
    }

    fn values(&self) -> Vec<Value<'_>> {
        vec![
            Value::Text(&self.name),
            Value::Keys(&self.keys),
            Value::Rank(self.priority),
            Value::Rate,
            Value::Count(u64::from(self.burst)),
        ]
    }
}
