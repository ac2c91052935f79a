use hyper::StatusCode;

use crate::{MAX_VALUE_BYTES, PlatformError, messages::ErrorResponse};

// gRPC status codes, which the gateway passes on.
const CODE_INVALID_ARGUMENT: u32 = 3;
const CODE_NOT_FOUND: u32 = 5;
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
const CODE_OUT_OF_RANGE: u32 = 11;

/// Maps the gateway's response to a failed call; `size` is that of the largest value sent.
///
/// Only codes that rule out an effect map to errors that say so. A server error, such as a timeout
/// inside the platform, may follow a write that took effect.
pub(crate) fn call_error(status: StatusCode, body: &[u8], size: usize) -> PlatformError {
    let response: ErrorResponse = serde_json::from_slice(body).unwrap_or_default();
    if let Some(error) = error_from_code(&response, size) {
        return error;
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return PlatformError::Overloaded;
    }
    if status.is_server_error() {
        return PlatformError::Unanswered;
    }
    PlatformError::Protocol(format!("status {}: {}", status.as_u16(), response.message))
}

/// Maps an error inside a stream.
pub(crate) fn stream_error(response: &ErrorResponse) -> PlatformError {
    error_from_code(response, 0).unwrap_or(PlatformError::Unanswered)
}

fn error_from_code(response: &ErrorResponse, size: usize) -> Option<PlatformError> {
    let message_contains = |text: &str| response.message.contains(text);
    match response.code {
        CODE_RESOURCE_EXHAUSTED => Some(PlatformError::Overloaded),
        CODE_OUT_OF_RANGE if message_contains("compacted") => Some(PlatformError::Compacted),
        CODE_NOT_FOUND if message_contains("lease not found") => Some(PlatformError::LeaseGone),
        CODE_INVALID_ARGUMENT if message_contains("too large") => {
            Some(PlatformError::TooLarge { size, limit: MAX_VALUE_BYTES })
        }
        _ => None,
    }
}
