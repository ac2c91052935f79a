use std::error::Error as _;

use derive_more::{Display, Error};
use http::Request;

use super::body::Payload;

/// Why a request sent over a connection has no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendFault {
    /// Nothing of it was sent, or the peer refused its stream, so it was not run; the request is
    /// returned where it still exists.
    #[display("the request was not sent: {reason}")]
    NotSent {
        /// What prevented it.
        reason: String,
        /// The request as it was; `None` if the peer refused its stream.
        #[error(not(source))]
        request: Option<Box<Request<Payload>>>,
    },
    /// It was sent, at least in part, and the connection failed before the response.
    #[display("the connection failed before the response: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
        /// Whether the connection had stopped responding.
        unresponsive: bool,
    },
}

impl SendFault {
    /// A fault after something may have been sent.
    pub(crate) fn unknown(error: &hyper::Error) -> Self {
        if is_refused(error) {
            return Self::NotSent { reason: error.to_string(), request: None };
        }
        Self::Unknown { reason: error.to_string(), unresponsive: error.is_timeout() }
    }

    /// A fault before anything was sent.
    pub(crate) fn not_sent(reason: &impl ToString, request: Request<Payload>) -> Self {
        Self::NotSent { reason: reason.to_string(), request: Some(Box::new(request)) }
    }
}

/// Whether the peer says that it did not process the stream: it reset it as refused, or it closes
/// the connection in order and the stream is not among those that it still answers (RFC 9113,
/// sections 6.8 and 8.7). Streams that are, and lose their connection, end with an I/O error.
fn is_refused(error: &hyper::Error) -> bool {
    let Some(error) = error.source().and_then(|source| source.downcast_ref::<h2::Error>()) else {
        return false;
    };
    let reason = error.reason();
    error.is_remote()
        && (error.is_reset() && reason == Some(h2::Reason::REFUSED_STREAM)
            || error.is_go_away() && reason == Some(h2::Reason::NO_ERROR))
}
