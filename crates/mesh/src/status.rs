use derive_more::Display;
use dw_tables::{Name, VersionMark};
use serde::{Deserialize, Serialize};

/// Whether a version is in force.
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
    /// Every member that may be serving holds the version.
    #[display("in-force")]
    InForce,
    /// The version was accepted a short time ago and is on its way.
    #[display("spreading")]
    Spreading,
    /// Some members hold less for longer than a change takes.
    #[display("behind")]
    Behind,
    /// A domain was not heard from, or nothing is known yet.
    #[default]
    #[display("unknown")]
    Unknown,
    /// The platform holds a version that the fleet refuses.
    #[display("refused")]
    Refused,
}

/// What a node knows about the version in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that reports.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The state of the whole fleet.
    pub state: RolloutState,
    /// The version that the host serves; number 0 for none.
    pub version: VersionMark,
    /// The domains, by name.
    pub domains: Vec<DomainStatus>,
    /// Versions that were refused, newest last.
    pub refused: Vec<RefusedVersion>,
}

/// The state of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The domain.
    pub domain: Name,
    /// Its state.
    pub state: RolloutState,
    /// Members that may be serving.
    pub members: u32,
    /// Members that hold the version.
    pub applied: u32,
    /// Members that hold less, the first few.
    pub behind: Vec<Name>,
    /// Members that do not answer, the first few.
    pub unreachable: Vec<Name>,
    /// The highest version number in the domain.
    pub highest: u64,
}

/// A version that was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// The version.
    #[serde(flatten)]
    pub mark: VersionMark,
    /// Why, in one sentence.
    pub reason: String,
}
