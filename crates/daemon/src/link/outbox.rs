use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dw_wire::{Frame, FrameBody};
use prost::Message;
use tokio::sync::Notify;

/// Frames that wait for one peer; a peer that is slower than this is served by anti-entropy.
const FRAMES: usize = 256;

/// Bytes that wait for one peer: two frames of the largest size.
const BYTES: usize = 8 * 1024 * 1024;

/// The length that precedes each frame on a connection, in bytes.
const LENGTH_BYTES: usize = 4;

/// A frame that waits, with what the queue and the counters need of it.
#[derive(Clone, Debug)]
pub(crate) struct Parcel {
    /// The frame.
    pub(crate) frame: Frame,
    /// The kind of message, for the counters.
    pub(crate) kind: &'static str,
    /// Bytes on the connection.
    pub(crate) size: usize,
    /// Set for messages that announce or carry a version; a newer one replaces a waiting one of
    /// the same kind.
    version: Option<u64>,
}

impl From<Frame> for Parcel {
    fn from(frame: Frame) -> Self {
        let size = size_of(&frame);
        let version = frame.body.as_ref().and_then(version_of);
        Self { kind: kind_of(&frame), size, version, frame }
    }
}

/// The bytes of a frame on a connection.
pub(crate) fn size_of(frame: &Frame) -> usize {
    frame.encoded_len() + LENGTH_BYTES
}

fn version_of(body: &FrameBody) -> Option<u64> {
    let mark = match body {
        FrameBody::Offer(offer) => offer.mark.as_ref(),
        FrameBody::Delta(delta) => delta.mark.as_ref(),
        FrameBody::Snapshot(snapshot) => snapshot.mark.as_ref(),
        _ => None,
    };
    mark.map(|mark| mark.number)
}

/// The kind of a frame, for the counters.
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
    // A lock and not a channel, because a newer version replaces a frame that already waits.
    queue: Mutex<Queue>,
    ready: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Parcel>,
    bytes: usize,
    closed: bool,
}

impl Outbox {
    /// Adds a frame; `false` if the queue is full or closed and the frame was dropped.
    pub(crate) fn push(&self, parcel: Parcel) -> bool {
        let mut queue = self.lock();
        if queue.closed {
            return false;
        }
        queue.supersede(&parcel);
        if queue.frames.len() >= FRAMES || queue.bytes + parcel.size > BYTES {
            return false;
        }
        queue.bytes += parcel.size;
        queue.frames.push_back(parcel);
        drop(queue);
        self.ready.notify_one();
        true
    }

    /// Waits for the next frame; `None` when the queue is closed and empty.
    pub(crate) async fn pop(&self) -> Option<Parcel> {
        loop {
            let ready = self.ready.notified();
            {
                let mut queue = self.lock();
                if let Some(parcel) = queue.frames.pop_front() {
                    queue.bytes -= parcel.size;
                    return Some(parcel);
                }
                if queue.closed {
                    return None;
                }
            }
            ready.await;
        }
    }

    /// Accepts no more frames and returns how many still waited if `discard` is set.
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

    /// Closes the queue if nothing waits in it.
    pub(crate) fn close_empty(&self) -> bool {
        let mut queue = self.lock();
        queue.closed |= queue.frames.is_empty();
        queue.closed
    }

    /// Whether no more frames are accepted.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    fn supersede(&mut self, parcel: &Parcel) {
        let Some(new) = parcel.version else { return };
        let mut freed = 0;
        self.frames.retain(|old| {
            let older = old.kind == parcel.kind && old.version.is_some_and(|v| v < new);
            freed += if older { old.size } else { 0 };
            !older
        });
        self.bytes -= freed;
    }
}
