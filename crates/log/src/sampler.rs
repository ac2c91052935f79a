use std::time::Duration;

use tokio::time::Instant;

/// Requests per second that are logged although nothing went wrong. With 20, at about five lines each,
/// the log takes 6 to 19% of the CPU time of a lightly loaded process.
const PLAIN_PER_SECOND: u32 = 4;

/// Requests per second that are logged because they were refused as not run. Under overload a host
/// refuses about as many requests as it serves, all for the same reasons.
const REFUSED_PER_SECOND: u32 = 12;

/// Requests per second that are logged because their outcome is not known, or because they were late,
/// truncated, cancelled or sent again.
const FAILED_PER_SECOND: u32 = 30;

/// The window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The class of a request, by how important its lines are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Served in time by the first target that was tried.
    #[default]
    Plain,
    /// Refused as not run by at least one target.
    Refused,
    /// Everything else.
    Failed,
}

impl RequestClass {
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

/// The requests of a class that were left out of the log in the last window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedRequests {
    /// Their class.
    pub class: RequestClass,
    /// Their number.
    pub count: u32,
    /// One in this many is kept from now on.
    pub one_in: u64,
}

/// Decides which requests are logged, so that a burst of requests neither fills the log nor takes more
/// than a fixed share of the CPU.
///
/// A request is kept if its hash ends in enough zero bits. Their number depends on the request rate of
/// this host. Less busy hosts therefore keep every request that a busier one keeps, and the trace of
/// such a request is complete.
#[derive(Debug)]
pub struct Sampler {
    classes: [ClassSampler; 3],
}

#[derive(Debug)]
struct ClassSampler {
    class: RequestClass,
    budget: u32,
    zero_bits: u32,
    seen: u32,
    kept: u32,
    dropped: u32,
    window_start: Instant,
}

impl Sampler {
    /// Creates a sampler that keeps every request until the rates are known.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            classes: [
                ClassSampler::new(RequestClass::Plain, PLAIN_PER_SECOND, now),
                ClassSampler::new(RequestClass::Refused, REFUSED_PER_SECOND, now),
                ClassSampler::new(RequestClass::Failed, FAILED_PER_SECOND, now),
            ],
        }
    }

    /// Whether a request is logged. `hash` is only called while requests are left out, and must return
    /// the same value on all hosts.
    pub fn keep(&mut self, class: RequestClass, hash: impl FnOnce() -> u64, now: Instant) -> bool {
        self.class_sampler(class).keep(hash, now)
    }

    /// Ends the class's window if it is over, and returns the requests that were left out of it.
    pub fn dropped(&mut self, class: RequestClass, now: Instant) -> Option<DroppedRequests> {
        self.class_sampler(class).end_window(now)
    }

    const fn class_sampler(&mut self, class: RequestClass) -> &mut ClassSampler {
        &mut self.classes[class as usize]
    }
}

impl ClassSampler {
    const fn new(class: RequestClass, budget: u32, now: Instant) -> Self {
        Self { class, budget, zero_bits: 0, seen: 0, kept: 0, dropped: 0, window_start: now }
    }

    fn keep(&mut self, hash: impl FnOnce() -> u64, now: Instant) -> bool {
        self.seen = self.seen.saturating_add(1);
        // In the first second of a burst the number of bits is still that of the previous window.
        let over_budget =
            self.kept >= self.budget.saturating_mul(2) && now < self.window_start + WINDOW;
        let keep =
            !over_budget && (self.zero_bits == 0 || hash().trailing_zeros() >= self.zero_bits);
        if keep {
            self.kept += 1;
        } else {
            self.dropped += 1;
        }
        keep
    }

    /// Ends the window if it is over, and computes the number of bits for the next one.
    fn end_window(&mut self, now: Instant) -> Option<DroppedRequests> {
        if now < self.window_start + WINDOW {
            return None;
        }
        let windows = now.saturating_duration_since(self.window_start).as_secs_f64().max(1.0);
        let rate = f64::from(self.seen) / windows;
        self.zero_bits =
            (0..32).find(|bits| rate / f64::from(*bits).exp2() <= f64::from(self.budget))?;
        let dropped =
            DroppedRequests { class: self.class, count: self.dropped, one_in: 1 << self.zero_bits };
        (self.seen, self.kept, self.dropped, self.window_start) = (0, 0, 0, now);
        (dropped.count > 0).then_some(dropped)
    }
}
