use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{StreamExt, stream};
use http::Version;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, BodyStream, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::meter::Meter;

/// Maximum size of an unused body that is read so that its connection can be reused. The body of a refusal is a short
/// note; a new connection costs less than reading a long one.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Timeout for reading an unused body. Until then it keeps one of the few connections that the target accepts.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of every request and response that passes through the proxy.
pub(crate) type Payload = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body didn't reach its end. It deliberately has no source: hyper would copy the reset reason
/// of an HTTP/2 source to the other connection, where `NO_ERROR` looks like a normal end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The sender stopped before the end.
    #[display("the body ended early")]
    Truncated,
    /// The deadline passed before the end.
    #[display("the deadline passed before the body ended")]
    Deadline,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// All of it was relayed.
    Complete,
    /// It failed before its end.
    Failed,
    /// The receiver dropped it.
    Dropped,
}

/// An empty body.
pub(crate) fn empty() -> Payload {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body from memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Payload {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that starts with the part already read, followed by the rest.
pub(crate) fn chain(read: Bytes, rest: Payload) -> Payload {
    let first = stream::iter([Ok::<_, BodyError>(Frame::data(read))]);
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}

/// Reads an unused body to its end and keeps none of it. A body that is too long, or doesn't end in time, is dropped,
/// which closes its connection.
pub(crate) async fn discard(mut body: Payload) {
    let read = async {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // A timeout has the same effect as a body that is too long.
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}

/// A body from the network whose end is verified.
///
/// hyper also reports the end of an HTTP/2 body after a reset with `NO_ERROR`; unless END_STREAM was
/// received, the body is truncated.
pub(crate) struct VerifiedBody {
    inner: Incoming,
    is_http2: bool,
    remaining: Option<u64>,
    done: bool,
    /// Reset by each part of the body.
    meter: Option<Meter>,
}

impl VerifiedBody {
    /// Verifies a body received over the given version of HTTP.
    pub(crate) fn new(inner: Incoming, version: Version) -> Self {
        let is_http2 = version == Version::HTTP_2;
        // HTTP/2 verifies the length itself, and a response to HEAD states one but has no body.
        let remaining = inner.size_hint().exact().filter(|_| !is_http2);
        Self { inner, is_http2, remaining, done: false, meter: None }
    }

    /// Resets the meter of the connection with each part of the body.
    pub(crate) fn with_meter(self, meter: Meter) -> Self {
        Self { meter: Some(meter), ..self }
    }

    fn check_end(&self) -> Result<(), BodyError> {
        let reset = self.is_http2 && !self.inner.is_end_stream();
        if reset || self.remaining.is_some_and(|remaining| remaining > 0) {
            return Err(BodyError::Truncated);
        }
        Ok(())
    }
}

impl Body for VerifiedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.done {
            return Poll::Ready(None);
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => {
                let size = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(size));
                self.meter.iter().for_each(Meter::reset);
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => {
                self.done = true;
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
            None => {
                self.done = true;
                Poll::Ready(self.check_end().err().map(Err))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.done || (self.inner.is_end_stream() && self.check_end().is_ok())
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_end_stream() { SizeHint::with_exact(0) } else { self.inner.size_hint() }
    }
}

type OnEnd = Box<dyn FnOnce(BodyEnd) + Send>;

/// A body that reports how it ended, once.
pub(crate) struct TrackedBody {
    inner: Payload,
    on_end: Option<OnEnd>,
}

impl TrackedBody {
    /// Tracks `inner`; `on_end` is called when it ends or is dropped.
    pub(crate) fn new(inner: Payload, on_end: impl FnOnce(BodyEnd) + Send + 'static) -> Self {
        let mut tracked = Self { inner, on_end: Some(Box::new(on_end)) };
        if tracked.inner.is_end_stream() {
            tracked.finish(BodyEnd::Complete);
        }
        tracked
    }

    fn finish(&mut self, ended: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ended);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let item = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &item {
            Some(Ok(_)) if self.inner.is_end_stream() => self.finish(BodyEnd::Complete),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.finish(BodyEnd::Failed),
            None => self.finish(BodyEnd::Complete),
        }
        Poll::Ready(item)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.finish(BodyEnd::Dropped);
    }
}
