use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Debug;
use dw_tables::Name;
use http::HeaderMap;

/// A complete response, stored for repeats of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

impl StoredAnswer {
    /// Size of headers and body in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let header_sizes = self.headers.iter().map(|(k, v)| k.as_str().len() + v.len());
        self.body.len() + header_sizes.sum::<usize>()
    }
}

/// What is known about the request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It was forwarded and has not ended.
    InProgress,
    /// It ended with this response.
    Answered(Arc<StoredAnswer>),
    /// It ended with a response that was too large to store.
    NotKept,
    /// It may have been run.
    Unknown,
}

/// A record as it is transferred from one keeper to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The idempotency key.
    pub key: Name,
    /// What is known about its request.
    pub state: RecordState,
    /// Time since the key was first claimed.
    pub age: Duration,
}

/// How the request with a key ended.
#[derive(Clone, Debug)]
pub enum KeyOutcome {
    /// The complete response.
    Answered(StoredAnswer),
    /// It was run, but the response exceeds the limit and was not collected.
    NotKept,
    /// It is proven that it was not run; the key may be claimed again.
    NotRun,
    /// It may have been run.
    Unknown,
}
