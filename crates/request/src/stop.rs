use std::time::Duration;

use tokio::time::Instant;

/// Decides which requests a daemon that is stopping still accepts. From callers, who have no other daemon yet, it takes
/// those that can be expected to end before the process does; from peers, who can choose another target at once, only
/// those that end before it in any case.
///
/// It answers a planned stop under traffic, in which callers and peers go on sending until they have learned of it. A
/// request that the process cannot end would be cut off without a response, and its caller could not tell whether it
/// was run.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopLimit {
    ends_at: Option<Instant>,
}

impl StopLimit {
    /// The limit of a process that ends its requests at `ends_at`. The default is that of one that is not stopping.
    #[must_use]
    pub const fn new(ends_at: Instant) -> Self {
        Self { ends_at: Some(ends_at) }
    }

    /// Whether a request with this response time objective may be passed on now.
    #[must_use]
    pub fn admits(&self, objective: Duration, now: Instant) -> bool {
        self.ends_at.is_none_or(|end| now + objective <= end)
    }

    /// Whether the process outlasts a request with this deadline in any case.
    #[must_use]
    pub fn outlasts(&self, deadline: Instant) -> bool {
        self.ends_at.is_none_or(|end| deadline <= end)
    }

    /// The deadline of a request that is passed on. A target stops at it and responds, and otherwise the daemon does,
    /// while the caller's connection is still open.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.ends_at.map_or(deadline, |end| deadline.min(end))
    }
}
