//! A host's link, which takes time for each byte.

use std::time::Duration;

use tokio::time::Instant;

/// Messages up to this size pass between the segments of larger ones, in bytes.
const SEGMENT: u64 = 1_500;

/// The link of a host: a large message waits for those before it, in each direction.
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
        transfer(&mut self.sent, self.speed, at, size)
    }

    /// When a message has arrived whose first byte comes at a time.
    pub(crate) fn receive(&mut self, at: Instant, size: u64) -> Instant {
        transfer(&mut self.received, self.speed, at, size)
    }
}

fn transfer(free: &mut Option<Instant>, speed: u64, at: Instant, size: u64) -> Instant {
    let time = Duration::from_micros(size * 1_000_000 / speed);
    if size <= SEGMENT {
        return at + time;
    }
    let end = free.map_or(at, |free| free.max(at)) + time;
    *free.insert(end)
}
