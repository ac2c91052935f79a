use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use derive_more::Display;
use dw_fakes::{RunningStandin, Standin};
use futures_util::future::join_all;
use thiserror::Error;
use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    Fault, Finding, History, Named, Plan, Schedule, Trouble,
    caller::Caller,
    check,
    check::busiest_window,
    host::Host,
    net::HostAddrs,
    recorder::Recorder,
    schedule::RECOVERY_TIME,
    target::{Incarnation, REPORT_INTERVAL, Target},
};

/// The services of the fleet, assigned to hosts in turn.
const SERVICES: [&str; 2] = ["board", "ledger"];

/// Longest wait for a daemon to become ready, far above what a loaded machine needs.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for all daemons to discover the targets before callers start.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Shortest time between a target's announcement that it is leaving and its end, so that its
/// reports announce it as well.
const LEAVING_NOTICE: Duration = REPORT_INTERVAL;

/// How late a report arrives during [`Fault::LateReport`], after the daemon has started again.
const REPORT_DELAY: Duration = Duration::from_millis(1500);

/// Time until the operator writes again after the store was restored from an older copy.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Delay in each direction of a link during [`Fault::Delay`].
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Delay of each call to the store during [`Fault::StoreSlow`].
const STORE_DELAY: Duration = Duration::from_millis(300);

/// Why a run failed before its checks.
#[derive(Debug, Error)]
pub enum Error {
    /// An operation on a file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The daemon's executable was not found in the build folder.
    #[error("{0} is missing; build it with: cargo build -p dw_sidecar")]
    Program(PathBuf),
    /// The store's stand-in refused the configuration.
    #[error("the configuration cannot be written: {0}")]
    Configuration(String),
    /// A daemon was not ready for callers in time.
    #[error("the fleet did not start in {START_TIMEOUT:?}")]
    Start,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of injected faults by kind.
    pub faults: BTreeMap<String, u32>,
    /// What callers and targets observed.
    pub history: History,
    /// Broken promises.
    pub findings: Vec<Finding>,
}

impl Report {
    /// The number of requests, and of those answered with status 200.
    #[must_use]
    pub fn served(&self) -> (usize, usize) {
        let good = self.history.answers.values().filter(|answer| answer.status == 200).count();
        (self.history.sent.len(), good)
    }

    /// The highest use of a limit: the largest share of the allowed requests that any target got
    /// in 4 s. `None` if no target announced a limit.
    #[must_use]
    pub fn highest_usage(&self) -> Option<LimitUsage> {
        let all = self.history.named.iter().map(|named| {
            let (got, allowed) = busiest_window(&self.history, named);
            LimitUsage { target: named.target.clone(), rate: named.rate, got, allowed }
        });
        all.max_by(|a, b| a.share().total_cmp(&b.share()))
    }
}

/// The most requests that a target got in 4 s while it announced a limit.
#[derive(Clone, Debug, Display)]
#[display("{got} of {allowed} requests in 4 s for {target}, which named {rate} a second")]
pub struct LimitUsage {
    /// Name of the target's incarnation.
    pub target: String,
    /// The announced limit in requests per second.
    pub rate: f64,
    /// Requests that it got.
    pub got: usize,
    /// Requests that are allowed.
    pub allowed: f64,
}

impl LimitUsage {
    fn share(&self) -> f64 {
        f64::from(u32::try_from(self.got).unwrap_or(u32::MAX)) / self.allowed
    }
}

/// Settings of a run, in which a fleet on loopback is exposed to a schedule of faults.
#[derive(Debug)]
pub struct SoakRun {
    hosts: usize,
    callers: usize,
    time: Duration,
    folder: PathBuf,
    fleet_id: u8,
}

impl SoakRun {
    /// Default settings of a run that keeps its logs in `folder`. Fleets that run at the same time
    /// need different values of `fleet_id`, 0 to 100.
    #[must_use]
    pub fn new(folder: &Path, fleet_id: u8) -> Self {
        Self {
            hosts: 8,
            callers: 6,
            time: Duration::from_secs(60),
            folder: folder.into(),
            fleet_id,
        }
    }

    /// Sets the number of hosts, 8 by default.
    #[must_use]
    pub fn with_hosts(self, hosts: usize) -> Self {
        Self { hosts, ..self }
    }

    /// Sets the number of callers of each host, 6 by default.
    #[must_use]
    pub fn with_callers(self, callers: usize) -> Self {
        Self { callers, ..self }
    }

    /// Sets how long callers send requests, 60 s by default.
    #[must_use]
    pub fn with_time(self, time: Duration) -> Self {
        Self { time, ..self }
    }

    /// Injects the faults of the schedule and checks what was observed.
    ///
    /// # Errors
    /// The fleet could not be started, or a fault could not be injected.
    pub async fn run(&self, schedule: &Schedule, seed: u64) -> Result<Report, Error> {
        fs::create_dir_all(&self.folder)?;
        let fleet = Arc::new(Fleet::start(self).await?);
        let begin = fleet.recorder.now();
        let next = Arc::new(AtomicU64::new(1));
        let mut callers = JoinSet::new();
        for idx in 0..self.hosts * self.callers {
            let addrs = HostAddrs::new(idx % self.hosts, self.fleet_id);
            let seed = seed.wrapping_mul(1_000).wrapping_add(idx as u64);
            let caller = Caller::new(addrs, fleet.recorder.clone(), next.clone(), seed);
            callers.spawn(caller.run());
        }
        let mut faults = JoinSet::new();
        let mut counts = BTreeMap::new();
        for plan in schedule.plans.iter().copied() {
            *counts.entry(plan.fault.to_string()).or_default() += 1;
            let fleet = fleet.clone();
            faults.spawn(async move {
                sleep(plan.at).await;
                fleet.apply_fault(plan).await
            });
        }
        sleep(self.time).await;
        callers.shutdown().await;
        for result in faults.join_all().await {
            result?;
        }
        let reporting = fleet.targets.iter().map(|(target, _)| target.name()).collect();
        fleet.recorder.history().reporting = reporting;
        fleet.close().await;
        let history = fleet.recorder.history().clone();
        let findings = check(&history, begin + self.time.saturating_sub(RECOVERY_TIME));
        Ok(Report { faults: counts, history, findings })
    }
}

/// The daemons and stand-ins of a run.
struct Fleet {
    store: RunningStandin,
    recorder: Recorder,
    hosts: Vec<Mutex<Host>>,
    targets: Vec<(Target, Mutex<Option<Incarnation>>)>,
    version: Mutex<u64>,
}

impl Fleet {
    async fn start(settings: &SoakRun) -> Result<Self, Error> {
        let program = program()?;
        let addr = SocketAddr::from(([127, 77, settings.fleet_id, 254], 8627));
        let store = Standin::new().with_addr(addr).start().await?;
        let recorder = Recorder::new();
        let (mut hosts, mut targets) = (Vec::new(), Vec::new());
        for idx in 0..settings.hosts {
            let (addrs, service) =
                (HostAddrs::new(idx, settings.fleet_id), SERVICES[idx % SERVICES.len()]);
            let mut host = Host::new(addrs, service, addr, &program, &settings.folder)?;
            host.start()?;
            let target = Target::new(addrs, service, recorder.clone());
            let incarnation = target.start().await?;
            hosts.push(Mutex::new(host));
            targets.push((target, Mutex::new(Some(incarnation))));
        }
        let fleet = Self { store, recorder, hosts, targets, version: Mutex::new(0) };
        fleet.configure().await?;
        for host in &fleet.hosts {
            let host = host.lock().await;
            timeout(START_TIMEOUT, host.wait_ready()).await.map_err(|_| Error::Start)?;
        }
        sleep(DISCOVERY_TIME).await;
        Ok(fleet)
    }

    /// Writes the next version of the configuration as the operator.
    async fn configure(&self) -> Result<(), Error> {
        let mut version = self.version.lock().await;
        *version += 1;
        self.store.write("op/config", config(*version)).map_err(Error::Configuration)
    }

    async fn apply_fault(&self, Plan { fault, time, .. }: Plan) -> Result<(), Error> {
        match fault {
            Fault::Kill { host } => {
                self.disrupt_host(host, async |host: &mut Host| {
                    host.kill().await;
                    sleep(time).await;
                    host.start()
                })
                .await?;
            }
            Fault::Stop { host: idx } => {
                let mut ended = true;
                self.disrupt_host(idx, async |host: &mut Host| {
                    ended = host.stop().await;
                    sleep(time).await;
                    host.start()
                })
                .await?;
                if !ended {
                    self.recorder.history().overdue.push(idx);
                }
            }
            Fault::Pause { host } => {
                self.disrupt_host(host, async |host: &mut Host| {
                    host.pause(true);
                    sleep(time).await;
                    host.pause(false);
                    Ok(())
                })
                .await?;
            }
            Fault::Limit { host, rate } => self.limit(host, rate, time).await,
            Fault::Leave { host } => {
                let (target, _) = &self.targets[host];
                target.leave();
                sleep(LEAVING_NOTICE + time).await;
                let _ = target.deregister().await;
                self.replace(host, Duration::from_secs(1)).await?;
            }
            Fault::Crash { host } => self.replace(host, time).await?,
            Fault::ForeignReport { host } => self.targets[host].0.report_foreign().await,
            Fault::LateReport { host } => self.report_late(host, time).await?,
            Fault::KillAll => {
                let kill = |host| {
                    self.disrupt_host(host, async |host: &mut Host| {
                        host.kill().await;
                        sleep(time).await;
                        host.start()
                    })
                };
                for result in join_all((0..self.hosts.len()).map(kill)).await {
                    result?;
                }
            }
            Fault::Delay { host } => {
                let (target, _) = &self.targets[host];
                target.update_link(|link| link.delay = LINK_DELAY);
                sleep(time).await;
                target.update_link(|link| link.delay = Duration::ZERO);
            }
            Fault::Reset { host } => self.targets[host].0.update_link(|link| link.resets += 1),
            Fault::Silence { host } => self.targets[host].0.update_link(|link| link.silences += 1),
            Fault::StoreSilence => self.store.silence(),
            Fault::Version => self.configure().await?,
            Fault::StoreDown => {
                self.store.down().await;
                sleep(time).await;
                self.store.up().await;
            }
            Fault::StoreSlow => {
                self.store.slow(STORE_DELAY);
                sleep(time).await;
                self.store.slow(Duration::ZERO);
            }
            Fault::StoreOlder => {
                let copy = self.store.snapshot();
                sleep(time).await;
                self.store.restore(&copy).await;
                sleep(REWRITE_DELAY).await;
                self.configure().await?;
            }
        }
        Ok(())
    }

    /// Applies a fault to a daemon, and records the interval until it is ready again.
    async fn disrupt_host(
        &self,
        idx: usize,
        act: impl AsyncFnOnce(&mut Host) -> io::Result<()>,
    ) -> Result<(), Error> {
        let from = self.recorder.now();
        let mut host = self.hosts[idx].lock().await;
        act(&mut host).await?;
        timeout(START_TIMEOUT, host.wait_ready()).await.map_err(|_| Error::Start)?;
        let trouble = Trouble { host: idx, from, until: self.recorder.now() };
        self.recorder.history().troubles.push(trouble);
        Ok(())
    }

    /// Makes a target announce a limit for some time.
    async fn limit(&self, host: usize, rate: f64, time: Duration) {
        let (target, _) = &self.targets[host];
        let (name, from) = (target.name(), self.recorder.now());
        target.set_limit(Some(rate));
        sleep(time).await;
        let until = self.recorder.now();
        target.set_limit(None);
        self.recorder.history().named.push(Named { target: name, rate, from, until });
    }

    /// Lets a target leave, its daemon forget what it knew, and an earlier report arrive; the target
    /// accepts requests for `time` after that.
    async fn report_late(&self, idx: usize, time: Duration) -> Result<(), Error> {
        let (target, _) = &self.targets[idx];
        target.leave();
        sleep(LEAVING_NOTICE).await;
        if target.deregister().await {
            let departed = (target.name(), self.recorder.now());
            self.recorder.history().departed.push(departed);
        }
        self.disrupt_host(idx, async |host: &mut Host| {
            host.kill().await;
            host.start()
        })
        .await?;
        sleep(REPORT_DELAY).await;
        target.report_late().await;
        sleep(time).await;
        self.replace(idx, Duration::from_secs(1)).await
    }

    /// Ends a target's incarnation, and starts another one at its address some time later.
    async fn replace(&self, host: usize, down: Duration) -> Result<(), Error> {
        let (target, incarnation) = &self.targets[host];
        let mut incarnation = incarnation.lock().await;
        if let Some(incarnation) = incarnation.take() {
            incarnation.close().await;
        }
        sleep(down).await;
        *incarnation = Some(target.start().await?);
        Ok(())
    }

    /// Ends all daemons and targets.
    async fn close(&self) {
        join_all(self.hosts.iter().map(|host| async { host.lock().await.stop().await })).await;
        for (_, incarnation) in &self.targets {
            if let Some(incarnation) = incarnation.lock().await.take() {
                incarnation.close().await;
            }
        }
    }
}

/// Finds the daemon's executable, which is beside this one or, for a test, one folder above.
fn program() -> Result<PathBuf, Error> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("damaskwick-sidecar")).find(|path| path.exists());
    found.ok_or_else(|| Error::Program(own.with_file_name("damaskwick-sidecar")))
}

fn config(version: u64) -> String {
    // Each version differs in a way that callers do not notice.
    let timeout = 1_500 + version % 7;
    format!(
        r#"{{"version":"r{version}","services":[{{"name":"board"}},{{"name":"ledger"}}],"limits":{{}},
        "virtual_hosts":[{{"host":"soak.example","paths":[
          {{"name":"list","path_prefix":"/board/","kind":"safe","timeout_ms":{timeout},
            "target_latency_ms":200,"priority":2,"service":"board","max_attempts":2}},
          {{"name":"post","path_prefix":"/ledger/","kind":"unsafe","timeout_ms":{timeout},
            "target_latency_ms":250,"priority":1,"service":"ledger","max_attempts":2}}]}}]}}"#
    )
}
