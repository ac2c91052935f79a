use std::{fs, time::Duration};

use serde::Serialize;

/// Unit of the CPU times in `/proc/self/stat`; Linux fixes `USER_HZ` at 100.
const TICKS_PER_SECOND: u64 = 100;

/// One unit of the CPU times.
pub(crate) const TICK: Duration = Duration::from_millis(1000 / TICKS_PER_SECOND);

/// CPU time and memory of this process so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Usage {
    /// User and system time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl Usage {
    /// Reads the usage of this process from `/proc`. Values that cannot be read are zero.
    pub(crate) fn now() -> Self {
        let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
        // The process name may contain spaces, so fields are counted from its closing parenthesis.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |idx: usize| fields.get(idx).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        let ticks = field(11) + field(12);
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|kib| kib.parse::<u64>().ok())
            .unwrap_or(0);
        Self { cpu: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND), resident: kib * 1024 }
    }
}
