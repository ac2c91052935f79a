use std::time::Duration;

use tokio::time::Instant;

use crate::Goal;

/// Weight of the newest sample in the moving averages.
const ALPHA: f64 = 0.1;

/// Maximum number of kinds of requests that are distinguished at one target.
const MAX_KINDS: usize = 16;

/// Age at which the mean of a kind has lost half its weight. A kind whose requests are refused because
/// of its mean yields no samples, so a mean that was learned while the target was slow must decay.
const HALF_WEIGHT_AGE: Duration = Duration::from_secs(2);

/// Time constant of the exponential decay of past slot time.
const SLOT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// A request is short if it takes at most this share of the average time of a request found in a slot.
const SHORT_RATIO: f64 = 0.5;

/// Maximum share of the slot time up to which short requests go first. Beyond it, the other kinds would
/// starve.
const MAX_SHORT_SHARE: f64 = 0.75;

/// Service times at one target, of all requests and by kind. Requests of a kind have the same latency
/// goal, and nearly always belong to the same route.
///
/// A mean becomes inaccurate when the target gets faster or slower, and the next samples correct it. The
/// mean of a kind without new samples decays, so that its requests are not refused forever.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Mean of all requests in seconds.
    mean: Option<f64>,
    kinds: Vec<Samples>,
    slots: SlotTime,
}

/// The samples of one kind.
#[derive(Clone, Copy, Debug)]
struct Samples {
    /// `None` for requests without a goal.
    kind: Option<Kind>,
    /// Mean service time in seconds.
    mean: f64,
    /// When the newest sample was taken.
    newest: Instant,
}

/// Seconds for which slots were occupied, decaying with [`SLOT_TIME_CONSTANT`].
#[derive(Clone, Copy, Debug, Default)]
struct SlotTime {
    all: f64,
    /// Seconds of short requests.
    short: f64,
    /// Sum of the squared seconds of each request.
    squares: f64,
    last: Option<Instant>,
}

/// Estimate of the service time of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkEstimate {
    /// How long such a request takes on average.
    pub(crate) expected: Duration,
    /// Lower estimate: zero for a kind without samples, and decreasing while there are no new ones. It
    /// is for decisions that can prevent further samples, such as refusals.
    pub(crate) least: Duration,
    /// Whether the request occupies a slot for so much less time than others that it is served before
    /// them. Short requests hardly delay the others, and many are calls that a longer request needs to
    /// succeed.
    pub(crate) short: bool,
}

/// What identifies the requests of a route to the daemon beside the target: the priority and the
/// objective of their goal.
pub(crate) type Kind = (u32, Duration);

/// The kind of the requests with this goal.
pub(crate) const fn kind_of(goal: &Goal) -> Kind {
    (goal.priority, goal.objective)
}

impl ServiceTimes {
    /// Records the service time of one request.
    pub(crate) fn observe(&mut self, kind: Option<Kind>, took: Duration, now: Instant) {
        let new = took.as_secs_f64();
        self.mean = Some(self.mean.map_or(new, |old| old + ALPHA * (new - old)));
        if let Some(known) = self.kinds.iter_mut().find(|known| known.kind == kind) {
            known.mean += ALPHA * (new - known.mean);
            known.newest = now;
        } else {
            // The least recently used kind is dropped: its route has changed or is rarely used.
            if self.kinds.len() >= MAX_KINDS {
                let oldest = (0..self.kinds.len()).min_by_key(|idx| self.kinds[*idx].newest);
                self.kinds.swap_remove(oldest.unwrap_or_default());
            }
            self.kinds.push(Samples { kind, mean: new, newest: now });
        }
        let short = self.estimate(kind, now).short;
        self.slots.add(new, short, now);
    }

    /// Mean service time of all requests; zero before the first one.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// Estimate for a request of a kind.
    pub(crate) fn estimate(&self, kind: Option<Kind>, now: Instant) -> WorkEstimate {
        let Some(known) = self.kinds.iter().find(|known| known.kind == kind) else {
            return WorkEstimate { expected: self.mean(), least: Duration::ZERO, short: true };
        };
        let age = now.saturating_duration_since(known.newest);
        let least = known.mean / (1.0 + age.as_secs_f64() / HALF_WEIGHT_AGE.as_secs_f64());
        WorkEstimate {
            expected: Duration::from_secs_f64(known.mean),
            least: Duration::from_secs_f64(least),
            short: least <= SHORT_RATIO * self.slots.length_biased_mean()
                && self.slots.short_share() <= MAX_SHORT_SHARE,
        }
    }

    /// Factor by which other requests wait longer because short requests that arrive later go first.
    pub(crate) fn delay_factor(&self) -> f64 {
        1.0 / (1.0 - self.slots.short_share().min(MAX_SHORT_SHARE))
    }
}

impl SlotTime {
    fn add(&mut self, seconds: f64, short: bool, now: Instant) {
        let age = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let keep = (-age.as_secs_f64() / SLOT_TIME_CONSTANT.as_secs_f64()).exp();
        self.all = self.all * keep + seconds;
        self.short = self.short * keep + if short { seconds } else { 0.0 };
        self.squares = self.squares * keep + seconds * seconds;
        self.last = Some(now);
    }

    /// Share of the slot time that short requests occupied.
    fn short_share(&self) -> f64 {
        if self.all > 0.0 { self.short / self.all } else { 0.0 }
    }

    /// Mean service time in seconds of the requests found in occupied slots at a random moment. Long
    /// requests are found more often than in proportion to their number.
    fn length_biased_mean(&self) -> f64 {
        if self.all > 0.0 { self.squares / self.all } else { 0.0 }
    }
}
