use std::net::SocketAddr;

use dw_tables::Name;
use tokio::time::Instant;

/// What membership says about the daemon beside a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It responds.
    #[default]
    Alive,
    /// It missed probes.
    Suspect,
    /// It, or its target, takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}

/// One target as the caller's daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The host.
    pub host: Name,
    /// Position among the targets of the host.
    pub target: u16,
    /// The service that the target announces.
    pub service: Name,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// Data address of the daemon beside the target.
    pub addr: SocketAddr,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Membership state.
    pub state: EndpointState,
    /// When the target started. A change of more than a second means a restart and resets what was
    /// observed.
    pub started: Instant,
}
