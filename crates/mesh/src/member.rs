use std::net::SocketAddr;

use derive_more::Display;
use dw_tables::{Name, Tombstone};
use serde::{Deserialize, Serialize};

use crate::NodeConfig;

/// The state of a member.
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
pub enum MemberState {
    /// Answers probes.
    #[default]
    #[display("alive")]
    Alive,
    /// Has announced that it is leaving; takes no new work.
    #[display("leaving")]
    Leaving,
    /// Did not answer a probe and has not refuted the suspicion.
    #[display("suspect")]
    Suspect,
    /// Did not refute a suspicion in time.
    #[display("dead")]
    Dead,
    /// Has left, or its process is known to have ended.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member counts as live: alive, leaving or suspect.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// One target of a member's daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The index among the targets of the host.
    pub index: u32,
    /// The service that the target provides.
    pub service: Name,
    /// The most requests that the target executes concurrently.
    pub slots: u32,
    /// The most connections that the target accepts.
    pub connections: u32,
    /// Whether the target is draining, that is, takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// When the target started, in ms since the Unix epoch; 0 if it started with its daemon.
    #[serde(default)]
    pub started: u64,
    /// The version; `None` unless rollouts are enabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// When the target will be warm, in ms since the Unix epoch, if it has a version and is cold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm: Option<u64>,
}

/// One member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host name, which is unique in the fleet.
    pub host: Name,
    /// The version of the host's record: higher ones supersede lower ones, and only the host itself
    /// raises it.
    pub incarnation: u64,
    /// The incarnation with which the process started.
    pub started: u64,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// The address at which peers send datagrams and frames.
    pub peer: SocketAddr,
    /// The address at which other daemons send requests.
    pub data: SocketAddr,
    /// The state of the member.
    pub state: MemberState,
    /// Whether the member is a relay of its domain.
    pub relay: bool,
    /// The speed of the host's network link in Mbit/s, or 0 if it is unknown.
    #[serde(default)]
    pub link: u32,
    /// The targets that the member's daemon serves.
    pub targets: Vec<Target>,
    /// Targets on the host that take no more requests, for the next process there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tombstones: Vec<Tombstone>,
}

impl Member {
    /// Creates the record of a node at its start.
    #[must_use]
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            host: cfg.host.clone(),
            incarnation: cfg.incarnation,
            started: cfg.incarnation,
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
            peer: cfg.peer,
            data: cfg.data,
            state: MemberState::Alive,
            relay: false,
            link: cfg.link,
            targets: cfg.targets.clone(),
            tombstones: Vec::new(),
        }
    }

    /// The speed class of the host's link. The speeds in one class differ by less than a factor of
    /// two; links of unknown speed are in the lowest class.
    pub(crate) fn link_class(&self) -> u32 {
        self.link.checked_ilog2().map_or(0, |class| class + 1)
    }

    /// Whether this record supersedes `other`, a record of the same host.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
