use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The wall clock in ms since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a wall-clock time to an `Instant`; a time in the future becomes the present.
pub(crate) fn from_unix_ms(ms: u64) -> Option<Instant> {
    Instant::now().checked_sub(Duration::from_millis(unix_ms().saturating_sub(ms)))
}
