use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use dw_daemon::{Daemon, LogLevel, PresetName, Running, Settings, TargetSettings};
use dw_fakes::{Ledger, RunningStandin, RunningTarget, Standin, Target};
use dw_platform::HttpPlatform;
use dw_tables::{Name, Tables, parse_pools, parse_routes};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use http::Request;
use http_body_util::Full;

use super::{
    client::{HttpClient, Reply},
    forwarder::Forwarder,
};
use crate::{fleet::BoxError, publish::publish};

/// Number of hosts, each with one target and one daemon.
pub(crate) const HOSTS: usize = 5;
/// Slots of each target.
pub(crate) const SLOTS: u32 = 12;
/// Connections that each target accepts.
pub(crate) const CONNECTIONS: u32 = 120;
/// Service time of each target.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time to wait after the start, because a keeper answers `unknown` during its first half second; see
/// section 5.4 of the design.
const WARM_UP: Duration = Duration::from_millis(1000);

/// Timeout for the daemons to serve version 1 and to see each other.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const ROUTES: &str = r#"{"routes": [
  {"name": "lookup", "match": {"path": "/lookup"}, "pool": "shop", "repeat": "idempotent",
   "deadline": "1s", "retries": 2},
  {"name": "credit", "match": {"path": "/credit"}, "pool": "shop", "repeat": "once",
   "deadline": "1s", "retries": 1}
]}"#;

const POOLS: &str = r#"{"pools": [
  {"name": "shop", "service": "shop", "limits": {"queue": 24, "queue_wait": "50ms"}}
]}"#;

/// How requests reach the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum Side {
    /// Without a proxy.
    Direct,
    /// Through the baseline proxy.
    Forwarder,
    /// Through the daemon of the caller's host and that of the target's host.
    Damaskwick,
}

/// The addresses to which callers send requests. They change when a daemon is replaced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entries(Arc<RwLock<Vec<SocketAddr>>>);

impl Entries {
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(addrs)))
    }

    /// The address for request `number`, round robin.
    pub(crate) fn at(&self, number: usize) -> Option<SocketAddr> {
        let addrs = self.0.read().unwrap_or_else(PoisonError::into_inner);
        addrs.get(number.checked_rem(addrs.len())?).copied()
    }

    fn replace(&self, index: usize, addr: SocketAddr) {
        let mut addrs = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = addrs.get_mut(index) {
            *slot = addr;
        }
    }
}

/// Adapts a target to a scenario, given its index.
pub(crate) type Build = fn(usize, Target) -> Target;

/// Targets and the proxies in front of them.
pub(crate) struct Testbed {
    pub ledger: Ledger,
    pub targets: Vec<RunningTarget>,
    pub entries: Entries,
    pub daemons: Vec<Option<Running>>,
    standin: Option<RunningStandin>,
    forwarder: Option<Forwarder>,
}

impl Testbed {
    /// Starts targets and, depending on `side`, daemons or the baseline in front of them.
    pub(crate) async fn start(side: Side, build: Build) -> Result<Self, BoxError> {
        let ledger = Ledger::default();
        let mut targets = Vec::new();
        for index in 0..HOSTS {
            let target = Target::new("shop")
                .with_slots(SLOTS as usize)
                .with_connections(CONNECTIONS as usize)
                .with_service_time(SERVICE_TIME)
                .with_ledger(ledger.clone());
            targets.push(build(index, target).start().await?);
        }
        let addrs: Vec<SocketAddr> = targets.iter().map(RunningTarget::addr).collect();
        let mut testbed = Self {
            ledger,
            targets,
            entries: Entries::new(addrs.clone()),
            daemons: Vec::new(),
            standin: None,
            forwarder: None,
        };
        match side {
            Side::Direct => {}
            Side::Forwarder => {
                let forwarder = Forwarder::start(addrs).await?;
                testbed.entries = Entries::new(vec![forwarder.addr()]);
                testbed.forwarder = Some(forwarder);
            }
            Side::Damaskwick => testbed.start_daemons(tables()?, "shop", &addrs).await?,
        }
        Ok(testbed)
    }

    /// Starts daemons in front of targets that the benchmark itself serves.
    pub(crate) async fn with_targets(
        tables: Tables,
        service: &str,
        addrs: &[SocketAddr],
    ) -> Result<Self, BoxError> {
        let mut testbed = Self {
            ledger: Ledger::default(),
            targets: Vec::new(),
            entries: Entries::default(),
            daemons: Vec::new(),
            standin: None,
            forwarder: None,
        };
        testbed.start_daemons(tables, service, addrs).await?;
        Ok(testbed)
    }

    async fn start_daemons(
        &mut self,
        tables: Tables,
        service: &str,
        addrs: &[SocketAddr],
    ) -> Result<(), BoxError> {
        let standin = Standin::new().start().await?;
        publish(&HttpPlatform::new(vec![standin.addr()]), 1, tables).await?;
        self.standin = Some(standin);
        for (index, addr) in addrs.iter().enumerate() {
            let daemon = self.start_daemon(index, service, *addr).await?;
            self.daemons.push(Some(daemon));
        }
        let ready = async {
            for daemon in self.daemons.iter().flatten() {
                daemon.wait_version(1).await;
                daemon.wait_members(|members| members.len() == addrs.len()).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.map_err(|_| "the daemons did not start in time")?;
        let callers = self.daemons.iter().flatten().map(|daemon| daemon.addrs().callers).collect();
        self.entries = Entries::new(callers);
        sleep(WARM_UP).await;
        Ok(())
    }

    async fn start_daemon(
        &self,
        index: usize,
        service: &str,
        target: SocketAddr,
    ) -> Result<Running, BoxError> {
        let platform = self.standin.iter().map(RunningStandin::addr).collect();
        let join = self.daemons.iter().flatten().map(|daemon| daemon.addrs().peers).collect();
        let host = Name::from(format!("host-{index}"));
        let settings = Settings::new(host, "domain".into(), "region".into())
            .with_platform(platform)
            .with_join(join)
            .with_preset(PresetName::Verband)
            .with_log(LogLevel::Off)
            .with_target(TargetSettings {
                service: service.into(),
                address: target,
                slots: SLOTS,
                connections: CONNECTIONS,
                version: None,
            });
        Ok(Daemon::new(settings).start().await?)
    }

    /// Kills a daemon, as a failure of its host would.
    pub(crate) async fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons.get_mut(index).and_then(Option::take) {
            daemon.kill().await;
        }
    }

    /// Starts a new daemon in place of a killed one.
    pub(crate) async fn restart_daemon(&mut self, index: usize) -> Result<(), BoxError> {
        let Some(target) = self.targets.get(index).map(RunningTarget::addr) else { return Ok(()) };
        let daemon = self.start_daemon(index, "shop", target).await?;
        self.entries.replace(index, daemon.addrs().callers);
        if let Some(slot) = self.daemons.get_mut(index) {
            *slot = Some(daemon);
        }
        Ok(())
    }

    /// How often the running daemons did not retry a failed request, by reason.
    pub(crate) async fn not_retried(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for daemon in self.daemons.iter().flatten() {
            let request = Request::get("/reasons").header("host", "admin").body(Full::default());
            let Ok(request) = request else { continue };
            let reply = HttpClient::default().send(daemon.addrs().admin, request).await;
            let Reply::Complete(response) = reply else { continue };
            let rows: BTreeMap<String, BTreeMap<String, u64>> =
                serde_json::from_slice(response.body()).unwrap_or_default();
            for (reason, row) in rows {
                let count = row.get("not_retried").copied().unwrap_or(0);
                if count > 0 {
                    *sums.entry(reason).or_default() += count;
                }
            }
        }
        sums
    }

    /// Closes everything. The daemons are killed, so that none leaves gracefully.
    pub(crate) async fn close(self) {
        let mut tasks = JoinSet::new();
        for daemon in self.daemons.into_iter().flatten() {
            tasks.spawn(daemon.kill());
        }
        if let Some(forwarder) = self.forwarder {
            forwarder.close().await;
        }
        for target in self.targets {
            tasks.spawn(target.close());
        }
        if let Some(standin) = self.standin {
            tasks.spawn(standin.close());
        }
        tasks.join_all().await;
    }
}

fn tables() -> Result<Tables, BoxError> {
    Ok(Tables {
        routes: parse_routes("routes", ROUTES)?,
        pools: parse_pools("pools", POOLS)?,
        ..Tables::default()
    })
}
