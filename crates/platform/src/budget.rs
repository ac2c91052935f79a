use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use derive_more::Display;
use tokio::time::Instant;

/// Why a call was refused, failed or was retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallReason {
    /// Refused by the client: the budget is exhausted.
    #[display("budget")]
    Budget,
    /// Refused: the value exceeds the size limit.
    #[display("too-large")]
    TooLarge,
    /// Refused by the platform: its rate limit is exceeded.
    #[display("overloaded")]
    Overloaded,
    /// Failed: no address accepted a connection.
    #[display("unreachable")]
    Unreachable,
    /// Failed: sent, but no response arrived.
    #[display("unanswered")]
    Unanswered,
    /// Retried at the next address: no connection could be established.
    #[display("retry-connect")]
    RetryConnect,
    /// A read or lease renewal retried at the next address: sent, but no response arrived.
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
    /// All reasons, in declaration order.
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

/// A token bucket that limits the calls to the platform, and a counter for each reason. Clones
/// share the tokens and the counters.
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
    available: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Allows `rate` calls a second on average and `burst` calls at once.
    #[must_use]
    pub fn new(rate: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        let tokens = Mutex::new(Tokens { available: burst, refilled_at: None });
        Self(Arc::new(Inner { rate, burst, tokens, counts: Default::default() }))
    }

    /// Takes a token; if there is none, counts the refusal and returns `false`.
    #[must_use]
    pub fn take(&self, now: Instant) -> bool {
        let inner = &self.0;
        let mut tokens = inner.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = tokens.refilled_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        tokens.refilled_at = Some(now);
        tokens.available = (tokens.available + elapsed * inner.rate).min(inner.burst);
        let admitted = tokens.available >= 1.0;
        if admitted {
            tokens.available -= 1.0;
        } else {
            self.record(CallReason::Budget);
        }
        admitted
    }

    /// How often `reason` occurred since the start.
    #[must_use]
    pub fn total(&self, reason: CallReason) -> u64 {
        self.0.counts[reason as usize].load(Relaxed)
    }

    pub(crate) fn record(&self, reason: CallReason) {
        self.0.counts[reason as usize].fetch_add(1, Relaxed);
    }
}

impl Default for Budget {
    /// 20 calls a second, 40 at once. A relay makes about 0.5 lease renewals a second, keeps one
    /// watch, and makes a few reads for each change (0.127 changes a second at target scale).
    fn default() -> Self {
        Self::new(20.0, 40)
    }
}
