use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    gateway::{event, header},
    server::{Body, ConnectionAborted, Gate},
    standin::Shared,
    store::{Change, Span, StoreError},
};

/// An open watch, which is dropped when the client closes the connection.
struct WatchStream {
    shared: Arc<Shared>,
    span: Span,
    next: i64,
    revision: watch::Receiver<i64>,
    gate: Gate,
    created: bool,
    ended: bool,
}

impl Drop for WatchStream {
    fn drop(&mut self) {
        self.shared.lock().counts.waiting -= 1;
    }
}

/// Answers a watch call with a stream of JSON lines.
pub(crate) fn open(shared: Arc<Shared>, span: Span, from: i64, gate: Gate) -> Response<Body> {
    shared.lock().counts.waiting += 1;
    let revision = shared.revision.subscribe();
    let open_watch =
        WatchStream { shared, span, next: from, revision, gate, created: false, ended: false };
    let lines = stream::unfold(open_watch, |mut open_watch| async move {
        let line = open_watch.line().await?;
        Some((Ok::<_, ConnectionAborted>(Frame::data(line)), open_watch))
    });
    Response::new(StreamBody::new(lines).boxed_unsync())
}

impl WatchStream {
    async fn line(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let mut result = self.result().await;
        self.gate.pass().await;
        result["watch_id"] = "0".into();
        let line = Bytes::from(format!("{}\n", json!({"result": result})));
        self.shared.lock().counts.bytes_out += line.len() as u64;
        Some(line)
    }

    async fn result(&mut self) -> Value {
        let progress = self.shared.lock().progress;
        self.revision.mark_unchanged();
        if !self.created {
            self.created = true;
            return json!({"header": header(self.store_revision()), "created": true});
        }
        let progress_due = tokio::time::sleep(progress);
        tokio::pin!(progress_due);
        loop {
            self.revision.mark_unchanged();
            match self.changes() {
                Ok(changes) if changes.is_empty() => {}
                Ok(changes) => {
                    let events: Vec<_> = changes.iter().map(event).collect();
                    return json!({"header": header(self.store_revision()), "events": events});
                }
                Err(error) => return self.cancel(&error),
            }
            tokio::select! {
                () = &mut progress_due => return json!({"header": header(self.store_revision())}),
                Ok(()) = self.revision.changed() => {}
            }
        }
    }

    fn store_revision(&self) -> i64 {
        self.shared.lock().store.revision
    }

    fn changes(&mut self) -> Result<Vec<Change>, StoreError> {
        let state = self.shared.lock();
        let changes = state.store.changes(&self.span, self.next)?;
        self.next = self.next.max(state.store.revision + 1);
        Ok(changes)
    }

    fn cancel(&mut self, error: &StoreError) -> Value {
        self.ended = true;
        let mut result = json!({
            "header": header(self.store_revision()),
            "canceled": true,
            "cancel_reason": error.to_string(),
        });
        if let StoreError::Compacted(revision) = error {
            result["compact_revision"] = revision.to_string().into();
        }
        result
    }
}
