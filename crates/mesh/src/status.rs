use derive_more::Display;
use dw_tables::{Name, VersionId};
use serde::{Deserialize, Serialize};

/// How far a version has been rolled out.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Every member that may be serving requests has the version.
    #[display("in-force")]
    InForce,
    /// The version was accepted a short time ago and is still being distributed.
    #[display("spreading")]
    Spreading,
    /// Some members still have a lower version after the time in which a change normally spreads.
    #[display("behind")]
    Behind,
    /// A domain has not reported, its members are not known for certain, or nothing is known yet.
    #[default]
    #[display("unknown")]
    Unknown,
    /// The platform's head is a version that the fleet refuses.
    #[display("refused")]
    Refused,
}

/// What a node knows about the rollout of the version that it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that produced this status.
    pub host: Name,
    /// The failure domain of that host.
    pub domain: Name,
    /// The rollout state of the whole fleet.
    pub state: RolloutState,
    /// The version that the host serves; the number is 0 if it serves none.
    pub version: VersionId,
    /// The state of each failure domain, ordered by name.
    pub domains: Vec<DomainStatus>,
    /// The most recently refused versions, newest last.
    pub refused: Vec<RefusedVersion>,
}

/// The state of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The name of the domain.
    pub domain: Name,
    /// The rollout state of the domain.
    pub state: RolloutState,
    /// Number of members that may be serving requests.
    pub members: u32,
    /// Number of those members that have the version.
    pub applied: u32,
    /// The first few members that have a lower version.
    pub behind: Vec<Name>,
    /// The first few members that do not answer.
    pub unreachable: Vec<Name>,
    /// The number of the version that is served by the relay which reported the domain's totals.
    pub highest: u64,
}

/// A version that was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// The version.
    #[serde(flatten)]
    pub version_id: VersionId,
    /// Why the version was refused, in one sentence.
    pub reason: String,
}
