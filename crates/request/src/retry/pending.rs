use std::{collections::VecDeque, sync::Arc, time::Duration};

use dw_tables::{Name, Route};
use tokio::time::Instant;

use crate::{Basis, Endpoint, Fingerprint, Goal};

/// Maximum number of attempts without a response that are kept to report the death of a target.
const MAX_LOST_ATTEMPTS: usize = 1024;

/// How long an attempt without a response is kept. This is longer than membership takes to declare a
/// daemon dead, so that the attempts are still known when a death is noticed.
const LOST_ATTEMPT_AGE: Duration = Duration::from_secs(15);

/// A request with an attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// Key of the pool in [`crate::Dispatcher`].
    pub(crate) pool: u64,
    pub(crate) route: Arc<Route>,
    pub(crate) endpoint: Arc<Endpoint>,
    /// The target of the current attempt.
    pub(crate) uid: u64,
    pub(crate) basis: Basis,
    /// The configuration version that the request began with.
    pub(crate) version: u64,
    /// The targets of earlier attempts.
    pub(crate) tried: Vec<u64>,
    /// The targets that asked to be left alone until a time.
    pub(crate) hints: Vec<(u64, Instant)>,
    /// How many of the attempts at `tried` were refused before their target was contacted, so that
    /// the request was rerouted.
    pub(crate) reroutes: u32,
    pub(crate) deadline: Instant,
    /// Time limit of the current attempt.
    pub(crate) timeout: Duration,
    pub(crate) depth: u8,
    pub(crate) goal: Goal,
    /// Whether another level of the call chain retries.
    pub(crate) retried: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) unknown: bool,
    pub(crate) fingerprint: Option<Fingerprint>,
}

impl PendingRequest {
    /// How long the target asked to be left alone from `now` on.
    pub(crate) fn hint(&self, uid: u64, now: Instant) -> Duration {
        let hints = self.hints.iter().filter(|(known, _)| *known == uid);
        hints.map(|(_, until)| until.saturating_duration_since(now)).max().unwrap_or_default()
    }
}

/// Recent attempts that ended without a response.
#[derive(Debug, Default)]
pub(crate) struct LostAttempts {
    list: VecDeque<(Instant, Arc<Endpoint>, Fingerprint)>,
}

impl LostAttempts {
    pub(crate) fn push(
        &mut self,
        endpoint: &Arc<Endpoint>,
        fingerprint: Fingerprint,
        now: Instant,
    ) {
        self.expire(now);
        if self.list.len() >= MAX_LOST_ATTEMPTS {
            self.list.pop_front();
        }
        self.list.push_back((now, Arc::clone(endpoint), fingerprint));
    }

    /// The requests whose recent attempts at a target ended without a response.
    pub(crate) fn at(
        &mut self,
        host: &Name,
        target: u16,
        now: Instant,
    ) -> impl Iterator<Item = Fingerprint> {
        self.expire(now);
        self.list
            .iter()
            .filter(move |(_, e, _)| e.host == *host && e.target == target)
            .map(|(_, _, fingerprint)| *fingerprint)
    }

    fn expire(&mut self, now: Instant) {
        while self
            .list
            .front()
            .is_some_and(|(at, ..)| now.saturating_duration_since(*at) > LOST_ATTEMPT_AGE)
        {
            self.list.pop_front();
        }
    }
}
