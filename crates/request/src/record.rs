use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Debug;
use dw_tables::Name;
use http::HeaderMap;

/// A complete response, kept for repeats.
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
    /// Bytes of headers and body.
    #[must_use]
    pub fn size(&self) -> usize {
        let heads = self.headers.iter().map(|(k, v)| k.as_str().len() + v.len());
        self.body.len() + heads.sum::<usize>()
    }
}

/// What is known of the request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It was forwarded and has not ended.
    InProgress,
    /// It ended with this response.
    Answered(Arc<StoredAnswer>),
    /// It ended with a response that was too large to keep.
    NotKept,
    /// It may have been run.
    Unknown,
}

/// A record as it passes from one keeper to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Name,
    /// The state.
    pub state: RecordState,
    /// Time since the key was first claimed.
    pub age: Duration,
}

/// How the request with a key ended.
#[derive(Clone, Debug)]
pub enum KeyOutcome {
    /// The complete response.
    Answered(StoredAnswer),
    /// It was run, but the complete response is not at hand because it exceeds the limit.
    NotKept,
    /// It is proven that it was not run; the key may be claimed again.
    NotRun,
    /// It may have been run.
    Unknown,
}
