use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use super::body::{BodyError, Payload};

/// A body that is dropped at its deadline even if the receiver has stopped reading.
///
/// hyper doesn't poll a body while the receiver accepts no data, so a timer inside the body would
/// never fire, and a caller that stops reading would hold a slot of the target forever.
pub(crate) struct DeadlineBody {
    shared: Arc<Shared>,
    _timer: AbortOnDropHandle<()>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    body: Option<Payload>,
    waker: Option<Waker>,
}

impl DeadlineBody {
    /// Wraps `body`, unless it has already ended.
    pub(crate) fn wrap(body: Payload, deadline: Instant) -> Payload {
        if body.is_end_stream() {
            return body;
        }
        let shared = Arc::new(Shared::default());
        shared.lock().body = Some(body);
        let timed = shared.clone();
        // Not spawned on the daemon's `Tasks`: the timer ends with the body, and each response would
        // otherwise take the lock of the shared cancellation token.
        let timer = tokio::spawn(async move {
            sleep_until(deadline).await;
            timed.expire();
        });
        Self { shared, _timer: AbortOnDropHandle::new(timer) }.boxed_unsync()
    }
}

impl Shared {
    fn expire(&self) {
        let mut state = self.lock();
        let (body, waker) = (state.body.take(), state.waker.take());
        drop(state);
        drop(body);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.shared.lock();
        let Some(body) = &mut state.body else {
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        };
        let polled = Pin::new(body).poll_frame(cx);
        if polled.is_pending() {
            state.waker = Some(cx.waker().clone());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.shared.lock().body.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.lock().body.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}
