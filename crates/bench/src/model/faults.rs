use dw_request::{AttemptOutcome, Reason};
use dw_tables::Name;

use super::{
    fleet::Node,
    scenario::{FaultKind, duration},
    simulation::{Event, Simulation},
};

impl Simulation<'_> {
    /// Applies a fault, and schedules its end.
    pub(super) fn begin_fault(&mut self, fault: usize) {
        match &self.scenario.faults[fault].kind {
            FaultKind::Lose { host } => self.lose_host(*host),
            FaultKind::Restart { down, .. } => {
                (0..self.nodes.len()).for_each(|host| self.stop_host(host));
                self.schedule(self.now + duration(*down), Event::EndFault { fault });
            }
            FaultKind::Slow { host, factor, time } => {
                self.nodes[*host].slowdown = *factor;
                self.schedule(self.now + duration(*time), Event::EndFault { fault });
            }
            FaultKind::Limit { host, rate, time } => {
                // Parsed from text, as the limit that a real target states would be.
                self.nodes[*host].limit = format!("{rate}").parse().ok();
                self.schedule(self.now + duration(*time), Event::EndFault { fault });
            }
            FaultKind::Leave { host, time } => {
                self.nodes[*host].leaving = true;
                self.schedule(self.now + duration(*time), Event::EndFault { fault });
            }
            FaultKind::Refuse { host, share, time } => {
                self.nodes[*host].refused_share = *share;
                self.schedule(self.now + duration(*time), Event::EndFault { fault });
            }
            FaultKind::Burst { factor, time, route } => {
                self.set_burst(route.as_ref(), *factor);
                self.schedule(self.now + duration(*time), Event::EndFault { fault });
            }
        }
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: usize) {
        match &self.scenario.faults[fault].kind {
            FaultKind::Lose { .. } => {}
            FaultKind::Restart { cold, factor, .. } => {
                for idx in 0..self.nodes.len() {
                    if self.nodes[idx].lost {
                        continue;
                    }
                    let restarts = self.nodes[idx].restarts + 1;
                    let cold = Some((self.now + duration(*cold), *factor));
                    self.nodes[idx] = Node { cold, ..self.new_node(idx, self.now, restarts) };
                }
                self.update_endpoints();
            }
            FaultKind::Slow { host, .. } => self.nodes[*host].slowdown = 1.0,
            FaultKind::Limit { host, .. } => self.nodes[*host].limit = None,
            FaultKind::Leave { host, .. } => self.lose_host(*host),
            FaultKind::Refuse { host, .. } => self.nodes[*host].refused_share = 0.0,
            FaultKind::Burst { route, .. } => self.set_burst(route.as_ref(), 1.0),
        }
    }

    /// Sets the factor by which callers send more requests, on one route or on all.
    fn set_burst(&mut self, route: Option<&Name>, factor: f64) {
        for (load, burst) in self.scenario.routes.iter().zip(&mut self.burst_factors) {
            if route.is_none_or(|name| load.name == *name) {
                *burst = factor;
            }
        }
    }

    /// Stops a host for good. The other hosts learn of it after the scenario's notice time.
    fn lose_host(&mut self, host: usize) {
        self.nodes[host].lost = true;
        self.stop_host(host);
        self.schedule(self.now + duration(self.scenario.notice), Event::UpdateEndpoints);
    }

    /// Stops a host. Requests that run or wait there end with an unknown outcome.
    fn stop_host(&mut self, host: usize) {
        self.nodes[host].alive = false;
        for (_, (request, id)) in std::mem::take(&mut self.nodes[host].waiting) {
            let outcome = AttemptOutcome::Unknown { reason: Reason::ConnectionLost };
            self.send_outcome(request, host, id, outcome);
        }
        let mut lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.host == host).map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            if let Some(run) = self.runs.remove(&id) {
                let reason = Reason::ConnectionLost;
                self.send_outcome(
                    run.request,
                    host,
                    run.attempt,
                    AttemptOutcome::Unknown { reason },
                );
            }
        }
    }
}
