use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use derive_more::{Display, FromStr};
use dw_log::{LogLevel, LogSettings};
use dw_request::RetryAfterPolicy;
use dw_tables::{Millis, Name};

mod fields;
mod parse;

pub use parse::parse_settings;

/// Everything a daemon is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The host's name, unique in the fleet.
    pub host: Name,
    /// The failure domain.
    pub domain: Name,
    /// The region.
    pub region: Name,
    /// Where callers connect, HTTP/1.1 or HTTP/2.
    pub callers: SocketAddr,
    /// Where other daemons send control messages: TCP and UDP on the same port.
    pub peers: SocketAddr,
    /// Where other daemons send requests, HTTP/2.
    pub data: SocketAddr,
    /// Where the admin API listens.
    pub admin: SocketAddr,
    /// The speed of the host's link in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
    /// The targets on this host.
    pub targets: Vec<TargetSettings>,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses of daemons to join through.
    pub join: Vec<SocketAddr>,
    /// Limits of this process.
    pub limits: ProcessLimits,
    /// Whether control bytes or convergence time count more.
    pub preset: PresetName,
    /// Level and format of the log.
    pub log: LogSettings,
    /// The longest wait for requests in flight when the daemon stops.
    pub grace: Millis,
    /// Time from the signal to stop during which new work is still taken, while whoever sends
    /// callers to this host notices that the daemon is not ready.
    pub drain_delay: Millis,
    /// When refused callers are asked to come back.
    pub retry_after: RetryAfterPolicy,
    /// Time without an answer to a ping after which a connection to another daemon counts as lost, with
    /// the requests on it.
    pub ping_timeout: Millis,
    /// Time without a request after which a connection to another daemon is closed. Each open one costs
    /// both daemons its buffers, and where load spills over a daemon meets every target of the fleet.
    pub idle_timeout: Millis,
}

/// One target on the daemon's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// The service it runs.
    pub service: Name,
    /// Its HTTP/1.1 address.
    pub address: SocketAddr,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
}

/// Limits of one daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Requests in flight at the daemon; more are refused as not run.
    pub requests: u32,
    /// Bytes of a request body that are kept so that it can be sent again.
    pub retry_body: u32,
    /// Further targets that a request may be moved to after the daemons beside others refused it.
    pub moves: u32,
}

/// The presets of section 3.4 of the design page.
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
    /// The preset as the control plane names it.
    pub(crate) const fn to_mesh(self) -> dw_mesh::PresetName {
        match self {
            Self::Cooperative => dw_mesh::PresetName::Cooperative,
            Self::Verband => dw_mesh::PresetName::Verband,
        }
    }
}

/// The default of `ping_timeout`. A host whose share of the processor is used up stands still for up to 100 ms.
const DEFAULT_PING_TIMEOUT: Millis = Millis::new(350);

/// The default of `idle_timeout`: several times the pause between two requests to a target of the own domain.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis::new(5000);

/// The default of `grace`: 30 s.
const DEFAULT_GRACE: Millis = Millis::new(30_000);

impl Settings {
    /// Settings of a host that listens on free loopback ports and has no targets.
    #[must_use]
    pub fn new(host: Name, domain: Name, region: Name) -> Self {
        let free = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            host,
            domain,
            region,
            callers: free,
            peers: free,
            data: free,
            admin: free,
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
        }
    }

    /// Adds a target.
    #[must_use]
    pub fn with_target(mut self, target: TargetSettings) -> Self {
        self.targets.push(target);
        self
    }

    /// Sets the platform's addresses.
    #[must_use]
    pub fn with_platform(mut self, addrs: Vec<SocketAddr>) -> Self {
        self.platform = addrs;
        self
    }

    /// Sets the peers to join through.
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

    /// Sets the grace of a stop.
    #[must_use]
    pub const fn with_grace(mut self, grace: Millis) -> Self {
        self.grace = grace;
        self
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        // Together at most 64 MiB of kept bodies, a quarter of the memory of a daemon.
        Self { requests: 4096, retry_body: 16 * 1024, moves: 0 }
    }
}
