use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::Fingerprint;

/// How long an answer shows that the targets survive a request.
const ANSWER_AGE: Duration = Duration::from_secs(10);

/// Requests that are answered again within this time are not recorded again.
const RESOLUTION: Duration = Duration::from_millis(500);

/// Maximum number of remembered answers. The oldest ones are dropped first.
const MAX_ANSWERS: usize = 4096;

/// The requests that targets have answered in the last seconds, by the short form of their fingerprints.
///
/// It addresses a request that many callers send, such as the read of one list: it is in flight at every target, and
/// at those that crash for another reason too.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredRequests {
    times: HashMap<u64, Instant>,
    order: VecDeque<(Instant, u64)>,
}

impl AnsweredRequests {
    /// Records an answer.
    pub(crate) fn record(&mut self, fingerprint: u64, now: Instant) {
        let known = self.times.get(&fingerprint);
        if known.is_some_and(|at| now.saturating_duration_since(*at) < RESOLUTION) {
            return;
        }
        let oldest = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) >= ANSWER_AGE;
        while self.order.len() >= MAX_ANSWERS || self.order.front().is_some_and(oldest) {
            let Some((at, oldest)) = self.order.pop_front() else { break };
            if self.times.get(&oldest) == Some(&at) {
                self.times.remove(&oldest);
            }
        }
        self.times.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
    }

    /// Whether the request was answered in the last seconds.
    pub(crate) fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.contains_short(fingerprint.short(), now)
    }

    /// The same by the short form.
    pub(crate) fn contains_short(&self, fingerprint: u64, now: Instant) -> bool {
        let known = self.times.get(&fingerprint);
        known.is_some_and(|at| now.saturating_duration_since(*at) < ANSWER_AGE)
    }
}
