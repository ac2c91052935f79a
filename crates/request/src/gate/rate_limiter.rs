use std::time::Duration;

use tokio::time::Instant;

use crate::Rate;

/// Burst that a target may receive after a pause, as time at its rate. Hosts stall for up to a tenth of
/// a second at a time, and throughput that is not caught up afterwards is lost.
const BURST_TOLERANCE: Duration = Duration::from_millis(100);

/// Maximum interval between two requests to a target that advertises a limit. Only a response can lift
/// the limit, so even a limit of zero must let an occasional request through.
const MAX_INTERVAL: Duration = Duration::from_millis(2_500);

/// A response without a limit lifts the limit only if its request was sent at least this long after a
/// response last advertised one. Responses on several connections are read in any order, and a target
/// that advertises its limit only in some responses must still be kept to it.
const LIMIT_HOLD: Duration = Duration::from_millis(250);

/// Keeps one target to the rate that it advertises. It runs in the daemon beside the target, through
/// which all requests to the target pass.
///
/// Requests are spaced by the generic cell rate algorithm (ITU-T I.371): in any time `t` the target gets
/// at most `(t + 0.1 s) * rate + 1` requests. When the target changes its rate, the old one applies until
/// the next response; [`MAX_INTERVAL`] bounds the wait for that response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimiter {
    limit: Option<Limit>,
    /// Whether the target has responded to this daemon. Until then, for example after a restart of
    /// this daemon, the limit known to the callers' daemons applies.
    has_responded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// Theoretical arrival time of the next request.
    due: Instant,
    /// When a response last advertised the limit; `None` if only another daemon reported it.
    advertised_at: Option<Instant>,
}

impl Limit {
    fn interval(&self) -> Duration {
        self.rate.interval(MAX_INTERVAL)
    }
}

impl RateLimiter {
    /// The rate limit in force.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.limit.map(|limit| limit.rate)
    }

    /// The rate limit in force if the target itself advertised it, not only another daemon.
    pub(crate) fn advertised_rate(&self) -> Option<Rate> {
        self.limit.filter(|limit| limit.advertised_at.is_some()).map(|limit| limit.rate)
    }

    /// Applies the limit in a response, `None` if it has none. The request was sent to the target at
    /// `sent_at`.
    pub(crate) fn observe(&mut self, advertised: Option<Rate>, sent_at: Instant, now: Instant) {
        self.has_responded = true;
        let recent = |limit: &Limit| {
            limit.advertised_at.is_some_and(|advertised_at| sent_at < advertised_at + LIMIT_HOLD)
        };
        match advertised {
            Some(rate) => self.set(rate, Some(now), now),
            None => self.limit = self.limit.filter(recent),
        }
    }

    /// Applies the limit that another daemon knows, unless this one knows better.
    pub(crate) fn adopt_reported(&mut self, rate: Rate, now: Instant) {
        if !self.has_responded && self.limit.is_none() {
            self.set(rate, None, now);
        }
    }

    fn set(&mut self, rate: Rate, advertised_at: Option<Instant>, now: Instant) {
        let limit = Limit { rate, due: now, advertised_at };
        let due = self.limit.map_or(now, |old| {
            // Requests that the target got ahead of time count as the same number at the new rate.
            let ahead = old.due.saturating_duration_since(now);
            let ratio = seconds(limit.interval()) / seconds(old.interval());
            now + ahead.mul_f64(ratio).min(limit.interval() + BURST_TOLERANCE)
        });
        self.limit = Some(Limit { due, ..limit });
    }

    /// Whether the target may get a request now.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.next_send_time().is_none_or(|at| at <= now)
    }

    /// When the target may get the next request; `None` without a limit.
    pub(crate) fn next_send_time(&self) -> Option<Instant> {
        self.limit.map(|limit| limit.due.checked_sub(BURST_TOLERANCE).unwrap_or(limit.due))
    }

    /// Counts a request that is sent to the target.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.max(now) + limit.interval();
        }
    }

    /// Undoes the count of a request of which nothing was sent.
    pub(crate) fn undo_sent(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.checked_sub(limit.interval()).unwrap_or(limit.due);
        }
    }

    /// The expected wait of a request behind `ahead` others.
    pub(crate) fn wait(&self, ahead: u32, now: Instant) -> Duration {
        let wait = |limit: Limit| {
            let first = self
                .next_send_time()
                .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
            first + limit.interval() * ahead
        };
        self.limit.map_or(Duration::ZERO, wait)
    }

    /// Requests in flight at the limited rate if each takes `service`, from 1 to `max`.
    pub(crate) fn concurrency(&self, service: Duration, max: u32) -> u32 {
        let Some(limit) = self.limit else { return max };
        let busy = service.as_secs_f64() / seconds(limit.interval());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let busy = busy.ceil() as u32;
        busy.clamp(1, max.max(1))
    }
}

/// The time in seconds, at least one nanosecond, so that it can be a divisor.
fn seconds(time: Duration) -> f64 {
    time.max(Duration::from_nanos(1)).as_secs_f64()
}
