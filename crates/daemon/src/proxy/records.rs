use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dw_request::{CedeReply, Record, RecordState, StoredAnswer};
use dw_tables::Name;
use http::{HeaderMap, HeaderName, HeaderValue};
use prost::Message;

/// One header of a stored response.
#[derive(Clone, PartialEq, Eq, Message)]
struct WireHeader {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

/// The record of a key, as sent between keepers.
#[derive(Clone, PartialEq, Eq, Message)]
struct WireRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(uint32, tag = "3")]
    state: u32,
    #[prost(uint32, tag = "4")]
    status: u32,
    #[prost(message, repeated, tag = "5")]
    headers: Vec<WireHeader>,
    #[prost(bytes = "bytes", tag = "6")]
    body: Bytes,
}

/// Records that are handed over together.
#[derive(Clone, PartialEq, Eq, Message)]
struct WireRecords {
    #[prost(message, repeated, tag = "1")]
    list: Vec<WireRecord>,
}

/// The reply of an earlier keeper.
#[derive(Clone, PartialEq, Eq, Message)]
struct WireReply {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, optional, tag = "2")]
    record: Option<WireRecord>,
    #[prost(string, tag = "3")]
    ask: String,
}

/// Encodes the reply of an earlier keeper.
pub(super) fn encode_reply(reply: &CedeReply) -> Vec<u8> {
    let wire = match reply {
        CedeReply::Free => WireReply { kind: 1, ..WireReply::default() },
        CedeReply::Record(record) => {
            WireReply { kind: 2, record: Some(pack(record)), ..WireReply::default() }
        }
        CedeReply::Lost => WireReply { kind: 3, ..WireReply::default() },
        CedeReply::Ask(host) => {
            WireReply { kind: 4, ask: host.to_string(), ..WireReply::default() }
        }
    };
    wire.encode_to_vec()
}

/// Decodes the reply of an earlier keeper; `None` if it is malformed.
pub(super) fn decode_reply(bytes: &[u8]) -> Option<CedeReply> {
    let wire = WireReply::decode(bytes).ok()?;
    match wire.kind {
        1 => Some(CedeReply::Free),
        2 => Some(CedeReply::Record(unpack(wire.record?)?)),
        3 => Some(CedeReply::Lost),
        4 => Some(CedeReply::Ask(Name::from(wire.ask))),
        _ => None,
    }
}

/// Encodes records for the daemon that takes them over.
pub(super) fn encode_list(records: &[Record]) -> Vec<u8> {
    WireRecords { list: records.iter().map(pack).collect() }.encode_to_vec()
}

/// Decodes records that are handed over; `None` if one of them is malformed.
pub(super) fn decode_list(bytes: &[u8]) -> Option<Vec<Record>> {
    WireRecords::decode(bytes).ok()?.list.into_iter().map(unpack).collect()
}

fn pack(record: &Record) -> WireRecord {
    let mut wire = WireRecord {
        key: record.key.to_string(),
        age_ms: u64::try_from(record.age.as_millis()).unwrap_or(u64::MAX),
        ..WireRecord::default()
    };
    match &record.state {
        RecordState::InProgress => wire.state = 1,
        RecordState::Answered(answer) => {
            wire.state = 2;
            wire.status = answer.status.into();
            wire.headers = answer.headers.iter().map(|(n, v)| pack_header(n, v)).collect();
            wire.body = answer.body.clone();
        }
        RecordState::NotKept => wire.state = 3,
        RecordState::Unknown => wire.state = 4,
    }
    wire
}

fn pack_header(name: &HeaderName, value: &HeaderValue) -> WireHeader {
    WireHeader { name: name.to_string(), value: value.as_bytes().to_vec() }
}

fn unpack(wire: WireRecord) -> Option<Record> {
    let state = match wire.state {
        1 => RecordState::InProgress,
        2 => {
            let mut headers = HeaderMap::new();
            for header in wire.headers {
                let name = HeaderName::try_from(header.name).ok()?;
                headers.append(name, HeaderValue::try_from(header.value).ok()?);
            }
            let status = u16::try_from(wire.status).ok()?;
            RecordState::Answered(Arc::new(StoredAnswer { status, headers, body: wire.body }))
        }
        3 => RecordState::NotKept,
        4 => RecordState::Unknown,
        _ => return None,
    };
    let age = Duration::from_millis(wire.age_ms);
    Some(Record { key: Name::from(wire.key), state, age })
}
