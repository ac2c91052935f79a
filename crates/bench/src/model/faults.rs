use dw_request::{AttemptOutcome, Reason};

use super::{
    fleet::Node,
    scenario::{FaultKind, span},
    simulation::{Event, World},
};

impl World<'_> {
    /// Begins a fault.
    pub(super) fn fault(&mut self, fault: usize) {
        match &self.scenario.faults[fault].kind {
            FaultKind::Lose { host } => self.lose(*host),
            FaultKind::Restart { down, .. } => {
                (0..self.nodes.len()).for_each(|host| self.take_down(host));
                self.at(self.now + span(*down), Event::Mended { fault });
            }
            FaultKind::Slow { host, factor, time } => {
                self.nodes[*host].factor = *factor;
                self.at(self.now + span(*time), Event::Mended { fault });
            }
            FaultKind::Limit { host, rate, time } => {
                // Written as a target would write it.
                self.nodes[*host].limit = format!("{rate}").parse().ok();
                self.at(self.now + span(*time), Event::Mended { fault });
            }
            FaultKind::Leave { host, time } => {
                self.nodes[*host].leaves = true;
                self.at(self.now + span(*time), Event::Mended { fault });
            }
            FaultKind::Burst { factor, time } => {
                self.burst = *factor;
                self.at(self.now + span(*time), Event::Mended { fault });
            }
        }
    }

    /// Ends a fault.
    pub(super) fn mend(&mut self, fault: usize) {
        match &self.scenario.faults[fault].kind {
            FaultKind::Lose { .. } => {}
            FaultKind::Restart { cold, factor, .. } => {
                for idx in 0..self.nodes.len() {
                    if self.nodes[idx].lost {
                        continue;
                    }
                    let born = self.nodes[idx].born + 1;
                    let cold = Some((self.now + span(*cold), *factor));
                    self.nodes[idx] = Node { cold, ..self.node(idx, self.now, born) };
                }
                self.notice();
            }
            FaultKind::Slow { host, .. } => self.nodes[*host].factor = 1.0,
            FaultKind::Limit { host, .. } => self.nodes[*host].limit = None,
            FaultKind::Leave { host, .. } => self.lose(*host),
            FaultKind::Burst { .. } => self.burst = 1.0,
        }
    }

    /// A host is lost for good, which the others notice some time later.
    fn lose(&mut self, host: usize) {
        self.nodes[host].lost = true;
        self.take_down(host);
        self.at(self.now + span(self.scenario.notice), Event::Notice);
    }

    /// A host stops: what runs and waits there ends without an answer.
    fn take_down(&mut self, host: usize) {
        self.nodes[host].alive = false;
        for (_, (request, id)) in std::mem::take(&mut self.nodes[host].waiting) {
            let outcome = AttemptOutcome::Unknown { reason: Reason::ConnectionLost };
            self.answer(request, host, id, outcome);
        }
        let mut lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.host == host).map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            if let Some(run) = self.runs.remove(&id) {
                let reason = Reason::ConnectionLost;
                self.answer(run.request, host, run.attempt, AttemptOutcome::Unknown { reason });
            }
        }
    }
}
