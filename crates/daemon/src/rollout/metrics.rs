use dw_request::VersionShare;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// The metrics of rollouts.
pub(crate) struct RolloutCounters {
    shares: Family<ServiceLabel, Gauge>,
    leading: Gauge,
    polls: Counter,
    unanswered: Counter,
}

impl RolloutCounters {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let counters = Self {
            shares: Family::default(),
            leading: Gauge::default(),
            polls: Counter::default(),
            unanswered: Counter::default(),
        };
        let help = "Per mille of the requests that the version of the latest rollout receives";
        registry.register("rollout_share", help, counters.shares.clone());
        let help = "Services whose rollout this daemon leads";
        registry.register("rollout_leading", help, counters.leading.clone());
        let help = "Announcements of shares sent to daemons";
        registry.register("rollout_polls", help, counters.polls.clone());
        let help = "Announcements of shares without a reply";
        registry.register("rollout_unanswered", help, counters.unanswered.clone());
        counters
    }

    /// Sets the share that this daemon applies.
    pub(crate) fn set_share(&self, share: &VersionShare) {
        let label = ServiceLabel { service: share.service.to_string() };
        self.shares.get_or_create(&label).set(i64::from(share.share));
    }

    /// Sets the number of services whose rollout this daemon leads.
    pub(super) fn set_leading(&self, services: usize) {
        self.leading.set(i64::try_from(services).unwrap_or(i64::MAX));
    }

    /// Counts an announcement.
    pub(super) fn polled(&self, answered: bool) {
        self.polls.inc();
        if !answered {
            self.unanswered.inc();
        }
    }
}
