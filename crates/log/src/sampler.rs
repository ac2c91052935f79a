use std::time::Duration;

use tokio::time::Instant;

/// Requests a second whose lines are kept although nothing went wrong. Of 20, with about five lines
/// each, the log took 6 to 19% of the processor time of a quiet day.
const PLAIN: u32 = 4;

/// Requests a second whose lines are kept because they were refused as not run. Under overload a host
/// refuses about as many as it serves, all for the same reasons.
const REFUSED: u32 = 12;

/// Requests a second whose lines are kept because their outcome is not known, or because they were
/// late, cut short, abandoned or sent again.
const FAILED: u32 = 30;

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How much the lines of a request matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It was served in time by the first target that was tried.
    #[default]
    Plain,
    /// It was refused as not run, at least by one target.
    Refused,
    /// Anything else.
    Failed,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Plain, Self::Refused, Self::Failed];

    /// The text for the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

/// What was left out in the last second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Of which class.
    pub class: Class,
    /// How many requests.
    pub count: u32,
    /// One in this many is kept from now on.
    pub one_in: u64,
}

/// Decides which requests are logged, so that a flood neither fills the log nor costs more than a fixed
/// share of the processor.
///
/// A request is kept if its hash ends in enough zero bits. The number of bits follows the rate at this
/// host, so that what a busier host keeps is kept by the others too, and the trace of such a request
/// is whole.
#[derive(Debug)]
pub struct Sampler {
    rates: [Rate; 3],
}

#[derive(Debug)]
struct Rate {
    class: Class,
    budget: u32,
    bits: u32,
    seen: u32,
    kept: u32,
    left: u32,
    since: Instant,
}

impl Sampler {
    /// Keeps everything until the rates are known.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            rates: [
                Rate::new(Class::Plain, PLAIN, now),
                Rate::new(Class::Refused, REFUSED, now),
                Rate::new(Class::Failed, FAILED, now),
            ],
        }
    }

    /// Whether the lines of a request are written. `hash` is asked for only if requests are left out,
    /// and must be the same at all hosts.
    pub fn keep(&mut self, class: Class, hash: impl FnOnce() -> u64, now: Instant) -> bool {
        self.rate(class).keep(hash, now)
    }

    /// What was left out in a window that has ended, once.
    pub fn dropped(&mut self, class: Class, now: Instant) -> Option<Dropped> {
        self.rate(class).turn(now)
    }

    const fn rate(&mut self, class: Class) -> &mut Rate {
        &mut self.rates[class as usize]
    }
}

impl Rate {
    const fn new(class: Class, budget: u32, now: Instant) -> Self {
        Self { class, budget, bits: 0, seen: 0, kept: 0, left: 0, since: now }
    }

    fn keep(&mut self, hash: impl FnOnce() -> u64, now: Instant) -> bool {
        self.seen = self.seen.saturating_add(1);
        // In the second in which a flood starts the number of bits is still that of the second before.
        let over = self.kept >= self.budget.saturating_mul(2) && now < self.since + WINDOW;
        let keep = !over && (self.bits == 0 || hash().trailing_zeros() >= self.bits);
        if keep {
            self.kept += 1;
        } else {
            self.left += 1;
        }
        keep
    }

    /// Ends the window if it is over, and chooses the number of bits for the next one.
    fn turn(&mut self, now: Instant) -> Option<Dropped> {
        if now < self.since + WINDOW {
            return None;
        }
        let windows = now.saturating_duration_since(self.since).as_secs_f64().max(1.0);
        let rate = f64::from(self.seen) / windows;
        self.bits =
            (0..32).find(|bits| rate / f64::from(*bits).exp2() <= f64::from(self.budget))?;
        let left = Dropped { class: self.class, count: self.left, one_in: 1 << self.bits };
        (self.seen, self.kept, self.left, self.since) = (0, 0, 0, now);
        (left.count > 0).then_some(left)
    }
}
