use std::time::Duration;

/// Times and rates of the demo.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The rate of requests per second of all callers together, not counting those sent again.
    pub rate: u32,
    /// How long calls go on without a disturbance between two steps.
    pub pause: Duration,
    /// How long a target stays drained after `drain_notice`.
    pub drained_time: Duration,
    /// How long the platform is down.
    pub outage: Duration,
    /// How long after the start of a drain a target may still get new work.
    pub drain_notice: Duration,
    /// The limit for an accepted version to come into force everywhere.
    pub convergence_limit: Duration,
    /// How long to wait for a state of the fleet before giving up.
    pub wait_limit: Duration,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            rate: 400,
            pause: Duration::from_secs(1),
            drained_time: Duration::from_secs(1),
            outage: Duration::from_secs(2),
            drain_notice: Duration::from_secs(3),
            convergence_limit: Duration::from_secs(4),
            wait_limit: Duration::from_secs(20),
        }
    }
}
