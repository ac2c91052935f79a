use std::error::Error as _;

use derive_more::{Display, Error};
use http::Request;

use super::body::Payload;

/// Why a request sent over a connection received no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// Nothing of it was sent, or the peer refused its stream, so it wasn't run. The request is
    /// returned if it still exists.
    #[display("the request was not sent: {reason}")]
    NotSent {
        /// What prevented the send.
        reason: String,
        /// The unchanged request; `None` if the peer refused its stream.
        #[error(not(source))]
        request: Option<Box<Request<Payload>>>,
    },
    /// It was sent, at least in part, and the connection failed before the response.
    #[display("the connection failed before the response: {reason}")]
    Unknown {
        /// The error of the connection.
        reason: String,
        /// Whether the connection had stopped responding.
        unresponsive: bool,
    },
}

impl SendError {
    /// An error after part of the request may have been sent.
    pub(crate) fn unknown(error: &hyper::Error) -> Self {
        if is_refused(error) {
            return Self::NotSent { reason: error.to_string(), request: None };
        }
        Self::Unknown { reason: error.to_string(), unresponsive: error.is_timeout() }
    }

    /// An error before anything was sent.
    pub(crate) fn not_sent(reason: &impl ToString, request: Request<Payload>) -> Self {
        Self::NotSent { reason: reason.to_string(), request: Some(Box::new(request)) }
    }
}

/// Whether the peer states that it didn't process the stream: it reset the stream with
/// `REFUSED_STREAM`, or it shuts the connection down gracefully and the stream is not among those that
/// it still answers (RFC 9113, sections 6.8 and 8.7). A stream that it still answers ends with an I/O
/// error if its connection is lost.
fn is_refused(error: &hyper::Error) -> bool {
    let Some(error) = error.source().and_then(|source| source.downcast_ref::<h2::Error>()) else {
        return false;
    };
    let reason = error.reason();
    error.is_remote()
        && (error.is_reset() && reason == Some(h2::Reason::REFUSED_STREAM)
            || error.is_go_away() && reason == Some(h2::Reason::NO_ERROR))
}
