use std::{collections::VecDeque, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    CallReason, Event, HttpPlatform, PlatformError, Watch,
    failure::stream_error,
    messages::{Streamed, WatchAnswer},
    requests::unreadable,
};

/// Largest line in bytes: a few values of the largest size in base64.
const MAX_LINE: usize = 16 << 20;

/// Time to read what arrived while the caller did not read.
const LATE_READ: Duration = Duration::from_millis(200);

/// An open watch over HTTP. It ends with the first error, which later calls repeat; the caller
/// then opens a new one after the revision of the last event.
#[derive(Debug)]
pub struct HttpWatch {
    platform: HttpPlatform,
    index: usize,
    lines: Lines,
    seen: u64,
    events: VecDeque<Event>,
    failure: Option<PlatformError>,
}

impl HttpWatch {
    /// Waits for the platform to confirm the watch for changes after `revision`.
    pub(crate) async fn open(
        platform: HttpPlatform,
        index: usize,
        body: Incoming,
        revision: u64,
    ) -> Result<Self, PlatformError> {
        let lines =
            Lines { body, buffer: BytesMut::new(), scanned: 0, heard: Instant::now(), late: None };
        let events = VecDeque::new();
        let mut watch = Self { platform, index, lines, seen: revision, events, failure: None };
        let answer = watch.answer().await?;
        if !answer.created {
            return Err(PlatformError::Protocol("the watch was not created".to_owned()));
        }
        watch.queue(answer)?;
        Ok(watch)
    }

    /// Waits for the next line; nothing is lost if the future is dropped.
    async fn answer(&mut self) -> Result<WatchAnswer, PlatformError> {
        let silent = self.lines.silent(self.platform.quiet());
        let line = tokio::select! {
            biased;
            line = self.lines.next() => line,
            () = tokio::time::sleep_until(silent) => {
                // The connection may be dead although it is open.
                self.platform.avoid(self.index);
                self.platform.budget().count(CallReason::WatchSilent);
                return Err(PlatformError::Unanswered);
            }
        };
        let line = line.inspect_err(|_| self.platform.budget().count(CallReason::WatchBroken))?;
        match serde_json::from_slice(&line).map_err(|error| unreadable(&error))? {
            Streamed::Result(answer) => Ok(answer),
            Streamed::Error(error) => Err(stream_error(&error)),
        }
    }

    fn queue(&mut self, answer: WatchAnswer) -> Result<(), PlatformError> {
        if answer.compact_revision.revision() > 0 {
            return Err(PlatformError::Compacted);
        }
        if answer.canceled {
            return Err(PlatformError::Protocol(answer.cancel_reason));
        }
        let mut newest = self.seen;
        for event in answer.events {
            let revision = event.kv.mod_revision.revision();
            if revision > self.seen {
                newest = newest.max(revision);
                self.events.push_back(event.event()?);
            }
        }
        self.seen = newest;
        Ok(())
    }

    async fn advance(&mut self) -> Result<Event, PlatformError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            if let Some(failure) = &self.failure {
                return Err(failure.clone());
            }
            let answer = self.answer().await?;
            self.queue(answer)?;
        }
    }
}

impl Watch for HttpWatch {
    async fn next(&mut self) -> Result<Event, PlatformError> {
        let result = self.advance().await;
        if let Err(failure) = &result {
            self.failure = Some(failure.clone());
        }
        result
    }
}

/// Splits the body of an answer into lines.
#[derive(Debug)]
struct Lines {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer known to hold no line end.
    scanned: usize,
    heard: Instant,
    /// When a caller that did not read in time is to give up.
    late: Option<Instant>,
}

impl Lines {
    /// When the stream counts as silent.
    ///
    /// A caller that reads late gets some more time, since bytes may have arrived unnoticed.
    fn silent(&mut self, quiet: Duration) -> Instant {
        let (now, due) = (Instant::now(), self.heard + quiet);
        if due > now {
            return due;
        }
        *self.late.get_or_insert(now + LATE_READ)
    }

    async fn next(&mut self) -> Result<Bytes, PlatformError> {
        loop {
            let rest = &self.buffer[self.scanned..];
            if let Some(at) = rest.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.scanned + at).freeze();
                self.buffer.advance(1);
                self.scanned = 0;
                return Ok(line);
            }
            self.scanned = self.buffer.len();
            if self.scanned > MAX_LINE {
                return Err(PlatformError::Protocol("a line of a watch is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    self.heard = Instant::now();
                    self.late = None;
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(_)) | None => return Err(PlatformError::Unanswered),
            }
        }
    }
}
