/// Requests that pay for one retry: the budget is 10% of a pool's requests.
const REQUESTS_PER_RETRY: u32 = 10;

/// Retries available at the start, so that a pool with little traffic can retry at all.
const INITIAL_RETRIES: u32 = 3;

/// Retries that one daemon can save up, which bounds the burst after a quiet time.
const MAX_BURST: u32 = 20;

/// Retries that all daemons of a fleet can save up. When a service begins to fail they spend them at the
/// same moment, and what the targets can bear of that does not grow with the number of daemons.
const MAX_FLEET_BURST: u32 = 260;

/// Bounds the retries of a pool to a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tenths of a retry.
    tokens: u32,
    /// Retries that can be saved up.
    burst: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_RETRIES * REQUESTS_PER_RETRY, burst: MAX_BURST }
    }
}

impl RetryBudget {
    /// Takes over the number of daemons that share in the burst of the fleet.
    pub fn set_daemons(&mut self, daemons: usize) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.burst = (MAX_FLEET_BURST / daemons).clamp(1, MAX_BURST);
        self.tokens = self.tokens.min(self.burst * REQUESTS_PER_RETRY);
    }

    /// Counts a request (not a retry).
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + 1).min(self.burst * REQUESTS_PER_RETRY);
    }

    /// Takes one retry; `false` if the budget is used up.
    pub const fn try_withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }

    /// Retries that `requests` requests may cause at most.
    #[must_use]
    pub const fn bound(requests: u64) -> u64 {
        INITIAL_RETRIES as u64 + requests / REQUESTS_PER_RETRY as u64
    }
}
