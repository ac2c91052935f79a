use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

/// The wall-clock time in milliseconds since the Unix epoch at an instant of tokio's clock.
///
/// The offset between the two clocks is taken once per process, so absolute deadlines follow the
/// time that a test sets.
#[must_use]
pub fn unix_ms(at: Instant) -> u64 {
    static ORIGIN: OnceLock<(std::time::Instant, Duration)> = OnceLock::new();
    let (origin, epoch) = ORIGIN.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (std::time::Instant::now(), epoch)
    });
    let at = at.into_std();
    let since = match at.checked_duration_since(*origin) {
        Some(after) => *epoch + after,
        None => epoch.saturating_sub(origin.duration_since(at)),
    };
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
