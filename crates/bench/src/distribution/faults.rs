use std::{collections::HashSet, net::SocketAddr, time::Duration};

use derive_more::Display;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::measure::{MAX_WAIT, Mode, quantile_ms, usize_to_f64};
use crate::{
    fleet::{BoxError, Fleet},
    publish::{example_tables, publish},
};

/// Duration of the outage of the platform and of the one-way cut.
const FAULT_TIME: Duration = Duration::from_secs(10);

/// A fault that is injected around the publication of a version.
#[derive(Clone, Copy, Debug, Display, Serialize)]
pub(crate) enum Kind {
    #[display("a fifth of the daemons killed")]
    Fifth,
    #[display("a whole domain restarted")]
    Domain,
    #[display("all relays killed")]
    Relays,
    #[display("platform down 10 s")]
    Outage,
    #[display("one domain cut off in one direction for 10 s")]
    OneWay,
}

impl Kind {
    pub(crate) const ALL: [Self; 5] =
        [Self::Fifth, Self::Domain, Self::Relays, Self::Outage, Self::OneWay];
}

/// Convergence times under one fault.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fault {
    pub fault: String,
    pub size: usize,
    /// Milliseconds from acceptance by the platform or, if later, from the end of the fault until a daemon
    /// serves the version: the median, and below it the maximum.
    pub median_ms: f64,
    pub worst_ms: f64,
    pub missing: usize,
}

/// Starts a fleet, waits until it has converged, and publishes a version under the fault.
pub(crate) async fn run(
    kind: Kind,
    size: usize,
    domains: usize,
    rows: usize,
) -> Result<Fault, BoxError> {
    let mut fleet = Fleet::start(size, domains, Mode::Cooperative.preset()).await?;
    publish(&fleet.platform, 1, example_tables(rows, 0)?).await?;
    fleet.wait_version(1, MAX_WAIT).await;
    fleet.wait_members(MAX_WAIT).await;
    let (mut accepted, mut newest) = (Instant::now(), 2);
    match kind {
        Kind::Fifth => {
            publish(&fleet.platform, 2, example_tables(rows, 2)?).await?;
            accepted = Instant::now();
            kill_daemons(&mut fleet, |idx, _| idx % 5 == 0).await;
        }
        Kind::Relays => {
            publish(&fleet.platform, 2, example_tables(rows, 2)?).await?;
            accepted = Instant::now();
            kill_daemons(&mut fleet, |_, relay| relay).await;
        }
        Kind::Domain => {
            let killed = kill_daemons(&mut fleet, |idx, _| idx % domains == 0).await;
            publish(&fleet.platform, 2, example_tables(rows, 2)?).await?;
            accepted = Instant::now();
            for _ in 0..killed {
                fleet.add(0).await?;
            }
        }
        Kind::Outage => {
            fleet.standin.down().await;
            sleep(FAULT_TIME).await;
            fleet.standin.up().await;
            publish(&fleet.platform, 2, example_tables(rows, 2)?).await?;
            accepted = accepted.max(Instant::now());
        }
        Kind::OneWay => {
            let inside: HashSet<_> = peers(&fleet, |idx| idx % domains == 0).collect();
            for (idx, daemon) in fleet.daemons.iter().enumerate() {
                if idx % domains != 0 {
                    daemon.block_peers(inside.clone()).await;
                }
            }
            publish(&fleet.platform, 2, example_tables(rows, 2)?).await?;
            sleep(FAULT_TIME).await;
            for daemon in &fleet.daemons {
                daemon.block_peers(HashSet::new()).await;
            }
            publish(&fleet.platform, 3, example_tables(rows, 3)?).await?;
            accepted = Instant::now();
            newest = 3;
        }
    }
    let elapsed = accepted.elapsed();
    let convergence = fleet.wait_version(newest, MAX_WAIT).await;
    fleet.close().await;
    let times: Vec<Duration> = convergence.times.iter().map(|time| *time + elapsed).collect();
    Ok(Fault {
        fault: kind.to_string(),
        size,
        median_ms: quantile_ms(&times, 0.5),
        worst_ms: if convergence.missing > 0 {
            usize_to_f64(usize::MAX)
        } else {
            quantile_ms(&times, 1.0)
        },
        missing: convergence.missing,
    })
}

fn peers(fleet: &Fleet, pick: impl Fn(usize) -> bool) -> impl Iterator<Item = SocketAddr> {
    let daemons = fleet.daemons.iter().enumerate();
    daemons.filter(move |(idx, _)| pick(*idx)).map(|(_, daemon)| daemon.addrs().peers)
}

/// Kills the daemons for which `pick` returns true, given their index and whether they are relays.
/// Returns how many were killed.
async fn kill_daemons(fleet: &mut Fleet, pick: impl Fn(usize, bool) -> bool) -> usize {
    let relays: Vec<_> = fleet.daemons.iter().map(is_relay).collect();
    let (mut kept, mut killed) = (Vec::new(), 0);
    for (idx, daemon) in std::mem::take(&mut fleet.daemons).into_iter().enumerate() {
        if pick(idx, relays[idx]) {
            daemon.kill().await;
            killed += 1;
        } else {
            kept.push(daemon);
        }
    }
    fleet.daemons = kept;
    killed
}

fn is_relay(daemon: &dw_daemon::Running) -> bool {
    let peer = daemon.addrs().peers;
    daemon.members().iter().any(|member| member.peer == peer && member.relay)
}
