use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::{
    LeaseId, PlatformError, Txn,
    messages::{
        Base64, Compare, Int, LeaseRequest, PutRequest, RangeRequest, RequestOp, TxnRequest,
        WatchCreate, WatchRequest,
    },
};

pub(crate) fn encode(request: &impl Serialize) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(request).map(Bytes::from).map_err(|error| protocol_error(&error))
}

pub(crate) fn protocol_error(error: &serde_json::Error) -> PlatformError {
    PlatformError::Protocol(error.to_string())
}

pub(crate) fn lease_request(lease: LeaseId) -> LeaseRequest {
    LeaseRequest { id: Int(lease.0), ..LeaseRequest::default() }
}

pub(crate) fn txn_request(txn: Txn) -> TxnRequest {
    let compare = txn.guards.iter().map(|guard| Compare {
        key: guard.key.as_str().into(),
        target: "MOD",
        result: "EQUAL",
        mod_revision: guard.revision.into(),
    });
    let puts = txn.puts.into_iter().map(|put| {
        RequestOp::Put(PutRequest {
            key: put.key.as_str().into(),
            value: Base64(put.value),
            lease: Int(put.lease.map_or(0, |lease| lease.0)),
        })
    });
    let deletes = txn.deletes.iter().map(|key| RequestOp::Delete(RangeRequest::key(key)));
    TxnRequest {
        compare: compare.collect(),
        success: puts.chain(deletes).collect(),
        failure: txn.guards.iter().map(|g| RequestOp::Range(RangeRequest::key(&g.key))).collect(),
    }
}

/// Rounds `ttl` up to whole seconds, the unit of etcd's leases.
pub(crate) fn grant_request(ttl: Duration) -> LeaseRequest {
    let seconds = u64::try_from(ttl.as_millis().div_ceil(1000)).unwrap_or(u64::MAX);
    LeaseRequest { ttl: seconds.max(1).into(), ..LeaseRequest::default() }
}

pub(crate) fn watch_request(range: RangeRequest, from: u64) -> WatchRequest {
    let RangeRequest { key, range_end } = range;
    let start_revision = from.into();
    let create_request = WatchCreate { key, range_end, start_revision, progress_notify: true };
    WatchRequest { create_request }
}
