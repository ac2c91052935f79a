use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use super::{Allotment, CreditAsk, electorate::as_f64, local::LocalBucket, owner::LEASE_TTL};

/// Time after which an attempt of a credit request counts as unanswered. The page on quotas sets it; the
/// longest round trip is 3 ms, and a host that used up its CPU quota stalls for longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval between credit requests while the owner does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the last credit request after which a request waits for the owner's answer again. Without
/// it, a daemon with few requests would decide each of them from the local bucket after an outage.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which a denial is kept. By then a refund may have returned tokens, or another owner may
/// have some.
const DENIAL_PERIOD: Duration = Duration::from_millis(1500);

/// Time in which the last known share is used while the owner does not answer.
const SHARE_PERIOD: Duration = Duration::from_secs(10);

/// Age after which a share is no longer used.
const SHARE_MAX_AGE: Duration = Duration::from_secs(10);

/// Part of the share that is used while the owner does not answer.
const SHARE_PART: f64 = 0.75;

/// Part of an equal share that is used if the known share is too old.
const UNKNOWN_PART: f64 = 0.5;

/// Largest share that is used, in equal shares. An owner that lost a third of the daemons notices it only
/// after one or two seconds; until then these daemons' requests come on top of the rate.
const MAX_EQUAL_SHARES: f64 = 1.5;

/// Time constant of the estimate of the requests per second at this daemon.
const DEMAND_TIME: f64 = 1.0;

/// The result of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request is admitted.
    Granted,
    /// The request has to wait for the owner's answer.
    Ask,
    /// The request is over the quota.
    Denied {
        /// Time after which tokens will be available.
        after: Duration,
    },
}

/// A credit request that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    ask: CreditAsk,
    first: Instant,
    last: Instant,
    attempts: u32,
}

/// The owner's last denial.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// Until when it is kept.
    until: Instant,
    /// When tokens will be available.
    available: Instant,
}

/// The credit of one daemon for one workspace.
///
/// It addresses owners that do not answer, and the cost of asking: a daemon that receives many requests
/// of a workspace asks for several tokens at once and before the last one is spent, and a denial is kept
/// until its time, so that a flood causes no credit requests.
#[derive(Debug)]
pub struct CreditHolder {
    allotment: Allotment,
    members: usize,
    batches: VecDeque<(u32, Instant)>,
    denied: Option<Denial>,
    open: Option<Open>,
    wanted: bool,
    next_id: u64,
    spent: u64,
    demand: f64,
    counted: Instant,
    share: Option<(f64, Instant)>,
    /// When the owner stopped answering.
    alone: Option<Instant>,
    /// When the last credit request was sent, or should have been sent.
    asked: Instant,
    /// Whether requests wait for the owner although it did not answer before.
    retrying: bool,
    local: LocalBucket,
}

impl CreditHolder {
    /// Creates a holder without credit. `first_id` must grow over restarts of the daemon; `phase` is a
    /// random number from 0 to 1.
    #[must_use]
    pub const fn new(allotment: Allotment, first_id: u64, phase: f64, now: Instant) -> Self {
        Self {
            allotment,
            members: 1,
            batches: VecDeque::new(),
            denied: None,
            open: None,
            wanted: false,
            next_id: first_id,
            spent: 0,
            demand: 0.0,
            counted: now,
            share: None,
            alone: None,
            asked: now,
            retrying: false,
            local: LocalBucket::new(phase),
        }
    }

    /// Replaces the quota. Tokens that are held expire as leased; a denial by another quota ends.
    pub fn set_allotment(&mut self, allotment: Allotment) {
        if allotment != self.allotment {
            self.allotment = allotment;
            self.denied = None;
        }
    }

    /// Sets the number of daemons that share the rate; see [`super::Electorate::known`].
    pub const fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes a token for a request. After [`Take::Ask`] the request waits until the credit request that
    /// [`Self::poll`] returns is answered or counts as unanswered, and calls this again.
    pub fn take(&mut self, now: Instant) -> Take {
        self.count(1.0, now);
        self.take_again(now)
    }

    /// Takes a token for a request that has waited.
    pub fn take_again(&mut self, now: Instant) -> Take {
        while self.batches.front().is_some_and(|(_, expires)| *expires <= now) {
            self.batches.pop_front();
        }
        if let Some((tokens, _)) = self.batches.front_mut() {
            *tokens -= 1;
            if *tokens == 0 {
                self.batches.pop_front();
            }
            self.spent += 1;
            let want = self.want();
            let left: u32 = self.batches.iter().map(|(tokens, _)| *tokens).sum();
            let is_low = want > 1 && left <= want / 4;
            self.wanted |= is_low && self.denied.is_none_or(|denial| denial.until <= now);
            return Take::Granted;
        }
        if let Some(denial) = self.denied {
            if now < denial.until {
                return Take::Denied { after: denial.available - now };
            }
            self.denied = None;
        }
        self.wanted = true;
        let Some(since) = self.alone else { return Take::Ask };
        if self.retrying || (self.open.is_none() && now >= self.asked + RETRY_INTERVAL) {
            self.retrying = true;
            return Take::Ask;
        }
        match self.local.take(self.local_rate(since, now), now) {
            Ok(()) => {
                self.spent += 1;
                Take::Granted
            }
            Err(after) => Take::Denied { after },
        }
    }

    /// Returns the token of a request that was admitted and not run. It expires like a lease of now.
    pub fn refund(&mut self, now: Instant) {
        self.spent = self.spent.saturating_sub(1);
        match self.batches.front_mut() {
            Some((tokens, _)) => *tokens += 1,
            None => self.batches.push_back((1, now + LEASE_TTL)),
        }
    }

    /// The credit request to send now, if any. Call it after [`Self::take`] and at [`Self::deadline`].
    pub fn poll(&mut self, now: Instant) -> Option<CreditAsk> {
        if let Some(open) = &mut self.open {
            if now < open.last + ANSWER_TIMEOUT {
                return None;
            }
            if open.attempts == 1 && (self.alone.is_none() || self.retrying) {
                (open.attempts, open.last) = (2, now);
                return Some(open.ask);
            }
            self.unanswered(now);
        }
        if !self.wanted || (self.alone.is_some() && now < self.asked + PROBE_INTERVAL) {
            return None;
        }
        let ask = CreditAsk { id: self.next_id, want: self.want(), spent: self.spent };
        self.next_id += 1;
        self.wanted = false;
        self.asked = now;
        self.open = Some(Open { ask, first: now, last: now, attempts: 1 });
        Some(ask)
    }

    /// Whether [`Self::poll`] returns a credit request now.
    #[must_use]
    pub fn is_wanting(&self, now: Instant) -> bool {
        let may_ask = self.alone.is_none() || now >= self.asked + PROBE_INTERVAL;
        self.wanted && self.open.is_none() && may_ask
    }

    /// When [`Self::poll`] has to be called again at the latest.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.open.map(|open| open.last + ANSWER_TIMEOUT)
    }

    /// Applies a grant. Its time counts from the first attempt, so that no token is spent after it
    /// expired at the owner.
    pub fn granted(&mut self, id: u64, tokens: u32, ttl: Duration, share: f64, now: Instant) {
        let Some(open) = self.answered(id, share, now) else { return };
        let expires = open.first + ttl;
        if tokens > 0 && expires > now {
            self.batches.push_back((tokens, expires));
        }
    }

    /// Applies a denial.
    pub fn denied(&mut self, id: u64, wait: Duration, share: f64, now: Instant) {
        if self.answered(id, share, now).is_some() {
            self.denied =
                Some(Denial { until: now + wait.min(DENIAL_PERIOD), available: now + wait });
        }
    }

    /// Admits requests from the local bucket until the owner answers.
    pub fn unanswered(&mut self, now: Instant) {
        self.open = None;
        self.retrying = false;
        // A daemon that was stalled may have sent no credit request. Requests that have waited must not
        // wait for another one, which may be sent at once.
        self.asked = self.asked.max(now - PROBE_INTERVAL);
        if self.alone.is_none() {
            self.alone = Some(now);
            self.local.start(self.local_rate(now, now), self.members, now);
        }
    }

    /// Whether the owner does not answer.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.alone.is_some()
    }

    /// Whether requests that wait can be decided without the owner's answer.
    #[must_use]
    pub const fn is_deciding_locally(&self) -> bool {
        self.alone.is_some() && !self.retrying
    }

    /// Whether a credit request with this id is open.
    #[must_use]
    pub fn is_open(&self, id: u64) -> bool {
        self.open.is_some_and(|open| open.ask.id == id)
    }

    /// Time since the first attempt of the last credit request.
    #[must_use]
    pub fn asked_ago(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked)
    }

    fn answered(&mut self, id: u64, share: f64, now: Instant) -> Option<Open> {
        let open = self.open.filter(|open| open.ask.id == id)?;
        self.open = None;
        self.alone = None;
        self.retrying = false;
        self.share = Some((share, now));
        Some(open)
    }

    /// The rate of the local bucket.
    fn local_rate(&self, since: Instant, now: Instant) -> f64 {
        let equal = self.allotment.per_second() / as_f64(self.members.max(1));
        if now.saturating_duration_since(since) >= SHARE_PERIOD {
            return equal;
        }
        match self.share {
            Some((share, at)) if since.saturating_duration_since(at) < SHARE_MAX_AGE => {
                share.min(equal * MAX_EQUAL_SHARES) * SHARE_PART
            }
            Some(_) => equal * UNKNOWN_PART,
            // No owner has answered this daemon since its start. If all daemons have just started, no
            // other credit is in use.
            None => equal,
        }
    }

    /// The tokens needed during a lease, at least one.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
    fn want(&self) -> u32 {
        (self.demand * LEASE_TTL.as_secs_f64()).round().clamp(1.0, 1e6) as u32
    }

    /// Adds requests to the estimate of the demand.
    fn count(&mut self, requests: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted).as_secs_f64();
        self.counted = now;
        self.demand = self.demand.mul_add((-elapsed / DEMAND_TIME).exp(), requests / DEMAND_TIME);
    }
}
