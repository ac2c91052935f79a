use std::net::SocketAddr;

use dw_tables::Name;

use crate::{Preset, Target};

/// The configuration with which a node starts.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host name, which is unique in the fleet.
    pub host: Name,
    /// The wall-clock time of the process start, in ms since the Unix epoch.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// The address at which peers send datagrams (UDP) and frames (TCP).
    pub peer: SocketAddr,
    /// The address at which other daemons send requests.
    pub data: SocketAddr,
    /// The speed of the host's network link in Mbit/s, or 0 if it is unknown.
    pub link: u32,
    /// The targets that the daemon serves.
    pub targets: Vec<Target>,
    /// The periods and the fan-out of the control plane.
    pub preset: Preset,
    /// Addresses of peers through which the node joins.
    pub join: Vec<SocketAddr>,
    /// The seed of the node's random number generator.
    pub seed: u64,
}

impl NodeConfig {
    /// Creates a configuration without targets and join addresses.
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
