use std::time::Duration;

use derive_more::Display;
use dw_tables::Name;
use serde::{Deserialize, Serialize};

/// Maximum number of versions of a service that are remembered as rolled back or replaced. Each is
/// part of every share that is sent, and few can have live targets at once.
pub const MAX_AVOIDED_VERSIONS: usize = 8;

/// Sequence numbers of the shares within one rollout. A rollback takes precedence over every earlier
/// step, and completion over a rollback, since the old targets stop at completion.
const EPOCHS_PER_ROLLOUT: u64 = 16;

/// Bounds and times of rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutPolicy {
    /// Per mille of the requests, and of the new targets, that are used while evidence is collected.
    pub canary: u32,
    /// Largest part of all requests between order and time limit that a bad version may receive, per mille.
    pub exposure: u32,
    /// Requests that a bad version may receive in addition.
    pub slack: u64,
    /// Shortest time before the time limit at which all traffic is switched.
    pub min_lead: Duration,
    /// The same as a part of the duration of the rollout, per mille.
    pub lead_share: u32,
    /// Period of evidence reports and of repeated announcements.
    pub period: Duration,
    /// Time without news from the leader after which a daemon decides on its own evidence.
    pub silence: Duration,
    /// Time between a failed store call and the next one. Store calls are priced.
    pub store_retry: Duration,
    /// How long a finished rollout is still announced, for daemons that missed it.
    pub linger: Duration,
}

impl Default for RolloutPolicy {
    fn default() -> Self {
        Self {
            canary: 50,
            exposure: 100,
            slack: 50,
            min_lead: Duration::from_millis(600),
            lead_share: 50,
            period: Duration::from_millis(500),
            silence: Duration::from_secs(2),
            store_retry: Duration::from_secs(1),
            linger: Duration::from_secs(30),
        }
    }
}

impl RolloutPolicy {
    /// Sets the bound on the requests of a bad version: `exposure` per mille of all requests of its service,
    /// and `slack` further ones. Half of the part is spent on the canary share, the rest on the time between
    /// the switch and the time limit.
    #[must_use]
    pub fn with_exposure(self, exposure: u32, slack: u64) -> Self {
        let half = (exposure / 2).clamp(1, 500);
        Self { canary: half, lead_share: half, exposure, slack, ..self }
    }
}

/// An operator's order to move a service to a version of its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Distinguishes orders for the same service.
    pub id: u64,
    /// The version that the targets shall have.
    pub version: Name,
    /// The time limit in ms, from when the order was read.
    pub duration: u64,
    /// Whether the switch must wait. The time limit still applies.
    #[serde(default)]
    pub paused: bool,
    /// Whether to roll back.
    #[serde(default)]
    pub aborted: bool,
}

/// Why a rollout was rolled back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RollbackReason {
    /// The new version responded worse than the old one.
    BadResponses,
    /// The time limit passed before there was enough evidence, or before all daemons had switched.
    TimeLimit,
    /// The operator aborted it.
    Aborted,
}

/// The step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step", content = "reason")]
pub enum RolloutStep {
    /// A few new targets receive the canary share.
    Canary,
    /// All traffic goes to the new version; the old targets still run.
    Switch,
    /// The new version is in force, and the old targets have stopped.
    Complete,
    /// No traffic goes to the new version.
    RolledBack(RollbackReason),
}

impl RolloutStep {
    /// Whether the rollout has not ended.
    #[must_use]
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Canary | Self::Switch)
    }

    const fn rank(self) -> u64 {
        match self {
            Self::Canary => 1,
            Self::Switch => 2,
            Self::RolledBack(_) => 3,
            Self::Complete => 4,
        }
    }

    /// The text for the log and for operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Switch => "switch",
            Self::Complete => "complete",
            Self::RolledBack(RollbackReason::BadResponses) => "rolled-back-bad-responses",
            Self::RolledBack(RollbackReason::TimeLimit) => "rolled-back-time-limit",
            Self::RolledBack(RollbackReason::Aborted) => "rolled-back-aborted",
        }
    }

    /// Whether it is a rollback because of bad responses.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::RolledBack(RollbackReason::BadResponses))
    }

    /// Whether it is a rollback, for any reason.
    #[must_use]
    pub const fn is_rolled_back(self) -> bool {
        matches!(self, Self::RolledBack(_))
    }
}

/// What the store holds of the rollouts of one service. A successor of the leader continues from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Number of the rollout of this service, from 1.
    pub number: u64,
    /// The order's [`RolloutOrder::id`].
    pub order: u64,
    /// The version that is rolled out.
    pub version: Name,
    /// When the order was first read, in ms since the Unix epoch.
    pub begun: u64,
    /// The time limit in ms after `begun`.
    pub duration: u64,
    /// The step.
    #[serde(flatten)]
    pub step: RolloutStep,
    /// The version in force: the one that the last complete rollout was for, or the only one that ran beside
    /// the ordered one.
    #[serde(default)]
    pub force: Option<Name>,
    /// Versions that were rolled back or whose rollout was replaced. They receive no requests while others can.
    #[serde(default)]
    pub avoid: Vec<Name>,
    /// Those of them that responded worse than the version in force. They receive no requests.
    #[serde(default)]
    pub bad: Vec<Name>,
}

impl RolloutState {
    /// The state after a new order. A rollout that has not completed is replaced, and its version gets no
    /// more requests.
    #[must_use]
    pub fn begin(old: Option<&Self>, order: &RolloutOrder, in_force: bool, now: u64) -> Self {
        let mut avoid = old.map(|old| old.avoid.clone()).unwrap_or_default();
        let mut bad = old.map(|old| old.bad.clone()).unwrap_or_default();
        if let Some(old) = old.filter(|old| old.step != RolloutStep::Complete) {
            avoid.retain(|version| *version != old.version);
            avoid.push(old.version.clone());
            bad.extend(old.step.is_bad().then(|| old.version.clone()));
        }
        avoid.retain(|version| *version != order.version);
        let excess = avoid.len().saturating_sub(MAX_AVOIDED_VERSIONS);
        avoid.drain(..excess);
        bad.retain(|version| avoid.contains(version));
        let force = old.and_then(|old| old.force.clone());
        Self {
            number: old.map_or(1, |old| old.number + 1),
            order: order.id,
            version: order.version.clone(),
            begun: now,
            duration: order.duration,
            step: if in_force { RolloutStep::Complete } else { RolloutStep::Canary },
            force: if in_force { Some(order.version.clone()) } else { force },
            avoid,
            bad,
        }
    }

    /// The state at another step of the same rollout.
    #[must_use]
    pub fn at_step(&self, step: RolloutStep) -> Self {
        let mut next = Self { step, ..self.clone() };
        if step == RolloutStep::Complete {
            next.force = Some(next.version.clone());
        }
        next
    }

    /// The end of the time limit, in ms since the Unix epoch.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.begun.saturating_add(self.duration)
    }

    /// Orders the states of a service, as the epochs of their shares do.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.number * EPOCHS_PER_ROLLOUT + self.step.rank()
    }

    /// Whether this is the state of the rollout that the order asks for. An order that is written a second time,
    /// as after a lost response, does not restart a rollout that runs.
    #[must_use]
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        let repeated = self.version == order.version && self.duration == order.duration;
        self.order == order.id || (repeated && self.step.is_running())
    }

    /// The share before this state is stored: the new version receives nothing. Its targets may already
    /// run, and without a share they would receive requests like all others until the store responds.
    #[must_use]
    pub fn hold(&self, service: &Name, policy: &RolloutPolicy) -> VersionShare {
        let epoch = self.number * EPOCHS_PER_ROLLOUT;
        VersionShare { epoch, share: 0, ..self.share(service, policy) }
    }

    /// The share that this state gives the new version.
    #[must_use]
    pub fn share(&self, service: &Name, policy: &RolloutPolicy) -> VersionShare {
        VersionShare {
            service: service.clone(),
            version: self.version.clone(),
            epoch: self.epoch(),
            step: self.step,
            share: match self.step {
                RolloutStep::Canary => policy.canary,
                RolloutStep::Switch | RolloutStep::Complete => 1000,
                RolloutStep::RolledBack(_) => 0,
            },
            avoid: self.avoid.clone(),
            bad: self.bad.clone(),
        }
    }
}

/// The share of a service's requests that one version receives, as sent to all daemons. The highest
/// epoch wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShare {
    /// The service.
    pub service: Name,
    /// The version that is rolled out.
    pub version: Name,
    /// Orders the shares of a service.
    pub epoch: u64,
    /// The step of the rollout.
    #[serde(flatten)]
    pub step: RolloutStep,
    /// Per mille of the requests that go to `version`.
    pub share: u32,
    /// Versions that receive no requests while others can.
    #[serde(default)]
    pub avoid: Vec<Name>,
    /// Those of them that receive no requests even then.
    #[serde(default)]
    pub bad: Vec<Name>,
}

impl VersionShare {
    /// The number of the rollout.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.epoch / EPOCHS_PER_ROLLOUT
    }

    /// Whether this is the share before the first state of the rollout is stored.
    #[must_use]
    pub(crate) const fn is_hold(&self) -> bool {
        self.epoch.is_multiple_of(EPOCHS_PER_ROLLOUT)
    }

    /// Whether an epoch is that of the rollback of rollout `number`.
    #[must_use]
    pub(crate) const fn is_rollback(epoch: u64, number: u64) -> bool {
        let rank = RolloutStep::RolledBack(RollbackReason::BadResponses).rank();
        epoch == number * EPOCHS_PER_ROLLOUT + rank
    }
}
