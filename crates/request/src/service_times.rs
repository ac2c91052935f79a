use std::time::Duration;

use tokio::time::Instant;

use crate::Goal;

/// Weight of the newest sample in the means.
const ALPHA: f64 = 0.1;

/// Kinds of requests that are told apart at one target.
const MAX_KINDS: usize = 16;

/// Age at which the mean of a kind has lost half its weight. A kind that is refused because of its
/// mean brings no samples, so a mean that was learned while the target was slow has to fade by itself.
const HALF_WEIGHT_AGE: Duration = Duration::from_secs(2);

/// Time constant with which the slot time of the past counts less.
const SLOT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Share of the time which a request in a slot takes on average, up to which work is short.
const SHORT_RATIO: f64 = 0.5;

/// Share of the slot time up to which short work goes first. Beyond it the other kinds would starve.
const MAX_SHORT_SHARE: f64 = 0.75;

/// Service times at one target: of all requests, and of those with the same goal, which are nearly
/// always those of one route.
///
/// A mean is wrong after the target has become faster or slower, and the next samples correct it. The
/// mean of a kind without samples fades, so that its requests are not refused for ever.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Mean of all in seconds.
    mean: Option<f64>,
    kinds: Vec<Samples>,
    slots: SlotTime,
}

/// The samples of one kind.
#[derive(Clone, Copy, Debug)]
struct Samples {
    /// `None` for the requests without a goal.
    kind: Option<Kind>,
    /// Their mean in seconds.
    mean: f64,
    /// When the newest was taken.
    newest: Instant,
}

/// Seconds for which slots were taken, fading with [`WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct SlotTime {
    all: f64,
    /// Those of short work.
    short: f64,
    /// Sum of the squares.
    squares: f64,
    last: Option<Instant>,
}

/// What is known of the work of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkEstimate {
    /// How long it takes on average.
    pub(crate) expected: Duration,
    /// How long it takes at least, as far as is known: nothing for a kind without samples, and less
    /// and less without new ones. For decisions that keep samples from being taken.
    pub(crate) least: Duration,
    /// Whether it takes a slot for so much less time than others that it goes before them. Such
    /// requests hardly delay the others, and many are calls without which a longer request fails.
    pub(crate) short: bool,
}

/// What identifies the requests of a route at the daemon beside the target.
pub(crate) type Kind = (u32, Duration);

/// The kind of the requests with this goal.
pub(crate) const fn kind_of(goal: &Goal) -> Kind {
    (goal.priority, goal.objective)
}

impl ServiceTimes {
    /// Takes over the time of one request.
    pub(crate) fn observe(&mut self, kind: Option<Kind>, took: Duration, now: Instant) {
        let new = took.as_secs_f64();
        self.mean = Some(self.mean.map_or(new, |old| old + ALPHA * (new - old)));
        if let Some(known) = self.kinds.iter_mut().find(|known| known.kind == kind) {
            known.mean += ALPHA * (new - known.mean);
            known.newest = now;
        } else {
            // The oldest kind is forgotten: its route has changed or is rarely used.
            if self.kinds.len() >= MAX_KINDS {
                self.kinds.remove(0);
            }
            self.kinds.push(Samples { kind, mean: new, newest: now });
        }
        let short = self.estimate(kind, now).short;
        self.slots.add(new, short, now);
    }

    /// Mean time of all requests; zero before the first one.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// What is known of a request of a kind.
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

    /// Factor by which other work waits longer because short work that arrives later goes first.
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

    /// Share of short work.
    fn short_share(&self) -> f64 {
        if self.all > 0.0 { self.short / self.all } else { 0.0 }
    }

    /// Mean time, in seconds, of the request that a taken slot is found with: long ones are found more
    /// often than their number tells.
    fn length_biased_mean(&self) -> f64 {
        if self.all > 0.0 { self.squares / self.all } else { 0.0 }
    }
}
