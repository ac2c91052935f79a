use std::time::Duration;

use tokio::time::Instant;

use crate::gate::Kind;

/// Time constant of the exponential decay of samples. A change of speed shows within a few seconds, and
/// a target with 20 requests per second averages over 20 of them.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Maximum number of kinds of requests that are distinguished at one target.
const MAX_KINDS: usize = 16;

/// Shortest service time that is distinguished; the logarithm of zero is not finite.
const MIN_SERVICE_TIME: Duration = Duration::from_micros(10);

/// Typical service times at one target by kind of request, for targets of unequal or varying speed.
///
/// The typical time is the geometric mean: a few requests that take many times as long as others of their
/// kind, as of one user with very many records, would dominate an arithmetic one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    kinds: Vec<Samples>,
}

#[derive(Clone, Copy, Debug)]
struct Samples {
    /// `None` for requests without a goal.
    kind: Option<Kind>,
    /// Decaying sum of the logarithms of the times in seconds.
    sum: f64,
    /// Decaying number of samples.
    weight: f64,
    newest: Instant,
}

impl Pace {
    /// Records the service time of one request.
    pub(crate) fn observe(&mut self, kind: Option<Kind>, took: Duration, now: Instant) {
        let new = took.max(MIN_SERVICE_TIME).as_secs_f64().ln();
        if let Some(known) = self.kinds.iter_mut().find(|known| known.kind == kind) {
            let age = now.saturating_duration_since(known.newest);
            let keep = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
            known.sum = known.sum * keep + new;
            known.weight = known.weight * keep + 1.0;
            known.newest = now;
            return;
        }
        if self.kinds.len() >= MAX_KINDS {
            let oldest = (0..self.kinds.len()).min_by_key(|idx| self.kinds[*idx].newest);
            self.kinds.swap_remove(oldest.unwrap_or_default());
        }
        self.kinds.push(Samples { kind, sum: new, weight: 1.0, newest: now });
    }

    /// The typical service time of a kind; `None` before its first sample.
    pub(crate) fn typical(&self, kind: Option<Kind>) -> Option<Duration> {
        let known = self.kinds.iter().find(|known| known.kind == kind)?;
        Some(Duration::from_secs_f64((known.sum / known.weight).exp()))
    }
}
