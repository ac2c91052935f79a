use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dw_wire::{Frame, FrameBody};
use prost::Message;
use tokio::sync::Notify;

/// Maximum number of frames that wait for one peer. Further ones are dropped, and anti-entropy makes
/// up for what a slow peer missed.
const MAX_FRAMES: usize = 256;

/// Maximum number of bytes that wait for one peer: two frames of the largest size.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix of each frame on a connection.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A queued frame, with the values that the queue and the counters need.
#[derive(Clone, Debug)]
pub(crate) struct QueuedFrame {
    /// The frame.
    pub(crate) frame: Frame,
    /// The kind of message, for the counters.
    pub(crate) kind: &'static str,
    /// The frame's size on the connection in bytes.
    pub(crate) size: usize,
    /// Set for messages that announce or carry a version. A newer version replaces a queued one of
    /// the same kind.
    version: Option<u64>,
}

impl From<Frame> for QueuedFrame {
    fn from(frame: Frame) -> Self {
        let size = size_of(&frame);
        let version = frame.body.as_ref().and_then(version_of);
        Self { kind: kind_of(&frame), size, version, frame }
    }
}

/// The size of a frame on a connection in bytes, including its length prefix.
pub(crate) fn size_of(frame: &Frame) -> usize {
    frame.encoded_len() + LENGTH_PREFIX_BYTES
}

fn version_of(body: &FrameBody) -> Option<u64> {
    let version_id = match body {
        FrameBody::Offer(offer) => offer.version_id.as_ref(),
        FrameBody::Delta(delta) => delta.version_id.as_ref(),
        FrameBody::Snapshot(snapshot) => snapshot.version_id.as_ref(),
        _ => None,
    };
    version_id.map(|version_id| version_id.number)
}

/// The kind of a frame, as the counters name it.
pub(crate) const fn kind_of(frame: &Frame) -> &'static str {
    match &frame.body {
        Some(FrameBody::Hello(_)) => "hello",
        Some(FrameBody::Join(_)) => "join",
        Some(FrameBody::JoinReply(_)) => "join-reply",
        Some(FrameBody::Offer(_)) => "offer",
        Some(FrameBody::Pull(_)) => "pull",
        Some(FrameBody::Delta(_)) => "delta",
        Some(FrameBody::Snapshot(_)) => "snapshot",
        Some(FrameBody::Applied(_)) => "applied",
        Some(FrameBody::Broadcast(_)) => "broadcast",
        Some(FrameBody::Summary(_)) => "summary",
        Some(FrameBody::SyncMembers(_)) => "sync-members",
        Some(FrameBody::SyncReply(_)) => "sync-reply",
        Some(FrameBody::StatusPull(_)) => "status-pull",
        Some(FrameBody::StatusReply(_)) => "status-reply",
        Some(FrameBody::Busy(_)) | None => "busy",
    }
}

/// A bounded queue of frames for one peer.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    // A mutex and not a channel, because a newer version replaces a frame that is already queued.
    queue: Mutex<Queue>,
    ready: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    closed: bool,
}

impl Outbox {
    /// Adds a frame; returns `false` if it was dropped because the queue is full or closed.
    pub(crate) fn push(&self, queued: QueuedFrame) -> bool {
        let mut queue = self.lock();
        if queue.closed {
            return false;
        }
        queue.remove_older_versions(&queued);
        if queue.frames.len() >= MAX_FRAMES || queue.bytes + queued.size > MAX_BYTES {
            return false;
        }
        queue.bytes += queued.size;
        queue.frames.push_back(queued);
        drop(queue);
        self.ready.notify_one();
        true
    }

    /// Waits for the next frame; returns `None` once the queue is closed and empty.
    pub(crate) async fn pop(&self) -> Option<QueuedFrame> {
        loop {
            let ready = self.ready.notified();
            {
                let mut queue = self.lock();
                if let Some(queued) = queue.frames.pop_front() {
                    queue.bytes -= queued.size;
                    return Some(queued);
                }
                if queue.closed {
                    return None;
                }
            }
            ready.await;
        }
    }

    /// Closes the queue to further frames and returns how many were still queued. `discard` drops
    /// those.
    pub(crate) fn close(&self, discard: bool) -> usize {
        let mut queue = self.lock();
        queue.closed = true;
        let count = queue.frames.len();
        if discard {
            queue.frames.clear();
            queue.bytes = 0;
        }
        drop(queue);
        self.ready.notify_one();
        count
    }

    /// Closes the queue if it is empty, and returns whether it is closed.
    pub(crate) fn close_empty(&self) -> bool {
        let mut queue = self.lock();
        queue.closed |= queue.frames.is_empty();
        queue.closed
    }

    /// Whether the queue is closed to further frames.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    fn remove_older_versions(&mut self, queued: &QueuedFrame) {
        let Some(new) = queued.version else { return };
        let mut freed_bytes = 0;
        self.frames.retain(|old| {
            let older = old.kind == queued.kind && old.version.is_some_and(|v| v < new);
            freed_bytes += if older { old.size } else { 0 };
            !older
        });
        self.bytes -= freed_bytes;
    }
}
