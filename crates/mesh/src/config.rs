use std::net::SocketAddr;

use dw_tables::Name;

use crate::{Preset, Target};

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host name, unique in the fleet.
    pub host: Name,
    /// The wall clock at process start in ms since the Unix epoch.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// The address for datagrams (UDP) and frames (TCP).
    pub peer: SocketAddr,
    /// The address for requests from other daemons.
    pub data: SocketAddr,
    /// The speed of the host's link in Mbit/s; 0 if it is not known.
    pub link: u32,
    /// The targets beside the daemon.
    pub targets: Vec<Target>,
    /// Periods and widths.
    pub preset: Preset,
    /// Peer addresses to join through.
    pub join: Vec<SocketAddr>,
    /// Seed of the node's random numbers.
    pub seed: u64,
}

impl NodeConfig {
    /// A configuration without targets and join addresses.
    #[must_use]
    pub fn new(host: Name, domain: Name, peer: SocketAddr, data: SocketAddr) -> Self {
        Self {
            host,
            incarnation: 1,
            domain,
            region: Name::default(),
            peer,
            data,
            link: 0,
            targets: Vec::new(),
            preset: Preset::default(),
            join: Vec::new(),
            seed: 0,
        }
    }
}
