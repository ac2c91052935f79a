use std::net::SocketAddr;

use derive_more::Display;
use dw_tables::Name;
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
    /// Announced that it is leaving; takes no new work.
    #[display("leaving")]
    Leaving,
    /// Did not answer a probe and has not refuted the suspicion.
    #[display("suspect")]
    Suspect,
    /// Did not refute a suspicion in time.
    #[display("dead")]
    Dead,
    /// Left, or known to have ended.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member is a live part of the fleet: alive, leaving or suspect.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// One target beside a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The index among the host's targets.
    pub index: u32,
    /// The service.
    pub service: Name,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Whether the target takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// When the target started, in ms since the Unix epoch; 0 for the start of its daemon.
    #[serde(default)]
    pub started: u64,
}

/// One member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host name, unique in the fleet.
    pub host: Name,
    /// Orders records of the host; only the host itself raises it.
    pub incarnation: u64,
    /// The incarnation at which the process started.
    pub started: u64,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// The address for datagrams and frames.
    pub peer: SocketAddr,
    /// The address for requests.
    pub data: SocketAddr,
    /// The state.
    pub state: MemberState,
    /// Whether the member acts as a relay of its domain.
    pub relay: bool,
    /// The speed of the host's link in Mbit/s; 0 if it is not known.
    #[serde(default)]
    pub link: u32,
    /// The targets beside the member.
    pub targets: Vec<Target>,
}

impl Member {
    /// The record of a host that starts.
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
        }
    }

    /// The class of the host's link: links in one class differ by less than a factor of two. Unknown
    /// links are in the lowest class.
    pub(crate) fn link_class(&self) -> u32 {
        self.link.checked_ilog2().map_or(0, |class| class + 1)
    }

    /// Whether this record supersedes `other`, a record of the same host.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
