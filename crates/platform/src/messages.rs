use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::{Entry, Event, LeaseId, PlatformError};

/// Bytes that are encoded as base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub(crate) Bytes);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Base64 {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn into_string(self) -> Result<String, PlatformError> {
        String::from_utf8(self.0.into())
            .map_err(|_| PlatformError::Protocol("a key is not UTF-8".to_owned()))
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let bytes = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit integer, written as a JSON string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) i64);

impl Int {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }

    /// The value as a revision; revisions are never negative.
    pub(crate) fn revision(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

impl From<u64> for Int {
    fn from(revision: u64) -> Self {
        Self(i64::try_from(revision).unwrap_or(i64::MAX))
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
        }
        match Either::deserialize(from)? {
            Either::Number(number) => Ok(Self(number)),
            Either::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Base64,
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub(crate) range_end: Base64,
}

impl RangeRequest {
    pub(crate) fn key(key: &str) -> Self {
        Self { key: key.into(), range_end: Base64::default() }
    }

    /// All keys that start with `prefix`.
    pub(crate) fn prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                break;
            }
        }
        if end.is_empty() {
            // For the gateway, a range end of one zero byte means all keys from `key` on.
            end.push(0);
        }
        let key = if prefix.is_empty() { "\0".into() } else { prefix.into() };
        Self { key, range_end: Base64(end.into()) }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Base64,
    pub(crate) value: Base64,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub(crate) lease: Int,
}

#[derive(Debug, Serialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: Base64,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub(crate) ttl: Int,
    #[serde(rename = "ID", skip_serializing_if = "Int::is_zero")]
    pub(crate) id: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Base64,
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub(crate) range_end: Base64,
    pub(crate) start_revision: Int,
    pub(crate) progress_notify: bool,
}

// The gateway omits fields that have their default value.

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    key: Base64,
    value: Base64,
    pub(crate) mod_revision: Int,
    lease: Int,
}

impl KeyValue {
    pub(crate) fn into_entry(self) -> Result<Entry, PlatformError> {
        Ok(Entry {
            key: self.key.into_string()?,
            value: self.value.0,
            revision: self.mod_revision.revision(),
            lease: (self.lease.0 != 0).then_some(LeaseId(self.lease.0)),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub(crate) fn into_entries(self) -> Result<Vec<Entry>, PlatformError> {
        self.kvs.into_iter().map(KeyValue::into_entry).collect()
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseOp {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

/// One line of a streamed response.
#[derive(Debug, Deserialize)]
pub(crate) enum Streamed<T> {
    #[serde(rename = "result")]
    Result(T),
    #[serde(rename = "error")]
    Error(ErrorResponse),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) created: bool,
    pub(crate) canceled: bool,
    pub(crate) compact_revision: Int,
    pub(crate) cancel_reason: String,
    pub(crate) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    kind: EventKind,
    pub(crate) kv: KeyValue,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl WatchEvent {
    pub(crate) fn into_event(self) -> Result<Event, PlatformError> {
        match self.kind {
            EventKind::Put => Ok(Event::Put(self.kv.into_entry()?)),
            EventKind::Delete => {
                let revision = self.kv.mod_revision.revision();
                Ok(Event::Delete { key: self.kv.key.into_string()?, revision })
            }
        }
    }
}

/// The error of a failed call. The field of its code is `grpc_code` in streams, `code` elsewhere.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ErrorResponse {
    #[serde(alias = "grpc_code")]
    pub(crate) code: u32,
    pub(crate) message: String,
}
