use hyper::StatusCode;

use crate::{MAX_VALUE, PlatformError, messages::ErrorAnswer};

// Status codes of gRPC, which the gateway passes on.
const CODE_INVALID_ARGUMENT: u32 = 3;
const CODE_NOT_FOUND: u32 = 5;
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
const CODE_OUT_OF_RANGE: u32 = 11;

/// Maps the gateway's answer to a failed call; `size` is that of the largest value sent.
///
/// Only the codes that rule out an effect become errors that say so. A server error, such as a
/// time-out inside the platform, may follow a write that took effect.
pub(crate) fn refusal(status: StatusCode, body: &[u8], size: usize) -> PlatformError {
    let answer: ErrorAnswer = serde_json::from_slice(body).unwrap_or_default();
    if let Some(error) = known(&answer, size) {
        return error;
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return PlatformError::Overloaded;
    }
    if status.is_server_error() {
        return PlatformError::Unanswered;
    }
    PlatformError::Protocol(format!("status {}: {}", status.as_u16(), answer.message))
}

/// Maps an error inside a stream.
pub(crate) fn stream_error(answer: &ErrorAnswer) -> PlatformError {
    known(answer, 0).unwrap_or(PlatformError::Unanswered)
}

fn known(answer: &ErrorAnswer, size: usize) -> Option<PlatformError> {
    let says = |text: &str| answer.message.contains(text);
    match answer.code {
        CODE_RESOURCE_EXHAUSTED => Some(PlatformError::Overloaded),
        CODE_OUT_OF_RANGE if says("compacted") => Some(PlatformError::Compacted),
        CODE_NOT_FOUND if says("lease not found") => Some(PlatformError::LeaseGone),
        CODE_INVALID_ARGUMENT if says("too large") => {
            Some(PlatformError::TooLarge { size, limit: MAX_VALUE })
        }
        _ => None,
    }
}
