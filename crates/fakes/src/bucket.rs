use tokio::time::Instant;

/// A token bucket with a capacity of one second's worth of calls.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// `rate` is in calls per second; `None` admits every call.
    pub(crate) fn new(rate: Option<f64>, now: Instant) -> Self {
        Self { rate, tokens: rate.unwrap_or_default(), refilled_at: now }
    }

    /// Takes a token if one is available and returns whether it did.
    ///
    /// `reserved` is the part of the rate that open calls use up.
    pub(crate) fn take(&mut self, reserved: f64, now: Instant) -> bool {
        let Some(rate) = self.rate else { return true };
        let free = (rate - reserved).max(0.0);
        let passed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * free).min(free);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
