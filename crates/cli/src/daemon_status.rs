use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How far a version has come.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Every member has acknowledged it.
    #[display("in force")]
    InForce,
    /// It is on its way.
    #[display("spreading")]
    Spreading,
    /// Some members have not acknowledged it in time.
    #[display("behind")]
    Behind,
    /// A newer head was refused.
    #[display("refused")]
    Refused,
    /// A domain has not been heard from, or the daemon reports a state that this tool does not
    /// know.
    #[default]
    #[serde(other)]
    #[display("unknown")]
    Unknown,
}

/// What `GET /status` of a daemon returns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The host of the daemon.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// The state everywhere, as the daemon knows it.
    pub state: State,
    /// The version that the daemon serves.
    pub version: ServedVersion,
    /// Each domain.
    #[serde(default)]
    pub domains: Vec<DomainStatus>,
    /// Heads that the daemon refused.
    #[serde(default)]
    pub refused: Vec<RefusedHead>,
}

/// A version that a daemon serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersion {
    /// The version number; 0 stands for none.
    pub number: u64,
    /// The content hash in hexadecimal, or its first digits.
    pub hash: String,
}

/// What a daemon knows of a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The domain.
    pub domain: String,
    /// The state in the domain.
    pub state: State,
    /// Members not known to be dead or left.
    pub members: u64,
    /// Members that acknowledged the version.
    pub applied: u64,
    /// Hosts that have not.
    #[serde(default)]
    pub behind: Vec<String>,
    /// Hosts that do not answer.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// The highest version seen in the domain.
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
    /// The highest version that the daemon serves or has seen in a domain.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.domains.iter().map(|d| d.highest).fold(self.version.number, u64::max)
    }

    /// Whether version `number` or a later one is in force everywhere. A domain that contradicts
    /// the state of the whole counts against it.
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
