use std::time::Duration;

use tokio::time::Instant;

use crate::Rate;

/// Work that a target may get at once after a pause, as time at its rate. Hosts stand still for up to a
/// tenth of a second at a time, and what is not made up for afterwards is lost.
const CATCH_UP: Duration = Duration::from_millis(100);

/// The longest time between two requests to a target that names a limit. Only a response can end the
/// limit, so one of zero must let a request through now and then.
const LONGEST: Duration = Duration::from_millis(2_500);

/// Time between a response that names a limit and the sending of a request whose response may end it.
/// Responses on several connections are read in any order, and a target that changes its mind with each
/// of them is to be kept to its limit.
const SETTLE: Duration = Duration::from_millis(250);

/// Keeps one target to the rate that it names, beside the target, where all its requests pass.
///
/// The spacing of requests is the generic cell rate algorithm (ITU-T I.371): in any time `t` the target
/// gets at most `(t + 0.1 s) * rate + 1` requests. A limit is wrong once the target has changed it; the next
/// response corrects it, and [`LONGEST`] bounds the wait for that response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    limit: Option<Limit>,
    /// Whether the target has answered. Before, as after a restart of the daemon beside it, what other
    /// daemons were told counts.
    heard: bool,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// When a request is due if the next one comes in time.
    due: Instant,
    /// When a response last named it; `None` if only another daemon did.
    named: Option<Instant>,
}

impl Limit {
    fn interval(&self) -> Duration {
        self.rate.interval(LONGEST)
    }
}

impl Pace {
    /// The rate that the target names.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.limit.map(|limit| limit.rate)
    }

    /// The same if the target itself named it, and not only another daemon.
    pub(crate) fn named(&self) -> Option<Rate> {
        self.limit.filter(|limit| limit.named.is_some()).map(|limit| limit.rate)
    }

    /// Takes over what a response says, `None` if it names no limit. Its request was handed over at
    /// `handed`.
    pub(crate) fn hear(&mut self, said: Option<Rate>, handed: Instant, now: Instant) {
        self.heard = true;
        let recent = |limit: &Limit| limit.named.is_some_and(|named| handed < named + SETTLE);
        match said {
            Some(rate) => self.set(rate, Some(now), now),
            None => self.limit = self.limit.filter(recent),
        }
    }

    /// Takes over the limit that another daemon was told.
    pub(crate) fn adopt(&mut self, rate: Rate, now: Instant) {
        if !self.heard && self.limit.is_none() {
            self.set(rate, None, now);
        }
    }

    fn set(&mut self, rate: Rate, named: Option<Instant>, now: Instant) {
        let limit = Limit { rate, due: now, named };
        let due = self.limit.map_or(now, |old| {
            // What the target got ahead of time counts as the same number of requests at the new rate.
            let ahead = old.due.saturating_duration_since(now);
            let ratio = seconds(limit.interval()) / seconds(old.interval());
            now + ahead.mul_f64(ratio).min(limit.interval() + CATCH_UP)
        });
        self.limit = Some(Limit { due, ..limit });
    }

    /// Whether the target may get a request.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.opens().is_none_or(|at| at <= now)
    }

    /// When the target may get a request; `None` without a limit.
    pub(crate) fn opens(&self) -> Option<Instant> {
        self.limit.map(|limit| limit.due.checked_sub(CATCH_UP).unwrap_or(limit.due))
    }

    /// Counts a request that is handed over.
    pub(crate) fn take(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.max(now) + limit.interval();
        }
    }

    /// Takes back the last count, of a request of which nothing was sent.
    pub(crate) fn give_back(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.checked_sub(limit.interval()).unwrap_or(limit.due);
        }
    }

    /// The wait of a request behind `ahead` others.
    pub(crate) fn wait(&self, ahead: u32, now: Instant) -> Duration {
        let wait = |limit: Limit| {
            let first = self.opens().map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
            first + limit.interval() * ahead
        };
        self.limit.map_or(Duration::ZERO, wait)
    }

    /// Requests that are at the target at the same time if each takes `service`, at most `most`.
    pub(crate) fn concurrency(&self, service: Duration, most: u32) -> u32 {
        let Some(limit) = self.limit else { return most };
        let busy = service.as_secs_f64() / seconds(limit.interval());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let busy = busy.ceil() as u32;
        busy.clamp(1, most.max(1))
    }
}

/// The time in seconds, at least a nanosecond, for divisions.
fn seconds(time: Duration) -> f64 {
    time.max(Duration::from_nanos(1)).as_secs_f64()
}
