/// Requests that earn one retry: retries are limited to 10% of a pool's requests.
const REQUESTS_PER_RETRY: u32 = 10;

/// Retries available initially, so that a pool with little traffic can retry at all.
const INITIAL_RETRIES: u32 = 3;

/// Maximum number of unused retries that one daemon accumulates, which bounds the burst after a
/// quiet period.
const MAX_BURST: u32 = 20;

/// Maximum number of unused retries that all daemons of a fleet accumulate together. When a service
/// begins to fail, all daemons spend them at the same moment, and the burst that the targets can
/// absorb does not grow with the number of daemons.
const MAX_FLEET_BURST: u32 = 260;

/// Limits the retries of a pool to a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Accumulated budget, in tenths of a retry.
    tokens: u32,
    /// Maximum number of accumulated retries.
    burst: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_RETRIES * REQUESTS_PER_RETRY, burst: MAX_BURST }
    }
}

impl RetryBudget {
    /// Sets the number of daemons that share the burst of the fleet.
    pub fn set_daemons(&mut self, daemons: usize) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.burst = (MAX_FLEET_BURST / daemons).clamp(1, MAX_BURST);
        self.tokens = self.tokens.min(self.burst * REQUESTS_PER_RETRY);
    }

    /// Counts a request (not a retry).
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + 1).min(self.burst * REQUESTS_PER_RETRY);
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub const fn try_withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }

    /// Maximum number of retries that `requests` requests can cause.
    #[must_use]
    pub const fn bound(requests: u64) -> u64 {
        INITIAL_RETRIES as u64 + requests / REQUESTS_PER_RETRY as u64
    }
}
