use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use dw_log::{Event, Field, Kind, Log, LogError};
use dw_mesh::{Member, Node, NodeConfig, Preset, Target};
use dw_platform::{HttpPlatform, Platform};
use thiserror::Error;
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Handle,
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    Dialect, Running, Settings, TargetSettings,
    admin::Admin,
    counters::Counters,
    departures::Departures,
    link::{Datagrams, Links},
    node::{NodeTask, View},
    platform::PlatformTask,
    proxy::{Proxy, Server},
    quota::Quota,
    rollout::{RolloutHandle, RolloutTask},
    running::Addrs,
    scheduling::{DelayProbe, Plane},
    tasks::Tasks,
    tombstones::TombstoneTask,
};

/// Capacity of the channel to each task, in messages. Senders wait while it is full; datagrams are
/// dropped.
const CHANNEL_CAPACITY: usize = 1024;

/// How often another port is tried when a free TCP port is in use for UDP.
const MAX_PORT_RETRIES: u32 = 16;

/// A daemon that has not been started.
#[derive(Clone, Debug)]
pub struct Daemon {
    settings: Settings,
    preset: Preset,
    dialect: Dialect,
    log: Option<Log>,
    control: Option<Handle>,
}

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {addr} for {purpose}: {source}")]
    Listen {
        /// The name of the address in the settings.
        purpose: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log cannot be set up.
    #[error("{0}")]
    Log(#[from] LogError),
}

/// The sockets of a daemon.
struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    data: TcpListener,
    admin: TcpListener,
    addrs: Addrs,
}

impl Daemon {
    /// A daemon with the given settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let preset = Preset::new(settings.preset.to_mesh());
        Self { settings, preset, dialect: Dialect::default(), log: None, control: None }
    }

    /// Replaces the control plane's periods and fan-outs, which otherwise come from the preset of the
    /// settings.
    #[must_use]
    pub const fn with_preset(mut self, preset: Preset) -> Self {
        self.preset = preset;
        self
    }

    /// Replaces the header names used with callers and targets.
    #[must_use]
    pub fn with_dialect(mut self, dialect: Dialect) -> Self {
        self.dialect = dialect;
        self
    }

    /// Replaces the log that the settings describe.
    #[must_use]
    pub fn with_log(mut self, log: Log) -> Self {
        self.log = Some(log);
        self
    }

    /// Replaces the runtime of the control plane, which otherwise shares the current one with requests; see
    /// [`ControlThread`](crate::ControlThread).
    #[must_use]
    pub fn with_control(mut self, runtime: Handle) -> Self {
        self.control = Some(runtime);
        self
    }

    /// Listens on all addresses and starts the daemon's tasks.
    ///
    /// # Errors
    /// An address that cannot be listened on, or a log that cannot be set up.
    pub async fn start(self) -> Result<Running, StartError> {
        let addrs = &self.settings.platform;
        let client = (!addrs.is_empty()).then(|| HttpPlatform::new(addrs.clone()));
        self.start_on(client).await
    }

    /// Starts the daemon with a platform client other than that of the settings; `None` for none.
    ///
    /// # Errors
    /// An address that cannot be listened on, or a log that cannot be set up.
    pub async fn start_on<P: Platform>(self, platform: Option<P>) -> Result<Running, StartError> {
        let Self { mut settings, preset, dialect, log, control } = self;
        let log = match log {
            Some(log) => log,
            None => Log::new(settings.log, settings.host.clone())?,
        };
        let sockets = Sockets::bind(&settings, control.as_ref()).await?;
        // Replaces the ports that were 0 with those that the system chose.
        let addrs = sockets.addrs;
        (settings.callers, settings.peers) = (addrs.callers, addrs.peers);
        (settings.data, settings.admin) = (addrs.data, addrs.admin);
        let options = LaunchOptions { preset, dialect, control, platform };
        Ok(launch(&settings, options, sockets, log))
    }
}

/// What `launch` needs besides the settings.
struct LaunchOptions<P> {
    preset: Preset,
    dialect: Dialect,
    control: Option<Handle>,
    platform: Option<P>,
}

fn launch<P: Platform>(
    settings: &Settings,
    options: LaunchOptions<P>,
    sockets: Sockets,
    log: Log,
) -> Running {
    let (requests, counters) = (Handle::current(), Counters::default());
    let control = options.control.unwrap_or_else(|| requests.clone());
    let tasks = Tasks::new(requests);
    let control = tasks.with_runtime(control);
    let (node_tx, node_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (links_tx, links_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (datagrams_tx, datagrams_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (platform_tx, platform_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (view_tx, view) = watch::channel(View::default());

    let config = node_config(settings, options.preset);
    let own = Member::new(&config);
    let proxy = Proxy::new(settings, options.dialect, own, counters.clone(), log.clone(), &tasks);
    proxy.set_node(node_tx.clone());

    let links = Links {
        host: settings.host.clone(),
        peer: settings.peers,
        control: links_tx.clone(),
        node: node_tx.clone(),
        counters: counters.clone(),
        tasks: control.clone(),
    };
    control.spawn(links.clone().accept(sockets.peers));
    control.spawn(links.run(links_rx));
    let datagrams =
        Datagrams { socket: sockets.datagrams, node: node_tx.clone(), counters: counters.clone() };
    control.spawn(datagrams.run(datagrams_rx));
    let quota = Quota {
        handle: proxy.quota.clone(),
        addr: settings.quota,
        counters: counters.clone(),
        log: log.clone(),
    };
    control.spawn(quota.run());
    if let Some(policy) = settings.rollouts {
        let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let handle = RolloutHandle::new(tx);
        proxy.set_rollouts(handle.clone());
        let rollouts = RolloutTask {
            client: options.platform.clone(),
            proxy: proxy.clone(),
            handle,
            host: settings.host.clone(),
            policy,
            counters: counters.clone(),
            log: log.clone(),
            tasks: control.clone(),
        };
        control.spawn(rollouts.run(rx));
    }
    let (departures, _) = watch::channel(Departures::default());
    let tombstones = TombstoneTask {
        client: options.platform.clone(),
        host: settings.host.clone(),
        departures: departures.clone(),
        counters: counters.clone(),
        log: log.clone(),
        tasks: control.clone(),
    };
    let tombstones = tombstones.start(CHANNEL_CAPACITY);
    let platform = PlatformTask {
        client: options.platform,
        domain: settings.domain.clone(),
        node: node_tx.clone(),
        counters: counters.clone(),
        tasks: control.clone(),
        leases: Arc::default(),
    };
    control.spawn(platform.run(platform_rx));
    let node = NodeTask {
        node: Node::new(config, Instant::now()),
        blocked: HashSet::new(),
        proxy: proxy.clone(),
        links: links_tx,
        datagrams: datagrams_tx,
        platform: platform_tx,
        view: view_tx,
        departures,
        counters: counters.clone(),
        log: log.clone(),
    };
    control.spawn(node.run(node_rx));

    for (plane, tasks) in [(Plane::Requests, &tasks), (Plane::Control, &control)] {
        let probe = DelayProbe { plane, counters: counters.clone(), log: log.clone() };
        tasks.spawn(probe.run());
    }

    tasks.spawn(proxy.clone().sweep());
    tasks.spawn(proxy.clone().prune_connections(settings.idle_timeout.into()));
    tasks.spawn(proxy.clone().follow_members(view.clone()));
    let server = Server {
        proxy: proxy.clone(),
        tasks: tasks.clone(),
        drain: Default::default(),
        stop: Default::default(),
        close_idle: Default::default(),
        connections: Default::default(),
    };
    tasks.spawn(server.clone().serve_callers(sockets.callers));
    tasks.spawn(server.clone().serve_daemons(sockets.data));
    let admin = Admin {
        view: view.clone(),
        node: node_tx.clone(),
        proxy: proxy.clone(),
        counters: counters.clone(),
        log: log.clone(),
        tasks: tasks.clone(),
    };
    tasks.spawn(admin.run(sockets.admin));
    log_start(settings, &log);
    Running {
        addrs: sockets.addrs,
        grace: settings.grace.into(),
        drain_delay: settings.drain_delay,
        stopping: AtomicBool::new(false),
        view,
        node: node_tx,
        proxy,
        server,
        tombstones,
        counters,
        log,
        tasks,
    }
}

fn log_start(settings: &Settings, log: &Log) {
    let Settings { domain, callers, peers, data, admin, .. } = settings;
    let address = format!("callers {callers}, peers {peers}, data {data}, admin {admin}");
    let event = Event::new(Kind::Started).with(Field::Domain, domain);
    log.write(&event.with(Field::Address, address));
}

fn node_config(settings: &Settings, preset: Preset) -> NodeConfig {
    let target = |(target, index): (&TargetSettings, u32)| Target {
        index,
        service: target.service.clone(),
        slots: target.slots,
        connections: target.connections,
        draining: false,
        started: 0,
        version: target.version.clone(),
        warm: None,
    };
    let (host, domain) = (settings.host.clone(), settings.domain.clone());
    NodeConfig {
        incarnation: crate::clock::unix_ms(),
        region: settings.region.clone(),
        link: settings.link_mbps,
        targets: settings.targets.iter().zip(0..).map(target).collect(),
        preset,
        join: settings.join.clone(),
        seed: rand::random(),
        ..NodeConfig::new(host, domain, settings.peers, settings.data)
    }
}

impl Sockets {
    /// Binds all sockets, those of the control plane on its runtime.
    async fn bind(settings: &Settings, control: Option<&Handle>) -> Result<Self, StartError> {
        let callers = listen("callers", settings.callers).await?;
        let (peers, datagrams) = match control {
            Some(runtime) => {
                let addr = settings.peers;
                let failed = |error| StartError::Listen {
                    purpose: "peers",
                    addr,
                    source: io::Error::other(error),
                };
                runtime.spawn(listen_peers(addr)).await.map_err(failed)??
            }
            None => listen_peers(settings.peers).await?,
        };
        let data = listen("data", settings.data).await?;
        let admin = listen("admin", settings.admin).await?;
        let addrs = Addrs {
            callers: bound_addr("callers", &callers)?,
            peers: bound_addr("peers", &peers)?,
            data: bound_addr("data", &data)?,
            admin: bound_addr("admin", &admin)?,
        };
        Ok(Self { callers, peers, datagrams, data, admin, addrs })
    }
}

async fn listen(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|source| StartError::Listen { purpose, addr, source })
}

/// Binds TCP and UDP to the same port. If a free TCP port is in use for UDP, another one is tried.
async fn listen_peers(addr: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let purpose = "peers";
    let mut retries = MAX_PORT_RETRIES;
    loop {
        let listener = listen(purpose, addr).await?;
        let bound = bound_addr(purpose, &listener)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if addr.port() == 0 && retries > 0 => retries -= 1,
            Err(source) => return Err(StartError::Listen { purpose, addr: bound, source }),
        }
    }
}

fn bound_addr(purpose: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    let addr = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| StartError::Listen { purpose, addr, source })
}
