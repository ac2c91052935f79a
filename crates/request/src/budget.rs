/// Requests that pay for one retry: the budget is 10% of a pool's requests.
const COST: u32 = 10;

/// Retries available at the start, so that a pool with little traffic can retry at all.
const RESERVE: u32 = 3;

/// Retries that one daemon can save up, which bounds the burst after a quiet time.
const BURST: u32 = 20;

/// Retries that all daemons of a fleet can save up. When a service begins to fail they spend them at the
/// same moment, and what the targets can bear of that does not grow with the number of daemons.
const FLEET_BURST: u32 = 260;

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
        Self { tokens: RESERVE * COST, burst: BURST }
    }
}

impl RetryBudget {
    /// Takes over the number of daemons that share in the burst of the fleet.
    pub fn set_daemons(&mut self, daemons: usize) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.burst = (FLEET_BURST / daemons).clamp(1, BURST);
        self.tokens = self.tokens.min(self.burst * COST);
    }

    /// Counts a request (not a retry).
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + 1).min(self.burst * COST);
    }

    /// Takes one retry; `false` if the budget is used up.
    pub const fn try_withdraw(&mut self) -> bool {
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
