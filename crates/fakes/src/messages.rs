use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, de::Error};

/// Bytes encoded as base64.
#[derive(Clone, Debug, Default)]
pub(crate) struct Base64(pub(crate) Vec<u8>);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        BASE64_STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// A 64-bit integer, as a JSON string or number.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Int(pub(crate) i64);

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

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RangeRequest {
    pub(crate) key: Base64,
    pub(crate) range_end: Base64,
    pub(crate) serializable: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PutRequest {
    pub(crate) key: Base64,
    pub(crate) value: Base64,
    pub(crate) lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct DeleteRequest {
    pub(crate) key: Base64,
    pub(crate) range_end: Base64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRequest),
}

/// A comparison of `mod_revision` for equality, the only kind that is used.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Compare {
    pub(crate) key: Base64,
    pub(crate) target: CompareTarget,
    #[serde(default)]
    pub(crate) result: CompareResult,
    #[serde(default)]
    pub(crate) mod_revision: Int,
}

#[derive(Debug, Deserialize)]
pub(crate) enum CompareTarget {
    #[serde(rename = "MOD")]
    Mod,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) enum CompareResult {
    #[default]
    #[serde(rename = "EQUAL")]
    Equal,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
    #[serde(rename = "ID")]
    pub(crate) id: Int,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct WatchCreate {
    pub(crate) key: Base64,
    pub(crate) range_end: Base64,
    pub(crate) start_revision: Int,
    pub(crate) progress_notify: bool,
}
