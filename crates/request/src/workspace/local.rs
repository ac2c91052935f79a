use std::time::Duration;

use tokio::time::Instant;

use super::electorate::as_f64;

/// Longest pause between requests for which the bucket refills. Daemons that are idle during an outage
/// of the owner would otherwise save up tokens and spend them together.
const REFILL_LIMIT: Duration = Duration::from_secs(1);

/// Seconds of the rate that the bucket holds beside one request.
const DEPTH: f64 = 0.2;

/// Tokens that all daemons together may admit at the start of an outage beside their rates, out of the 20
/// that the bound allows above rate and burst. Most workspaces send less than one request per second to
/// each daemon, so that the rates alone would refuse nearly all their requests in a short outage.
const START_TOKENS: f64 = 12.0;

/// Seconds of the rate, and at most tokens, that a daemon adds at the start of an outage for the same
/// reason.
const START_RATE: (f64, f64) = (1.0, 0.25);

/// Time after which a daemon may add tokens again: the window of the bound.
const START_INTERVAL: Duration = Duration::from_secs(5);

/// The bucket from which a daemon admits requests while the owner does not answer.
#[derive(Debug)]
pub(super) struct LocalBucket {
    level: f64,
    refilled: Option<Instant>,
    /// When tokens were last added at the start of an outage.
    started: Option<Instant>,
}

impl LocalBucket {
    /// A bucket with `phase` of a token, from 0 to 1. With random phases, daemons whose rates are far
    /// below one request per second together admit the sum of their rates from the start.
    pub(super) const fn new(phase: f64) -> Self {
        Self { level: phase, refilled: None, started: None }
    }

    /// Starts the refill, when the owner stops answering.
    pub(super) fn start(&mut self, rate: f64, members: usize, now: Instant) {
        self.refilled = Some(now);
        if self.started.is_none_or(|at| at + START_INTERVAL <= now) {
            self.started = Some(now);
            let (seconds, tokens) = START_RATE;
            let start = START_TOKENS / as_f64(members.max(1)) + (rate * seconds).min(tokens);
            self.level = (self.level + start).min(rate.mul_add(DEPTH, 1.0).max(1.0 + start));
        }
    }

    /// Takes a token, or returns the time until there is one.
    pub(super) fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let pause = self.refilled.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled = Some(now);
        let gained = rate * pause.min(REFILL_LIMIT).as_secs_f64();
        self.level = (self.level + gained).min(self.level.max(rate.mul_add(DEPTH, 1.0)));
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(REFILL_LIMIT.as_secs_f64())))
    }
}
