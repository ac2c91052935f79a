use std::time::SystemTime;

use dw_log::{Field, Kind};
use serde_json::{Map, Value as Json};

/// Fields that are shown in a place of their own.
const SHOWN: [Field; 5] = [Field::Time, Field::Level, Field::Host, Field::Event, Field::Request];

/// One line of a log in JSON.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) time: SystemTime,
    pub(super) host: String,
    /// `None` for an event that this release does not know.
    pub(super) kind: Option<Kind>,
    fields: Map<String, Json>,
}

impl Line {
    /// Reads a line; a collector may have put text before the object. `None` if it is no event.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Json> = serde_json::from_str(object.trim_end()).ok()?;
        let word = |field: Field| fields.get(field.as_str())?.as_str();
        let time = humantime::parse_rfc3339(word(Field::Time)?).ok()?;
        let kind = Kind::from_name(word(Field::Event)?);
        let host = word(Field::Host)?.to_owned();
        Some(Self { time, host, kind, fields })
    }

    /// The text of a field; empty if it is missing.
    pub(super) fn text(&self, field: Field) -> &str {
        self.fields.get(field.as_str()).and_then(Json::as_str).unwrap_or_default()
    }

    /// The number in a field.
    pub(super) fn number(&self, field: Field) -> Option<u64> {
        self.fields.get(field.as_str())?.as_u64()
    }

    /// Whether a field is set to true.
    pub(super) fn flag(&self, field: Field) -> bool {
        self.fields.get(field.as_str()).and_then(Json::as_bool).unwrap_or_default()
    }

    /// The line with its time since `start` in ms.
    pub(super) fn show(&self, start: SystemTime) -> String {
        let since = match self.time.duration_since(start) {
            Ok(since) => format!("+{} ms", since.as_millis()),
            Err(before) => format!("-{} ms", before.duration().as_millis()),
        };
        let mut text = format!("  {since:>9}  {}  {}", self.host, self.text(Field::Event));
        for (name, value) in &self.fields {
            if !SHOWN.iter().any(|field| field.as_str() == name) {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }

    pub(super) fn json(&self) -> Json {
        Json::Object(self.fields.clone())
    }
}
