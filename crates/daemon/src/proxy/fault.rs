use derive_more::{Display, Error};
use http::Request;

use super::body::Payload;

/// Why a request sent over a connection has no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendFault {
    /// Nothing of it was sent, so it was not run; the request is returned where it still exists.
    #[display("the request was not sent: {reason}")]
    NotSent {
        /// What prevented it.
        reason: String,
        /// The request as it was.
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
        Self::Unknown { reason: error.to_string(), unresponsive: error.is_timeout() }
    }

    /// A fault before anything was sent.
    pub(crate) fn not_sent(reason: &impl ToString, request: Request<Payload>) -> Self {
        Self::NotSent { reason: reason.to_string(), request: Some(Box::new(request)) }
    }
}
