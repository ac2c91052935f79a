//! Timeouts and parallelism for fetching a version from peers.
//!
//! A version has a deadline by which it must be in force. If connections fail silently during a burst of
//! versions, a missing answer says little about the peer that was asked, so each failed round asks more
//! sources at once, and the timeout shrinks as the deadline approaches.

use std::time::Duration;

use tokio::time::Instant;

/// The wait for an answer is the time left before the deadline, divided by this.
const WAIT_DIVISOR: u32 = 4;

/// The longest wait for changed rows. They take up to about 24 KB when compressed, and a link of 5 Mbit/s also
/// carries request and response bodies.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// The shortest wait for changed rows: a round trip to a peer whose process is not under load.
const WAIT_MIN: Duration = Duration::from_millis(150);

/// Maximum number of sources asked at once. Each source that answers sends the rows, so more sources cost
/// more bytes.
const PARALLELISM_MAX: usize = 4;

/// The progress of fetching a newer version that is known to exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fetch {
    /// When the node first heard of the version.
    since: Instant,
    /// Number of rounds in which no source answered in time.
    failed_rounds: u32,
}

impl Fetch {
    /// Starts fetching a version of which the node has just heard.
    pub(crate) const fn new(now: Instant) -> Self {
        Self { since: now, failed_rounds: 0 }
    }

    /// Records that no source of the last round answered in time.
    pub(crate) const fn fail_round(&mut self) {
        self.failed_rounds += 1;
    }

    /// How long to wait for changed rows if a version must be in force within `limit`.
    pub(crate) fn wait(&self, limit: Duration, now: Instant) -> Duration {
        let left = (self.since + limit).saturating_duration_since(now);
        (left / WAIT_DIVISOR).clamp(WAIT_MIN, WAIT_MAX)
    }

    /// How many sources to ask at once.
    pub(crate) fn parallelism(&self) -> usize {
        (1_usize << self.failed_rounds.min(8)).min(PARALLELISM_MAX)
    }

    /// Whether to ask over new connections, because the open ones may be broken without having been closed.
    pub(crate) const fn is_retry(&self) -> bool {
        self.failed_rounds > 0
    }
}
