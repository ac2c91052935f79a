use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time in which an accepted version is to be in force everywhere at the target scale.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Which of the two metrics a deployment favours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PresetName {
    /// Favours control bytes.
    #[default]
    Cooperative,
    /// Favours convergence time.
    Verband,
}

/// Periods and widths of the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
    /// Children of each node of a distribution tree; with 0 there are no trees, and versions spread
    /// by anti-entropy only, which the bench uses as a baseline.
    pub fan_out: usize,
    /// Wait for further versions and events before they are sent down a tree.
    pub batch_delay: Duration,
    /// Time between two membership probes of a daemon.
    pub probe_period: Duration,
    /// Probe periods from suspicion to death.
    pub suspicion_periods: u32,
    /// Time between two summaries of a relay to another domain.
    pub summary_period: Duration,
    /// How long a member declared dead without proof may still be serving. Until then it keeps the
    /// status from `in-force` unless it acknowledged the version; see `Status`.
    pub dead_grace: Duration,
    /// Whether the platform's reads are linearizable and it loses nothing that it acknowledged. A
    /// version read from it is then at least as new as any that was served, so a node that starts
    /// reads it at once and serves it without asking peers for a floor. Its head is the operator's: the
    /// fleet does not write over a lower one.
    pub durable: bool,
    /// The longest wait of a node that starts before it reads the relay records, so that the hosts
    /// of a restarted domain do not all read them at once.
    pub join_spread: Duration,
    /// The time in which an accepted version is to be in force on each host.
    pub in_force: Duration,
}

impl Preset {
    /// The preset of the given name.
    #[must_use]
    pub const fn new(name: PresetName) -> Self {
        match name {
            PresetName::Cooperative => Self {
                fan_out: 3,
                batch_delay: Duration::from_millis(200),
                probe_period: Duration::from_secs(2),
                suspicion_periods: 4,
                summary_period: Duration::from_secs(1),
                dead_grace: Duration::from_secs(600),
                durable: false,
                join_spread: Duration::from_secs(1),
                in_force: IN_FORCE,
            },
            PresetName::Verband => Self {
                fan_out: 6,
                batch_delay: Duration::from_millis(20),
                probe_period: Duration::from_secs(1),
                suspicion_periods: 4,
                summary_period: Duration::from_secs(1),
                dead_grace: Duration::from_secs(600),
                durable: false,
                join_spread: Duration::from_secs(1),
                in_force: IN_FORCE,
            },
        }
    }
}

impl Default for Preset {
    fn default() -> Self {
        Self::new(PresetName::default())
    }
}
