use std::net::SocketAddr;

use dw_tables::Name;
use tokio::time::Instant;

/// Membership state of the daemon beside a target.
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

/// One target, as known to the caller's daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The host.
    pub host: Name,
    /// Index among the targets of the host.
    pub target: u16,
    /// The service that the target announces.
    pub service: Name,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// Data address of the daemon beside the target.
    pub addr: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Membership state.
    pub state: EndpointState,
    /// When the target started. If the time becomes later by more than a second, the target was
    /// restarted and its measurements are discarded.
    pub started: Instant,
    /// The version that the target announces, if rollouts are enabled.
    pub version: Option<Name>,
    /// When the target will be warm, if it announces its version and that it is cold.
    pub warm: Option<Instant>,
}
