use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::PlatformError;

/// Reads the whole body of a response.
///
/// There is no limit for the whole read, since the time that a body takes depends on its size and on
/// the link of the host; only a pause in which nothing arrives indicates a lost connection.
///
/// # Errors
/// `Unanswered` if the body is truncated, pauses for longer than `pause`, or exceeds `limit` bytes.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    pause: Duration,
) -> Result<Bytes, PlatformError> {
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(pause, body.frame()).await.map_err(|_| PlatformError::Unanswered)?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|_| PlatformError::Unanswered)?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
}
