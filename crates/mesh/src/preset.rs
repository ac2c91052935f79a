use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time within which an accepted version has to be in force everywhere at the target scale.
const IN_FORCE: Duration = Duration::from_secs(4);

/// The named presets, by the metric that they favour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PresetName {
    /// Favours a low volume of control traffic.
    #[default]
    Cooperative,
    /// Favours fast convergence.
    Verband,
}

/// The periods and the fan-out of the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
    /// The number of children of each node of a distribution tree. With 0 there are no trees and
    /// versions spread by anti-entropy only, which the bench uses as a baseline.
    pub fan_out: usize,
    /// The delay before versions and events are sent down a tree, so that further ones are sent
    /// with them.
    pub batch_delay: Duration,
    /// The time between two membership probes that a daemon sends.
    pub probe_period: Duration,
    /// The number of probe periods after which a suspect that has not refuted the suspicion is
    /// declared dead.
    pub suspicion_periods: u32,
    /// The time between two summaries that a relay sends to other domains.
    pub summary_period: Duration,
    /// How long a member that was declared dead without proof counts as possibly still serving.
    /// During this time the status is not `in-force` unless the member has acknowledged the
    /// version; see `Status`.
    pub dead_grace: Duration,
    /// Whether the platform's reads are linearizable and no acknowledged write is ever lost. A
    /// version read from it is then at least as new as any that was served, so a starting node
    /// reads it at once and serves it without asking peers for a floor. Only the operator writes
    /// its head: the fleet does not overwrite a lower one.
    pub durable: bool,
    /// The longest random delay before a starting node reads the relay records, so that the hosts
    /// of a restarted domain do not all read them at once.
    pub join_spread: Duration,
    /// The time within which an accepted version has to be in force on each host.
    pub in_force: Duration,
}

impl Preset {
    /// Returns the preset of the given name.
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
