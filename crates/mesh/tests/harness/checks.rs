//! Queries and checks of the simulated fleet.

use dw_mesh::{Counter, RolloutState, Status};

use super::World;

impl World {
    /// Returns the status that a host reports.
    pub(crate) fn status(&self, id: usize) -> Status {
        self.hosts[id].node.as_ref().expect("a running process").status()
    }

    /// Returns the hosts that are relays in their own view.
    pub(crate) fn relays(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|id| {
                let host = &self.hosts[*id];
                host.node.as_ref().is_some_and(|node| {
                    let table = node.members();
                    table.get(&host.cfg.domain, &host.cfg.host).is_some_and(|m| m.relay)
                })
            })
            .collect()
    }

    /// Asserts that all running processes serve the newest version, each domain has a relay, and
    /// all relays report the version in force.
    pub(crate) fn expect_converged(&self) {
        let newest = self.accepted.last().map(|v| v.id()).unwrap_or_default();
        let seed = self.seed;
        for host in self.hosts.iter().filter(|host| host.node.is_some()) {
            let name = &host.cfg.host;
            assert_eq!(host.served, newest, "seed {seed}: {name} did not converge");
        }
        let relays = self.relays();
        for host in self.hosts.iter().filter(|host| host.node.is_some()) {
            let domain = &host.cfg.domain;
            let has_relay = relays.iter().any(|id| self.hosts[*id].cfg.domain == *domain);
            assert!(has_relay, "seed {seed}: {domain} has no relay");
        }
        for id in relays {
            let status = self.status(id);
            assert_eq!(status.state, RolloutState::InForce, "seed {seed}: {status:?}");
        }
    }

    /// Returns the sum of a counter over all hosts.
    pub(crate) fn total(&self, counter: Counter) -> u64 {
        self.hosts.iter().filter_map(|host| host.counts.get(&counter)).sum()
    }
}
