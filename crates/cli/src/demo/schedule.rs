use std::time::Duration;

/// Times and rates of the demo.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Requests a second that all callers send together, without those sent again.
    pub rate: u32,
    /// How long calls go on undisturbed between two steps.
    pub pause: Duration,
    /// How long a target stays drained after `notice`.
    pub drained_time: Duration,
    /// How long the platform is down.
    pub outage: Duration,
    /// The time after which a draining target gets no new work.
    pub drain_notice: Duration,
    /// The time after which an accepted version is in force everywhere.
    pub convergence_limit: Duration,
    /// The longest wait for a state of the fleet; beyond it the demo gives up.
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
