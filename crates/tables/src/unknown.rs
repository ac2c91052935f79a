use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{MapAccess, Visitor},
};
use serde_json::Value;

/// The fields of a row that a later release added. They have no effect, but are kept in their order, so
/// that the row has the hash that it had where it was written, and reaches other daemons whole.
///
/// They stand behind the known fields in the canonical text, as a release adds fields at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnknownFields(Box<[(Box<str>, Value)]>);

impl Serialize for UnknownFields {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(name, value)| (name, value)))
    }
}

impl<'de> Deserialize<'de> for UnknownFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldVisitor)
    }
}

struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = UnknownFields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("fields")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<UnknownFields, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(UnknownFields(fields.into()))
    }
}
