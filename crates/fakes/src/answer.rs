use bytes::Bytes;
use thiserror::Error;

/// Why a body is not the complete answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The body belongs to another request, or does not come from a target.
    #[error("the body is not the answer to request {request:?}")]
    WrongRequest {
        /// The request that was made.
        request: String,
    },
    /// The body is truncated.
    #[error("the body has {found} of {wanted} bytes")]
    Truncated {
        /// Bytes received.
        found: usize,
        /// Bytes of the complete answer.
        wanted: usize,
    },
}

/// Builds a target's answer to a request: the first line holds the request id and the length, and
/// the rest repeats the id. An answer is at least as long as its first line.
#[must_use]
pub fn answer_body(request: &str, size: usize) -> Bytes {
    let head = format!("{request} {size}\n");
    let size = size.max(head.len());
    let mut body = Vec::with_capacity(size + head.len());
    body.extend_from_slice(head.as_bytes());
    while body.len() < size {
        body.extend_from_slice(request.as_bytes());
        body.push(b'\n');
    }
    body.truncate(size);
    body.into()
}

/// Checks that `body` is the complete answer to a request.
///
/// # Errors
/// The body belongs to another request or is too short.
pub fn check_answer(request: &str, body: &[u8]) -> Result<(), AnswerError> {
    let mixed = || AnswerError::WrongRequest { request: request.to_owned() };
    let rest = body.strip_prefix(request.as_bytes()).ok_or_else(mixed)?;
    let line = rest.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let size = std::str::from_utf8(line).ok().and_then(|line| line.strip_prefix(' '));
    let size: usize = size.and_then(|size| size.parse().ok()).ok_or_else(mixed)?;
    let wanted = answer_body(request, size);
    if body == wanted {
        Ok(())
    } else if wanted.starts_with(body) {
        Err(AnswerError::Truncated { found: body.len(), wanted: wanted.len() })
    } else {
        Err(mixed())
    }
}
