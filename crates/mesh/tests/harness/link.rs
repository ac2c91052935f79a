//! A host's link, which takes time for each byte.

use std::time::Duration;

use tokio::time::Instant;

/// The link of a host: what is sent and what is received each wait for what came before.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// Bytes a second in each direction.
    speed: u64,
    sent: Option<Instant>,
    received: Option<Instant>,
}

impl Link {
    /// A link of so many Mbit/s.
    pub(crate) const fn new(mbps: u64) -> Self {
        Self { speed: mbps * 125_000, sent: None, received: None }
    }

    /// When a message is sent whose first byte is ready at a time.
    pub(crate) fn send(&mut self, at: Instant, size: u64) -> Instant {
        let end = self.sent.map_or(at, |free| free.max(at)) + self.time(size);
        *self.sent.insert(end)
    }

    /// When a message has arrived whose first byte comes at a time.
    pub(crate) fn receive(&mut self, at: Instant, size: u64) -> Instant {
        let end = self.received.map_or(at, |free| free.max(at)) + self.time(size);
        *self.received.insert(end)
    }

    fn time(&self, size: u64) -> Duration {
        Duration::from_micros(size * 1_000_000 / self.speed)
    }
}
