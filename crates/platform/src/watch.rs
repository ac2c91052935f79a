use std::{collections::VecDeque, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    CallReason, Event, HttpPlatform, PlatformError, Watch,
    failure::stream_error,
    messages::{Streamed, WatchResponse},
    requests::protocol_error,
};

/// Length of the longest line that is read: a few values of the largest size in base64.
const MAX_LINE_BYTES: usize = 16 << 20;

/// Additional time to read data that arrived while the caller was not reading.
const LATE_READ_GRACE: Duration = Duration::from_millis(200);

/// An open watch over HTTP. It ends with the first error, which later calls return again; the
/// caller then opens a new watch for changes after the revision of the last event.
#[derive(Debug)]
pub struct HttpWatch {
    platform: HttpPlatform,
    index: usize,
    lines: LineReader,
    last_revision: u64,
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
        let lines = LineReader {
            body,
            buffer: BytesMut::new(),
            scanned: 0,
            received_at: Instant::now(),
            late_deadline: None,
        };
        let events = VecDeque::new();
        let mut watch =
            Self { platform, index, lines, last_revision: revision, events, failure: None };
        let response = watch.next_response().await?;
        if !response.created {
            return Err(PlatformError::Protocol("the watch was not created".to_owned()));
        }
        watch.queue_events(response)?;
        Ok(watch)
    }

    /// Waits for the next line. Dropping the future loses no line.
    async fn next_response(&mut self) -> Result<WatchResponse, PlatformError> {
        let deadline = self.lines.silence_deadline(self.platform.watch_idle());
        let line = tokio::select! {
            biased;
            line = self.lines.next() => line,
            () = tokio::time::sleep_until(deadline) => {
                // The connection may have failed without being closed.
                self.platform.avoid(self.index);
                self.platform.budget().record(CallReason::WatchSilent);
                return Err(PlatformError::Unanswered);
            }
        };
        let line = line.inspect_err(|_| self.platform.budget().record(CallReason::WatchBroken))?;
        match serde_json::from_slice(&line).map_err(|error| protocol_error(&error))? {
            Streamed::Result(response) => Ok(response),
            Streamed::Error(error) => Err(stream_error(&error)),
        }
    }

    fn queue_events(&mut self, response: WatchResponse) -> Result<(), PlatformError> {
        if response.compact_revision.revision() > 0 {
            return Err(PlatformError::Compacted);
        }
        if response.canceled {
            return Err(PlatformError::Protocol(response.cancel_reason));
        }
        let mut newest = self.last_revision;
        for event in response.events {
            let revision = event.kv.mod_revision.revision();
            if revision > self.last_revision {
                newest = newest.max(revision);
                self.events.push_back(event.into_event()?);
            }
        }
        self.last_revision = newest;
        Ok(())
    }

    async fn next_event(&mut self) -> Result<Event, PlatformError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            if let Some(failure) = &self.failure {
                return Err(failure.clone());
            }
            let response = self.next_response().await?;
            self.queue_events(response)?;
        }
    }
}

impl Watch for HttpWatch {
    async fn next(&mut self) -> Result<Event, PlatformError> {
        let result = self.next_event().await;
        if let Err(failure) = &result {
            self.failure = Some(failure.clone());
        }
        result
    }
}

/// Splits the body of a response into lines.
#[derive(Debug)]
struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    /// Length of the part of the buffer that is known to contain no line end.
    scanned: usize,
    received_at: Instant,
    /// When the stream counts as silent although the caller has not read in time.
    late_deadline: Option<Instant>,
}

impl LineReader {
    /// When the stream counts as silent.
    ///
    /// A caller that reads late gets additional time, since data may have arrived in the meantime.
    fn silence_deadline(&mut self, watch_idle: Duration) -> Instant {
        let (now, due) = (Instant::now(), self.received_at + watch_idle);
        if due > now {
            return due;
        }
        *self.late_deadline.get_or_insert(now + LATE_READ_GRACE)
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
            if self.scanned > MAX_LINE_BYTES {
                return Err(PlatformError::Protocol("a line of a watch is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    self.received_at = Instant::now();
                    self.late_deadline = None;
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(_)) | None => return Err(PlatformError::Unanswered),
            }
        }
    }
}
