/// Requests that pay for one retry: the budget is 10% of a pool's requests.
const COST: u32 = 10;

/// Retries available at the start, so that a pool with little traffic can retry at all.
const RESERVE: u32 = 3;

/// Retries that can be saved up, which bounds the burst after a quiet time.
const BURST: u32 = 20;

/// Bounds the retries of a pool to a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tenths of a retry.
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RESERVE * COST }
    }
}

impl RetryBudget {
    /// Counts a request (not a retry).
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + 1).min(BURST * COST);
    }

    /// Takes one retry; `false` if the budget is used up.
    pub const fn take(&mut self) -> bool {
        match self.tokens.checked_sub(COST) {
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
        RESERVE as u64 + requests / COST as u64
    }
}
