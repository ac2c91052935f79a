use std::time::Duration;

use prometheus_client::{
    metrics::{
        counter::Counter,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The counters of quotas, over all workspaces: with 10,000 of them, a series for each would cost more
/// than the rest of the metrics.
pub(crate) struct QuotaCounters {
    granted: Counter,
    denied: Counter,
    fallback: Counter,
    questions: Counter,
    answers: Histogram,
}

impl QuotaCounters {
    /// Creates the counters and registers them.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let counters = Self {
            granted: Counter::default(),
            denied: Counter::default(),
            fallback: Counter::default(),
            questions: Counter::default(),
            // From 0.1 ms to 102 ms; a request waits 80 ms at most.
            answers: Histogram::new(exponential_buckets(0.000_1, 2.0, 11)),
        };
        for (name, help, counter) in [
            ("quota_granted", "Requests admitted by a quota", &counters.granted),
            ("quota_denied", "Requests refused by a quota", &counters.denied),
            ("quota_fallback", "Times that an owner stopped answering", &counters.fallback),
            ("quota_questions", "Credit requests sent to owners", &counters.questions),
        ] {
            registry.register(name, help, counter.clone());
        }
        let help = "Time until the answer to a credit request";
        registry.register("quota_answer_seconds", help, counters.answers.clone());
        counters
    }

    /// Counts a request that was admitted.
    pub(super) fn granted(&self) {
        self.granted.inc();
    }

    /// Counts a request that was refused.
    pub(super) fn denied(&self) {
        self.denied.inc();
    }

    /// Counts an owner that stopped answering.
    pub(super) fn fallback(&self) {
        self.fallback.inc();
    }

    /// Counts credit requests that are sent.
    pub(super) fn asked(&self, count: usize) {
        self.questions.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Observes the time until an answer.
    pub(super) fn answered(&self, time: Duration) {
        self.answers.observe(time.as_secs_f64());
    }
}
