use std::{collections::HashMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{
    AttemptOutcome, Endpoint,
    rollout::{
        Comparison, Evidence, EvidenceReport, Judgement, RolloutPolicy, RolloutStep, VersionShare,
    },
};

/// Number of periods for which a daemon tests its own evidence without the leader, for the error
/// probability of the test: ten minutes.
const OWN_PERIODS: u64 = 1200;

/// The rollouts that a daemon knows of: the shares that it follows and the evidence that it collects.
///
/// It addresses a daemon that is cut off from the leader of a rollout: the share of the new version is
/// kept and never raised, and the daemon stops sending to a version that its own evidence shows to be bad.
#[derive(Clone, Debug, Default)]
pub struct RolloutHolder {
    policy: RolloutPolicy,
    services: HashMap<Name, Followed>,
}

/// What a daemon knows of the targets of a service that have another version than the one that is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldTargets {
    /// Requests of this daemon in flight there.
    pub open: u32,
    /// Whether some may receive requests.
    pub live: bool,
}

#[derive(Clone, Debug)]
struct Followed {
    share: VersionShare,
    /// When the leader was last heard.
    heard: Instant,
    evidence: Evidence,
    /// Whether the daemon stopped sending to the new version on its own evidence.
    stopped: bool,
    comparison: Comparison,
    tested: Evidence,
}

impl RolloutHolder {
    /// Whether no rollout is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Takes in a share; returns whether it changes what this daemon does.
    pub fn receive(&mut self, share: VersionShare, now: Instant) -> bool {
        let Some(known) = self.services.get_mut(&share.service) else {
            self.services.insert(share.service.clone(), Followed::new(share, now));
            return true;
        };
        if share.epoch < known.share.epoch {
            return false;
        }
        known.heard = now;
        if share.epoch == known.share.epoch {
            return false;
        }
        if share.number() != known.share.number() {
            *known = Followed::new(share, now);
            return true;
        }
        known.stopped &= share.step != RolloutStep::Complete;
        known.share = share;
        true
    }

    /// The share of a service as this daemon applies it.
    #[must_use]
    pub fn share(&self, service: &Name) -> Option<VersionShare> {
        let known = self.services.get(service)?;
        let mut share = known.share.clone();
        if known.stopped {
            share.step = RolloutStep::RolledBack(crate::rollout::RollbackReason::BadResponses);
            share.share = 0;
        }
        Some(share)
    }

    /// The share of a service as received.
    #[must_use]
    pub fn followed(&self, service: &Name) -> Option<&VersionShare> {
        self.services.get(service).map(|known| &known.share)
    }

    /// All shares as received, for daemons that join.
    pub fn shares(&self) -> impl Iterator<Item = &VersionShare> {
        self.services.values().map(|known| &known.share)
    }

    /// Records the outcome of an attempt at a target. `fair` tells whether a timeout indicates a failure of
    /// the target rather than a short deadline of the caller.
    pub(crate) fn record(
        &mut self,
        endpoint: &Endpoint,
        route: &Name,
        outcome: &AttemptOutcome,
        fair: bool,
        now: Instant,
    ) {
        let Some(known) = self.services.get_mut(&endpoint.service) else { return };
        if !known.share.step.is_running() {
            return;
        }
        let route = known.evidence.route_mut(route);
        let tally = match endpoint.version.as_ref() == Some(&known.share.version) {
            true => &mut route.new,
            false => &mut route.old,
        };
        match outcome_of(outcome, fair) {
            // A cold target is slow whatever its version is.
            Response::Good(_) if endpoint.warm.is_some_and(|warm| now < warm) => {
                tally.record_other();
            }
            Response::Good(time) => tally.record_good(time),
            Response::Failed => tally.record_failed(),
            Response::Other => tally.record_other(),
        }
    }

    /// What to report about the rollouts that run. `old_targets` tells what is known of the targets of a share's
    /// service that have another version than the share.
    pub fn reports(
        &self,
        host: &Name,
        incarnation: u64,
        old_targets: impl Fn(&VersionShare) -> OldTargets,
    ) -> impl Iterator<Item = EvidenceReport> {
        let running = self.services.values().filter(|known| known.share.step.is_running());
        running.map(move |known| {
            let OldTargets { open, live } = old_targets(&known.share);
            EvidenceReport {
                host: host.clone(),
                incarnation,
                service: known.share.service.clone(),
                epoch: known.share.epoch,
                stopped: known.stopped,
                old_open: open,
                old_live: live,
                evidence: known.evidence.clone(),
            }
        })
    }

    /// Tests the own evidence where the leader has not been heard; called once per period. Returns the
    /// services whose new version gets no more requests from this daemon.
    pub fn check(&mut self, now: Instant) -> Vec<Name> {
        let silence = self.policy.silence;
        let mut stopped = Vec::new();
        for (service, known) in &mut self.services {
            if !known.share.step.is_running() || known.stopped {
                continue;
            }
            if let Some(fresh) = known.evidence.since(&known.tested) {
                known.comparison.add(&fresh, true);
                known.tested = known.evidence.clone();
            }
            let silent = now.saturating_duration_since(known.heard) >= silence;
            let bad = known.comparison.judge(OWN_PERIODS) == Judgement::Bad;
            if silent && bad {
                known.stopped = true;
                stopped.push(service.clone());
            }
        }
        stopped
    }
}

impl Followed {
    fn new(share: VersionShare, heard: Instant) -> Self {
        Self {
            share,
            heard,
            evidence: Evidence::default(),
            stopped: false,
            comparison: Comparison::default(),
            tested: Evidence::default(),
        }
    }
}

/// What an outcome says about a version.
enum Response {
    Good(Duration),
    Failed,
    Other,
}

const fn outcome_of(outcome: &AttemptOutcome, fair: bool) -> Response {
    match *outcome {
        AttemptOutcome::Answered { status: 500..=599, .. } => Response::Failed,
        AttemptOutcome::Answered { latency, .. } => Response::Good(latency),
        AttemptOutcome::Unknown { reason: crate::Reason::TimedOut } if !fair => Response::Other,
        AttemptOutcome::Unknown { reason } if crate::retry::verdict::is_final(reason) => {
            Response::Other
        }
        AttemptOutcome::Unknown { .. } => Response::Failed,
        // A refusal depends on the load of one target, and the request continues at another one.
        AttemptOutcome::NotRun { .. } | AttemptOutcome::Cancelled => Response::Other,
    }
}
