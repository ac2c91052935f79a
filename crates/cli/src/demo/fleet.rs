use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dw_daemon::{Daemon, LogLevel, Running, Settings, TargetSettings};
use dw_fakes::{Ledger, RunningStandin, RunningTarget, ServiceTime, Standin, Target};
use dw_mesh::MemberState;
use tokio::time::Instant;

use super::{ControlTraffic, Deployment};
use crate::{Exit, Failure};

/// How long a target works on a request.
const SERVICE_TIME: ServiceTime =
    ServiceTime::Uniform { from: Duration::from_millis(1), to: Duration::from_millis(8) };

/// How long a target takes to accept a connection.
const ACCEPT_DELAY: Duration = Duration::from_millis(1);

/// One host with a target and a daemon.
pub(super) struct Host {
    pub(super) name: String,
    pub(super) domain: &'static str,
    pub(super) service: &'static str,
    pub(super) target: RunningTarget,
    settings: Settings,
}

/// The running daemons, by the index of their host. Shared with the task that monitors them.
#[derive(Clone, Default)]
pub(super) struct Daemons(Arc<Mutex<Vec<Option<Arc<Running>>>>>);

/// The stand-in of the platform, and all hosts.
pub(super) struct Fleet {
    pub(super) standin: RunningStandin,
    pub(super) ledger: Ledger,
    pub(super) hosts: Vec<Host>,
    pub(super) daemons: Daemons,
    /// For each host, when its control bytes were first read, and how many there were.
    baselines: Vec<Option<(Instant, u64)>>,
}

impl Daemons {
    /// Locks the daemons. The lock must not be held across an `await`.
    pub(super) fn lock(&self) -> MutexGuard<'_, Vec<Option<Arc<Running>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The daemon of a host, if it runs. The caller must drop it before the host is stopped, because
    /// `take` needs the only reference.
    pub(super) fn get(&self, host: usize) -> Result<Arc<Running>, Failure> {
        let daemon = self.lock().get(host).cloned().flatten();
        daemon.ok_or_else(|| demo_failure(format!("the daemon of host {host} does not run")))
    }

    fn take(&self, host: usize) -> Result<Running, Failure> {
        let daemon = self.lock().get_mut(host).and_then(Option::take);
        let daemon = daemon.and_then(Arc::into_inner);
        daemon.ok_or_else(|| demo_failure(format!("the daemon of host {host} is in use")))
    }

    fn set(&self, host: usize, daemon: Running) {
        if let Some(slot) = self.lock().get_mut(host) {
            *slot = Some(Arc::new(daemon));
        }
    }
}

impl Fleet {
    /// Starts the stand-in of the platform, and a target and a daemon on each host.
    pub(super) async fn start(deployment: Deployment) -> Result<Self, Failure> {
        let standin = Standin::new().start().await.map_err(demo_failure)?;
        let ledger = Ledger::default();
        let mut fleet = Self {
            standin,
            ledger,
            hosts: Vec::new(),
            daemons: Daemons::default(),
            baselines: Vec::new(),
        };
        let services = deployment.services();
        let target_services = services.iter().flat_map(|(name, count)| vec![*name; *count]);
        for (index, service) in target_services.enumerate() {
            let domain = deployment.domains()[index % 4];
            fleet.add_host(deployment, domain, service, index / 4 + 1).await?;
        }
        for index in 0..fleet.hosts.len() {
            fleet.start_daemon(index).await?;
        }
        Ok(fleet)
    }

    async fn add_host(
        &mut self,
        deployment: Deployment,
        domain: &'static str,
        service: &'static str,
        number: usize,
    ) -> Result<(), Failure> {
        let (slots, connections) = deployment.target_size();
        let target = Target::new(service)
            .with_slots(slots as usize)
            .with_connections(connections as usize)
            .with_accept_delay(ACCEPT_DELAY)
            .with_service_time(SERVICE_TIME)
            .with_ledger(self.ledger.clone());
        let target = target.start().await.map_err(demo_failure)?;
        let address = target.addr();
        let name = format!("{domain}-{number}");
        let settings =
            Settings::new(name.as_str().into(), domain.into(), deployment.region().into())
                .with_target(TargetSettings {
                    service: service.into(),
                    address,
                    slots,
                    connections,
                    version: None,
                })
                .with_platform(vec![self.standin.addr()])
                .with_preset(deployment.preset())
                .with_log(LogLevel::Error);
        self.hosts.push(Host { name, domain, service, target, settings });
        self.daemons.lock().push(None);
        Ok(())
    }

    /// Starts the daemon of a host, at the addresses that it had before.
    pub(super) async fn start_daemon(&mut self, host: usize) -> Result<(), Failure> {
        let join = self.join_addrs(host);
        let settings = self.hosts[host].settings.clone().with_join(join);
        let daemon = Daemon::new(settings).start().await.map_err(demo_failure)?;
        let addrs = daemon.addrs();
        let settings = &mut self.hosts[host].settings;
        (settings.callers, settings.peers) = (addrs.callers, addrs.peers);
        (settings.data, settings.admin) = (addrs.data, addrs.admin);
        self.daemons.set(host, daemon);
        // The counters of the new daemon start at 0.
        if let Some(baseline) = self.baselines.get_mut(host) {
            *baseline = None;
        }
        Ok(())
    }

    /// The peer address of one running host in each domain, other than `host`.
    fn join_addrs(&self, host: usize) -> Vec<SocketAddr> {
        let mut domains = Vec::new();
        let mut join = Vec::new();
        for (index, daemon) in self.daemons.lock().iter().enumerate() {
            let domain = self.hosts[index].domain;
            if let Some(daemon) = daemon.as_ref().filter(|_| index != host)
                && !domains.contains(&domain)
            {
                domains.push(domain);
                join.push(daemon.addrs().peers);
            }
        }
        join
    }

    /// Stops a daemon gracefully, as SIGTERM does.
    pub(super) async fn stop(&self, host: usize) -> Result<(), Failure> {
        self.daemons.take(host)?.close().await;
        Ok(())
    }

    /// Simulates the failure of a host: its target and its daemon end at once.
    pub(super) async fn kill(&self, host: usize) -> Result<(), Failure> {
        let daemon = self.daemons.take(host)?;
        tokio::join!(daemon.kill(), self.hosts[host].target.crash());
        Ok(())
    }

    /// Starts a new host in place of one that failed.
    pub(super) async fn replace(&mut self, host: usize) -> Result<(), Failure> {
        self.hosts[host].target.restart().await;
        self.start_daemon(host).await
    }

    /// The address of each host's daemon for callers.
    pub(super) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.settings.callers).collect()
    }

    /// The admin address of one host in each domain.
    pub(super) fn admin_addrs(&self) -> Vec<SocketAddr> {
        let mut seen = Vec::new();
        let new = |host: &&Host| {
            let new = !seen.contains(&host.domain);
            seen.push(host.domain);
            new
        };
        self.hosts.iter().filter(new).map(|host| host.settings.admin).collect()
    }

    /// Whether every daemon knows all hosts as alive.
    pub(super) fn is_joined(&self) -> bool {
        let live = |daemon: &Arc<Running>| {
            daemon.members().iter().filter(|m| m.state == MemberState::Alive).count()
        };
        self.daemons.lock().iter().flatten().all(|daemon| live(daemon) == self.hosts.len())
    }

    /// A host that runs and is a relay, as one of the daemons sees it, other than those in
    /// `excluded`.
    pub(super) fn find_relay(&self, excluded: &[usize]) -> Option<usize> {
        let daemons = self.daemons.lock();
        let members = daemons.iter().flatten().next()?.members();
        self.hosts.iter().enumerate().position(|(index, host)| {
            let member = members.get(host.domain, &host.name);
            !excluded.contains(&index) && member.is_some_and(|m| m.relay && m.state.is_live())
        })
    }

    /// Starts to measure the control traffic of the daemons that run now.
    pub(super) fn start_measuring(&mut self) {
        let bytes = |daemon: &Option<Arc<Running>>| {
            daemon.as_ref().map(|daemon| (Instant::now(), daemon.counters().control_bytes()))
        };
        let baselines = self.daemons.lock().iter().map(bytes).collect();
        self.baselines = baselines;
    }

    /// The control traffic since `start_measuring` of the daemons that have run ever since.
    pub(super) fn control_traffic(&self) -> ControlTraffic {
        let mut control = ControlTraffic::default();
        let mut sum = 0.0;
        for (daemon, baseline) in self.daemons.lock().iter().zip(&self.baselines) {
            let (Some(daemon), Some((since, before))) = (daemon, baseline) else { continue };
            let bytes = daemon.counters().control_bytes().saturating_sub(*before);
            control.seconds = since.elapsed().as_secs_f64();
            let rate = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / control.seconds;
            control.daemons += 1;
            control.max = control.max.max(rate);
            sum += rate;
        }
        control.mean = sum / f64::from(u32::try_from(control.daemons.max(1)).unwrap_or(1));
        control
    }

    /// Ends all daemons and targets, and the stand-in of the platform.
    pub(super) async fn close(self) {
        let daemons: Vec<_> = self.daemons.lock().drain(..).flatten().collect();
        for daemon in daemons.into_iter().filter_map(Arc::into_inner) {
            daemon.kill().await;
        }
        for host in self.hosts {
            host.target.close().await;
        }
        self.standin.close().await;
    }
}

pub(super) fn demo_failure(cause: impl std::fmt::Display) -> Failure {
    Failure::new(Exit::Failed, format!("the demo cannot go on: {cause}"))
}
