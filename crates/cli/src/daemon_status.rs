use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How far a version has spread.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Every member has acknowledged the version.
    #[display("in force")]
    InForce,
    /// The version is still being distributed.
    #[display("spreading")]
    Spreading,
    /// Some members have not acknowledged the version in time.
    #[display("behind")]
    Behind,
    /// A newer head was refused.
    #[display("refused")]
    Refused,
    /// A domain has not reported, or the daemon reports a state that this release of the tool
    /// does not know.
    #[default]
    #[serde(other)]
    #[display("unknown")]
    Unknown,
}

/// The response of a daemon to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The host that the daemon runs on.
    pub host: String,
    /// The failure domain of the host.
    pub domain: String,
    /// The state over all domains, as far as the daemon knows.
    pub state: State,
    /// The version that the daemon serves.
    pub version: ServedVersion,
    /// The status of each domain.
    #[serde(default)]
    pub domains: Vec<DomainStatus>,
    /// The heads that the daemon refused.
    #[serde(default)]
    pub refused: Vec<RefusedHead>,
}

/// A version that a daemon serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersion {
    /// The version number; 0 if no version is served.
    pub number: u64,
    /// The content hash in hexadecimal, possibly only its first digits.
    pub hash: String,
}

/// What a daemon knows about a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The name of the domain.
    pub domain: String,
    /// The state of the version in the domain.
    pub state: State,
    /// The number of members, without those known to be dead or to have left.
    pub members: u64,
    /// The number of members that acknowledged the version.
    pub applied: u64,
    /// Hosts that have not acknowledged the version.
    #[serde(default)]
    pub behind: Vec<String>,
    /// Hosts that do not answer.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// The highest version number seen in the domain.
    pub highest: u64,
}

/// A head that a daemon refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedHead {
    /// The version number.
    pub number: u64,
    /// The content hash.
    pub hash: String,
    /// Why it was refused.
    pub reason: String,
}

impl DaemonStatus {
    /// The highest version number that the daemon serves or has seen in any domain.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.domains.iter().map(|d| d.highest).fold(self.version.number, u64::max)
    }

    /// Whether version `number` or a later one is in force everywhere. The overall state is not
    /// enough: every domain must agree with it.
    #[must_use]
    pub fn in_force(&self, number: u64) -> bool {
        let complete = |d: &DomainStatus| {
            d.state == State::InForce && d.behind.is_empty() && d.unreachable.is_empty()
        };
        self.state == State::InForce
            && self.version.number >= number
            && self.domains.iter().all(complete)
    }
}
