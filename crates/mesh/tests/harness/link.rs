//! The network link of a host, with a limited bandwidth.

use std::time::Duration;

use tokio::time::Instant;

/// Largest size in bytes of messages that overtake larger ones, passing between their segments.
const SEGMENT: u64 = 1_500;

/// The link of a host. In each direction, a large message waits for the large ones before it.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// The bandwidth of each direction in bytes per second.
    speed: u64,
    sent: Option<Instant>,
    received: Option<Instant>,
}

impl Link {
    /// Creates a link with a bandwidth of `mbps` Mbit/s.
    pub(crate) const fn new(mbps: u64) -> Self {
        Self { speed: mbps * 125_000, sent: None, received: None }
    }

    /// Returns when a message has been sent whose first byte is ready at the given time.
    pub(crate) fn send(&mut self, at: Instant, size: u64) -> Instant {
        transfer(&mut self.sent, self.speed, at, size)
    }

    /// Returns when a message has arrived whose first byte arrives at the given time.
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
