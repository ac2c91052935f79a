use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dw_daemon::{Daemon, LogLevel, Running, Settings, TargetSettings};
use dw_fakes::{RunningStandin, Standin};
use dw_mesh::Preset;
use dw_platform::HttpPlatform;
use dw_tables::Name;
use tokio::time::{Instant, sleep};

/// An error that ends a benchmark.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Interval at which the served versions are read while waiting for a version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Daemons of several failure domains that run in this process, with a stand-in for the platform.
pub(crate) struct Fleet {
    pub standin: RunningStandin,
    pub platform: HttpPlatform,
    pub daemons: Vec<Running>,
    pub domains: usize,
    preset: Preset,
    seeds: Vec<SocketAddr>,
    started: usize,
}

impl Fleet {
    /// Starts `size` daemons spread evenly over `domains` failure domains.
    pub(crate) async fn start(
        size: usize,
        domains: usize,
        preset: Preset,
    ) -> Result<Self, BoxError> {
        let standin = Standin::new().start().await?;
        let platform = HttpPlatform::new(vec![standin.addr()]);
        let mut fleet = Self {
            standin,
            platform,
            daemons: Vec::new(),
            domains,
            preset,
            seeds: Vec::new(),
            started: 0,
        };
        for idx in 0..size {
            fleet.add(idx % domains).await?;
        }
        Ok(fleet)
    }

    /// Starts another daemon in `domain` under a new host name.
    pub(crate) async fn add(&mut self, domain: usize) -> Result<(), BoxError> {
        let host = Name::from(format!("host-{}", self.started));
        self.started += 1;
        let target = TargetSettings {
            service: Name::from(format!("service-{}", self.started % 120)),
            address: ([127, 0, 0, 1], 9).into(),
            slots: 12,
            connections: 120,
            version: None,
        };
        let daemon = Daemon::new(
            Settings::new(host, Name::from(format!("domain-{domain}")), "region".into())
                .with_platform(vec![self.standin.addr()])
                .with_join(self.seeds.clone())
                .with_target(target)
                .with_log(LogLevel::Off),
        )
        .with_preset(self.preset.clone())
        .start()
        .await?;
        if self.seeds.len() < self.domains {
            self.seeds.push(daemon.addrs().peers);
        }
        self.daemons.push(daemon);
        Ok(())
    }

    /// Waits until every daemon sees all daemons as live members, and returns the time it took, or `None`
    /// after `limit`.
    pub(crate) async fn wait_members(&self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        let sees_all = |d: &Running| {
            d.members().iter().filter(|m| m.state.is_live()).count() == self.daemons.len()
        };
        while start.elapsed() < limit {
            if self.daemons.iter().all(sees_all) {
                return Some(start.elapsed());
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Waits until every daemon serves version `number` or a later one, at most for `limit`.
    pub(crate) async fn wait_version(&self, number: u64, limit: Duration) -> Convergence {
        let start = Instant::now();
        let mut times = Vec::with_capacity(self.daemons.len());
        let mut pending: Vec<&Running> = self.daemons.iter().collect();
        while !pending.is_empty() && start.elapsed() < limit {
            pending.retain(|daemon| {
                let done = daemon.served().number >= number;
                if done {
                    times.push(start.elapsed());
                }
                !done
            });
            sleep(POLL_INTERVAL).await;
        }
        times.sort_unstable();
        pending.iter().take(3).for_each(|daemon| print_late_daemon(daemon, number));
        Convergence { times, missing: pending.len() }
    }

    /// Bytes of control traffic that all daemons have sent.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.daemons.iter().map(|d| d.counters().sent.values().sum::<u64>()).sum()
    }

    /// Bytes of control traffic that all daemons have sent, by message kind.
    pub(crate) fn sent_bytes_by_kind(&self) -> BTreeMap<&'static str, u64> {
        let mut sum = BTreeMap::new();
        for daemon in &self.daemons {
            for (kind, bytes) in daemon.counters().sent {
                *sum.entry(kind).or_default() += bytes;
            }
        }
        sum
    }

    /// Kills all daemons, so that none leaves gracefully, then closes the stand-in.
    pub(crate) async fn close(self) {
        for daemon in self.daemons {
            daemon.kill().await;
        }
        self.standin.close().await;
    }
}

/// Prints the traffic of a daemon that missed a version, to help find the cause.
#[allow(clippy::print_stdout)]
fn print_late_daemon(daemon: &Running, number: u64) {
    let (served, members) = (daemon.served().number, daemon.members().len());
    let counts = daemon.counters();
    println!(
        "late: version {number} at {}, which serves {served} and sees {members} members; sent {:?}, \
         received {:?}",
        daemon.addrs().peers,
        counts.sent,
        counts.received
    );
}

/// When each daemon first served a version, measured from when the wait began.
#[derive(Debug, Default)]
pub(crate) struct Convergence {
    /// Times of the daemons that served it, in ascending order.
    pub times: Vec<Duration>,
    /// Number of daemons that did not serve it within the limit.
    pub missing: usize,
}
