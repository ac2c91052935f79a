use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{self, Stdio},
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use dw_daemon::{Daemon, LogLevel, Running, TargetSettings};
use dw_fakes::{RunningStandin, Standin};
use dw_sidecar::{OperatorView, Store, dialect, read_boot};
use tokio::{
    net::TcpListener,
    process::{Child, Command},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    config::{OWN_SERVICE, SERVICES, config, service},
    load::{Counts, call, is_ready, report, serve_target},
    process::{Memory, cpu, maps},
};
use crate::fleet::BoxError;

/// Longest wait for daemons, far above what a loaded machine needs.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two reports of a target, as the settings file states it.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Callers of the measured daemon.
const CALLERS: u32 = 10;

/// Failure domains.
const DOMAINS: usize = 3;

/// The measured daemon in a process of its own, its peers, and a stand-in for the platform's store.
pub(crate) struct Testbed {
    child: Child,
    pid: u32,
    folder: PathBuf,
    standin: RunningStandin,
    target: SocketAddr,
    peers: Vec<Running>,
    size: usize,
    counts: Arc<Counts>,
    tasks: JoinSet<()>,
}

impl Testbed {
    /// Starts the measured daemon, without a configuration and without peers.
    pub(crate) async fn start(size: usize, program: Option<&str>) -> Result<Self, BoxError> {
        let standin = Standin::new().with_rates(None, None).start().await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_target(listener));
        let folder = std::env::temp_dir().join(format!("dw-memory-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let file = folder.join("measured.toml");
        fs::write(&file, settings(0, standin.addr()))?;
        let program = match program {
            Some(program) => PathBuf::from(program),
            None => std::env::current_exe()?.with_file_name("damaskwick-sidecar"),
        };
        let child = Command::new(program)
            .arg("--config")
            .arg(&file)
            .env("MALLOC_ARENA_MAX", "1")
            .stdout(Stdio::from(fs::File::create(folder.join("measured.log"))?))
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().ok_or("the daemon ended at once")?;
        tasks.spawn(report(addr(8620), target, service(OWN_SERVICE), HEARTBEAT));
        let (peers, counts) = (Vec::new(), Arc::default());
        Ok(Self { child, pid, folder, standin, target, peers, size, counts, tasks })
    }

    /// Writes the operator's configuration `number` with this many idle routes.
    pub(crate) fn write(&self, number: u64, idle: usize) -> Result<(), BoxError> {
        let text = config(number, idle).to_string();
        self.standin.write("op/config", text).map_err(io::Error::other)?;
        Ok(())
    }

    /// Waits until the measured daemon is ready for callers.
    pub(crate) async fn wait_ready(&self) -> Result<(), BoxError> {
        let ready = async {
            while !is_ready(addr(8625)).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.map_err(|_| "the daemon did not become ready".into())
    }

    /// Starts the peers and waits until they know each other and the measured daemon.
    pub(crate) async fn start_peers(&mut self) -> Result<(), BoxError> {
        for idx in 1..=self.size {
            let peer = self.start_peer(idx).await?;
            self.peers.push(peer);
        }
        let (size, peers) = (self.size + 1, &self.peers);
        let joined = async {
            for peer in peers {
                peer.wait_version(1).await;
                peer.wait_members(|members| members.len() >= size).await;
            }
        };
        timeout(START_TIMEOUT, joined).await.map_err(|_| "the peers did not start in time".into())
    }

    async fn start_peer(&self, idx: usize) -> Result<Running, BoxError> {
        let boot = read_boot(&settings(idx, self.standin.addr()))?;
        let mut settings = boot.settings;
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        (settings.callers, settings.data) = (free, free);
        (settings.peers, settings.admin) = (free, free);
        settings.log.level = LogLevel::Off;
        let own = service(idx % SERVICES);
        let settings = settings.with_target(TargetSettings {
            service: own.as_str().into(),
            address: self.target,
            slots: 12,
            connections: 24,
            version: None,
        });
        let dialect = dialect(&own, boot.capacity);
        let daemon = Daemon::new(settings).with_preset(boot.preset).with_dialect(dialect);
        Ok(daemon.start_on(Some(OperatorView::new(Store::new(self.standin.addr())))).await?)
    }

    /// Starts callers of the measured daemon, and callers of the peers for the service of its target, each
    /// with `rate` requests a second together.
    pub(crate) fn start_load(&mut self, rate: u32) {
        let pause = Duration::from_secs(1) * CALLERS / rate.max(1);
        for _ in 0..CALLERS {
            self.tasks.spawn(call(addr(8629), 0..SERVICES, pause, self.counts.clone()));
        }
        // The measured daemon gets its share of the requests for its service.
        let own = 1 + (1..=self.size).filter(|idx| idx % SERVICES == OWN_SERVICE).count();
        let total = rate * u32::try_from(own).unwrap_or(1);
        let pause = Duration::from_secs(1) * u32::try_from(self.peers.len()).unwrap_or(1) / total;
        for peer in &self.peers {
            let addr = peer.addrs().callers;
            self.tasks.spawn(call(addr, OWN_SERVICE..OWN_SERVICE + 1, pause, self.counts.clone()));
        }
    }

    pub(crate) fn memory(&self) -> Result<Memory, BoxError> {
        Ok(Memory::of(self.pid)?)
    }

    pub(crate) fn cpu(&self) -> Duration {
        cpu(self.pid)
    }

    pub(crate) fn maps(&self) -> Result<Vec<(String, u64)>, BoxError> {
        Ok(maps(self.pid)?)
    }

    pub(crate) fn sent(&self) -> u64 {
        self.counts.sent.load(Ordering::Relaxed)
    }

    /// Failed requests by what the caller saw.
    pub(crate) fn failed(&self) -> BTreeMap<String, u64> {
        self.counts.failed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) async fn close(mut self) {
        self.tasks.shutdown().await;
        // Fails if the process has already ended.
        let _ = self.child.kill().await;
        for peer in self.peers {
            peer.kill().await;
        }
        self.standin.close().await;
        // The folder of temporary files is cleaned by the system as well.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An address of the measured daemon; its own loopback address leaves its ports free.
fn addr(port: u16) -> SocketAddr {
    let [_, _, high, low] = process::id().to_be_bytes();
    SocketAddr::from(([127, 78, high, low.max(1)], port))
}

fn settings(idx: usize, store: SocketAddr) -> String {
    format!(
        r#"[self]
node_name = "host-{idx}"
zone = "domain-{domain}"
region = "bench"
service = "{service}"
[self.limits]
link_mbps = 200.0
[network]
internal_ports = [7600,7615]
[network.listen_addrs]
outbound = "{callers}"
ready = "{ready}"
control = "{control}"
[platform]
heartbeat_ms = 1500
[platform.platform]
address = "{store}"
[terms.bounds]
grace_s = 6
config_apply_ms = 2500
"#,
        domain = idx % DOMAINS,
        service = service(idx % SERVICES),
        callers = addr(8629),
        ready = addr(8625),
        control = addr(8620),
    )
}
