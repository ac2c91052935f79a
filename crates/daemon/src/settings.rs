use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use derive_more::{Display, FromStr};
use dw_log::{LogLevel, LogSettings};
use dw_request::{RetryAfterPolicy, RolloutPolicy};
use dw_tables::{Millis, Name};

mod fields;
mod parse;

pub use parse::parse_settings;

/// The settings of a daemon, which it reads at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the host, unique in the fleet.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The region of the host.
    pub region: Name,
    /// The address for requests of callers, over HTTP/1.1 or HTTP/2.
    pub callers: SocketAddr,
    /// The address for control messages of other daemons: TCP and UDP on the same port.
    pub peers: SocketAddr,
    /// The address for requests of other daemons, over HTTP/2.
    pub data: SocketAddr,
    /// The address of the admin API.
    pub admin: SocketAddr,
    /// The address for datagrams about quotas, over UDP. Other daemons use the same port on the IP address
    /// of their `peers`. `None` if each daemon admits its part of the rate. It is opened only if a version
    /// has a workspace with a limit.
    pub quota: Option<SocketAddr>,
    /// The bandwidth of the host's network link in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
    /// The targets on this host.
    pub targets: Vec<TargetSettings>,
    /// The addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// The peer addresses of daemons through which this one joins the fleet.
    pub join: Vec<SocketAddr>,
    /// Limits of this process.
    pub limits: ProcessLimits,
    /// Whether to favour few control bytes or a short convergence time.
    pub preset: PresetName,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Timeout for requests in flight when the daemon stops.
    pub grace: Millis,
    /// Time after the signal to stop in which new work is still accepted, so that load balancers can
    /// notice that the daemon is not ready and send callers elsewhere.
    pub drain_delay: Millis,
    /// How the time after which refused callers may retry is chosen.
    pub retry_after: RetryAfterPolicy,
    /// Time without a response to a ping after which a connection to another daemon and the requests
    /// on it count as lost.
    pub ping_timeout: Millis,
    /// Time without a request after which a connection to another daemon is closed. An open one costs
    /// both daemons memory for buffers, and a daemon whose load spills over to other domains connects
    /// to the daemons of all targets in the fleet.
    pub idle_timeout: Millis,
    /// The bounds of canary rollouts; `None` if orders for rollouts are not followed.
    pub rollouts: Option<RolloutPolicy>,
}

/// A target on the daemon's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// The service that it runs.
    pub service: Name,
    /// Its HTTP/1.1 address.
    pub address: SocketAddr,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// The version that it runs, by which rollouts tell targets apart.
    pub version: Option<Name>,
}

/// The limits of one daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of requests in flight at the daemon; further ones are refused as not run.
    pub requests: u32,
    /// Maximum number of bytes of a request body that are buffered so that the request can be sent
    /// again.
    pub retry_body: u32,
    /// Maximum number of further targets that a request is sent to after the daemons of earlier ones
    /// refused it.
    pub reroutes: u32,
}

/// The presets that section 3.4 of the design page describes.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum PresetName {
    /// Favours few control bytes.
    #[default]
    Cooperative,
    /// Favours a short convergence time.
    Verband,
}

impl PresetName {
    /// The corresponding preset of the control plane.
    pub(crate) const fn to_mesh(self) -> dw_mesh::PresetName {
        match self {
            Self::Cooperative => dw_mesh::PresetName::Cooperative,
            Self::Verband => dw_mesh::PresetName::Verband,
        }
    }
}

/// The default of `ping_timeout`. A host that has used up its CPU quota stalls for up to 100 ms.
const DEFAULT_PING_TIMEOUT: Millis = Millis::new(350);

/// The default of `idle_timeout`: several times the interval between requests to a target in the same
/// domain.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis::new(5000);

/// The default of `grace`: 30 s.
const DEFAULT_GRACE: Millis = Millis::new(30_000);

impl Settings {
    /// Settings of a host that listens on free ports of the loopback address and has no targets.
    #[must_use]
    pub fn new(host: Name, domain: Name, region: Name) -> Self {
        let unbound = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            host,
            domain,
            region,
            callers: unbound,
            peers: unbound,
            data: unbound,
            admin: unbound,
            quota: None,
            link_mbps: 0,
            targets: Vec::new(),
            platform: Vec::new(),
            join: Vec::new(),
            limits: ProcessLimits::default(),
            preset: PresetName::default(),
            log: LogSettings::default(),
            grace: DEFAULT_GRACE,
            drain_delay: Millis::new(0),
            retry_after: RetryAfterPolicy::default(),
            ping_timeout: DEFAULT_PING_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            rollouts: None,
        }
    }

    /// Adds a target.
    #[must_use]
    pub fn with_target(mut self, target: TargetSettings) -> Self {
        self.targets.push(target);
        self
    }

    /// Sets the addresses of the platform.
    #[must_use]
    pub fn with_platform(mut self, addrs: Vec<SocketAddr>) -> Self {
        self.platform = addrs;
        self
    }

    /// Sets the peers through which the daemon joins the fleet.
    #[must_use]
    pub fn with_join(mut self, addrs: Vec<SocketAddr>) -> Self {
        self.join = addrs;
        self
    }

    /// Sets the preset.
    #[must_use]
    pub const fn with_preset(mut self, preset: PresetName) -> Self {
        self.preset = preset;
        self
    }

    /// Sets the log level.
    #[must_use]
    pub const fn with_log(mut self, level: LogLevel) -> Self {
        self.log.level = level;
        self
    }

    /// Sets the timeout for requests in flight when the daemon stops.
    #[must_use]
    pub const fn with_grace(mut self, grace: Millis) -> Self {
        self.grace = grace;
        self
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        // Buffered bodies take at most 64 MiB together, a quarter of the memory of a daemon.
        Self { requests: 4096, retry_body: 16 * 1024, reroutes: 0 }
    }
}
