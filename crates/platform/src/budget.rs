use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use derive_more::Display;
use tokio::time::Instant;

/// Why a call was refused, failed or was tried again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallReason {
    /// Refused: the budget is used up.
    #[display("budget")]
    Budget,
    /// Refused: the value is over the limit.
    #[display("too-large")]
    TooLarge,
    /// Refused by the platform: over its rate.
    #[display("overloaded")]
    Overloaded,
    /// Failed: no address accepted a connection.
    #[display("unreachable")]
    Unreachable,
    /// Failed: sent, but not answered.
    #[display("unanswered")]
    Unanswered,
    /// Tried again at the next address: no connection could be made.
    #[display("retry-connect")]
    RetryConnect,
    /// A read tried again at the next address: sent, but not answered.
    #[display("retry-read")]
    RetryRead,
    /// A watch ended because nothing arrived for too long.
    #[display("watch-silent")]
    WatchSilent,
    /// A watch ended because its connection broke.
    #[display("watch-broken")]
    WatchBroken,
}

impl CallReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Budget,
        Self::TooLarge,
        Self::Overloaded,
        Self::Unreachable,
        Self::Unanswered,
        Self::RetryConnect,
        Self::RetryRead,
        Self::WatchSilent,
        Self::WatchBroken,
    ];
}

/// Calls a second towards the platform, as a token bucket, and a count for each reason. Clones
/// share the tokens and the counts.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    rate: f64,
    burst: f64,
    tokens: Mutex<Tokens>,
    counts: [AtomicU64; CallReason::ALL.len()],
}

#[derive(Debug)]
struct Tokens {
    free: f64,
    filled: Option<Instant>,
}

impl Budget {
    /// `rate` in calls a second; `burst` calls may be made at once.
    #[must_use]
    pub fn new(rate: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        let tokens = Mutex::new(Tokens { free: burst, filled: None });
        Self(Arc::new(Inner { rate, burst, tokens, counts: Default::default() }))
    }

    /// Takes a token; if there is none, counts the refusal and returns false.
    #[must_use]
    pub fn take(&self, now: Instant) -> bool {
        let inner = &self.0;
        let mut tokens = inner.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = tokens.filled.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        tokens.filled = Some(now);
        tokens.free = (tokens.free + passed * inner.rate).min(inner.burst);
        let admitted = tokens.free >= 1.0;
        if admitted {
            tokens.free -= 1.0;
        } else {
            self.count(CallReason::Budget);
        }
        admitted
    }

    /// How often something happened since the start.
    #[must_use]
    pub fn counted(&self, reason: CallReason) -> u64 {
        self.0.counts[reason as usize].load(Relaxed)
    }

    pub(crate) fn count(&self, reason: CallReason) {
        self.0.counts[reason as usize].fetch_add(1, Relaxed);
    }
}

impl Default for Budget {
    /// 20 calls a second, 40 at once. A relay makes about 0.5 renewals a second, one watch and a
    /// few reads for each change (0.127 changes a second at target scale).
    fn default() -> Self {
        Self::new(20.0, 40)
    }
}
