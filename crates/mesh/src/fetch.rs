//! How urgently a version is fetched: how long an answer is awaited before more sources are asked, and
//! how many at once. It answers a burst of versions while connections have fallen silent: a source that
//! does not answer says little about that peer, and the version has a deadline.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the time left in which an answer is awaited before more sources are asked.
const WAIT_SHARE: u32 = 4;

/// The longest wait for changed rows, of some 24 KB packed at the most, over a link of 5 Mbit/s that
/// carries bodies too.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// The shortest wait for changed rows: the round trip with an unloaded process between.
const WAIT_MIN: Duration = Duration::from_millis(150);

/// The most sources asked at once. Each that answers sends the rows, so more cost bytes.
const WIDTH_MAX: usize = 4;

/// A newer version that is known to exist and is being fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fetch {
    /// Since when the version is known to exist.
    since: Instant,
    /// Rounds in which no source answered in time.
    rounds: u32,
}

impl Fetch {
    /// A version that was just heard of.
    pub(crate) const fn new(now: Instant) -> Self {
        Self { since: now, rounds: 0 }
    }

    /// No source of the last round answered in time.
    pub(crate) const fn missed(&mut self) {
        self.rounds += 1;
    }

    /// The wait for changed rows in a fleet whose versions are to be in force within `limit`.
    pub(crate) fn wait(&self, limit: Duration, now: Instant) -> Duration {
        let left = (self.since + limit).saturating_duration_since(now);
        (left / WAIT_SHARE).clamp(WAIT_MIN, WAIT_MAX)
    }

    /// The number of sources to ask at once.
    pub(crate) fn width(&self) -> usize {
        (1_usize << self.rounds.min(8)).min(WIDTH_MAX)
    }

    /// Whether sources are asked over new connections, because the open ones may have fallen silent.
    pub(crate) const fn is_retry(&self) -> bool {
        self.rounds > 0
    }
}
