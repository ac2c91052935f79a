//! Admission beside a target: slots, the queue for them, and the limits that the target states.

mod admission;
mod limiter;
mod queue;
mod rate;
mod rate_limiter;
mod reported_targets;
mod service_times;

pub use admission::{
    Admission, Arrival, GateConfig, GatePolicies, Permit, RunOutcome, Ticket, Wake,
};
pub use limiter::ConcurrencyLimiter;
pub use rate::{ParseRateError, Rate};
pub use reported_targets::{ReportEffect, ReportedTarget, ReportedTargets, TargetReport};

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    time::Duration,
};

use dw_tables::Capacity;
use tokio::time::Instant;

use crate::{Fingerprint, Goal, Load, PoisonList, Reason, Refusal, capacity::Pace};
use queue::{Rank, WaitQueue, Waiting};
use rate_limiter::RateLimiter;
pub(crate) use service_times::{Kind, kind_of};
use service_times::{ServiceTimes, WorkEstimate};

/// Deeper calls count as this deep, so that a caller cannot overtake all others forever by stating a
/// large depth.
const MAX_DEPTH: u8 = 15;

/// Maximum number of lost requests that are remembered for the report of a target's death.
const MAX_LOST_REQUESTS: usize = 256;

/// How long before the death of a target is noticed its requests may have been lost.
const DEATH_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Maximum expected wait of a request, as a share of its objective. A longer queue serves no more
/// requests, only all of them later; a shorter one leaves slots empty between arrivals.
const MAX_EXPECTED_WAIT_SHARE: f64 = 0.15;

/// Maximum time in the queue, as a share of the objective. A request that waits longer is refused: the
/// estimate was wrong, and its caller may find a free target elsewhere.
const MAX_QUEUE_TIME_SHARE: f64 = 0.4;

/// Bounds of the `retry-after` time of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// A request that runs at the target.
#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: Option<Fingerprint>,
    kind: Option<Kind>,
    /// Whether the target died while the request was in flight.
    target_died: bool,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Queued {
    fingerprint: Option<Fingerprint>,
    kind: Option<Kind>,
    /// Expected service time.
    service: Duration,
}

/// Admission control in the daemon beside a target: decides which requests run, wait or are refused.
///
/// Slots are exact: a request occupies a slot from the decision to run it until [`Self::finish`], and
/// for [`GateConfig::linger`] longer if its end was not observed.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    poison: PoisonList,
    concurrency_limiter: ConcurrencyLimiter,
    rate_limiter: RateLimiter,
    queue: WaitQueue<Queued>,
    running: HashMap<u64, Running>,
    /// When the slots of requests whose end was not observed become free.
    lingering: VecDeque<Instant>,
    lost: VecDeque<(Instant, Fingerprint)>,
    service: ServiceTimes,
    capacity: Capacity,
    /// Not measured if the capacity is fixed.
    pace: Pace,
    /// Decisions made by methods that return no wakes, and the time of the oldest one.
    pending: Vec<Wake>,
    pending_since: Option<Instant>,
    next_id: u64,
    draining: bool,
}

impl Gate {
    /// Creates a gate with all slots free.
    #[must_use]
    pub fn new(config: GateConfig) -> Self {
        Self {
            concurrency_limiter: ConcurrencyLimiter::new(1, config.slots.min(config.connections)),
            config,
            poison: PoisonList::default(),
            rate_limiter: RateLimiter::default(),
            queue: WaitQueue::new(),
            running: HashMap::new(),
            lingering: VecDeque::new(),
            lost: VecDeque::new(),
            service: ServiceTimes::default(),
            capacity: Capacity::Fixed,
            pace: Pace::default(),
            pending: Vec::new(),
            pending_since: None,
            next_id: 0,
            draining: false,
        }
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut PoisonList {
        &mut self.poison
    }

    /// Applies the queue limits of a new configuration version. Requests already in the queue stay.
    pub const fn set_queue(&mut self, queue: u32, wait: Duration) {
        self.config.queue = queue;
        self.config.queue_wait = wait;
    }

    /// Applies the pool's setting of a new configuration version.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.pace = Pace::default();
        }
    }

    /// Applies the rate limit in a response of the target, `None` if it has none. The request was sent to
    /// the target at `sent_at`. Call [`Self::expire`] afterwards.
    pub fn observe_limit(&mut self, limit: Option<Rate>, sent_at: Instant, now: Instant) {
        let old = self.rate_limiter.rate();
        self.rate_limiter.observe(limit, sent_at, now);
        if self.rate_limiter.rate() != old {
            // With a lower limit, some queued requests no longer get a turn in time.
            let rate_limiter = self.rate_limiter;
            let late =
                self.queue.remove_late(|ahead, until| now + rate_limiter.wait(ahead, now) > until);
            let refuse = |(ticket, _)| Wake::Refuse {
                ticket,
                refusal: self.refusal(Reason::RateLimit, now),
            };
            let wakes = late.into_iter().map(refuse).collect();
            self.defer(wakes, now);
        }
    }

    /// The rate limit to which the target is kept.
    #[must_use]
    pub fn rate_limit(&self) -> Option<Rate> {
        self.rate_limiter.rate()
    }

    /// The rate limit that the target itself advertised to this gate.
    #[must_use]
    pub fn advertised_limit(&self) -> Option<Rate> {
        self.rate_limiter.advertised_rate()
    }

    /// Decides on an arrival. Call [`Self::deadline`] again afterwards: a queued request that was
    /// preempted by a deeper call is refused by the next [`Self::expire`].
    pub fn offer(&mut self, arrival: Arrival, now: Instant) -> Admission {
        let poisoned = |fingerprint| self.poison.refuses(fingerprint, now);
        let refusal = match () {
            () if self.draining => Some(Reason::Draining),
            () if arrival.deadline <= now => Some(Reason::DeadlinePassed),
            () if arrival.fingerprint.is_some_and(poisoned) => Some(Reason::Poisoned),
            () => None,
        };
        if let Some(reason) = refusal {
            return Admission::Refuse(Refusal::new(reason));
        }
        if let Some(rate) = arrival.limit {
            self.rate_limiter.adopt_reported(rate, now);
        }
        let mut wakes = Vec::new();
        self.advance(now, &mut wakes);
        self.defer(wakes, now);
        if self.queue.is_empty() && self.is_open(now) {
            let kind = arrival.goal.as_ref().map(kind_of);
            return Admission::Run(self.start(arrival.fingerprint, kind, now));
        }
        match self.enqueue(arrival, now) {
            Ok(ticket) => Admission::Wait(ticket),
            Err(reason) => Admission::Refuse(self.refusal(reason, now)),
        }
    }

    /// Frees the slot of a request and returns decisions on queued ones. Every permit must be finished,
    /// even if the caller has disconnected.
    #[expect(clippy::needless_pass_by_value, reason = "a permit can be finished only once")]
    pub fn finish(&mut self, permit: Permit, outcome: RunOutcome, now: Instant) -> Vec<Wake> {
        let used = self.used_slots();
        if let Some(running) = self.running.remove(&permit.0) {
            self.record_outcome(running, outcome, used, now);
        }
        self.expire(now)
    }

    /// Removes a queued request whose caller has disconnected. If it has received a permit in the
    /// meantime, finish the permit as [`RunOutcome::NotStarted`].
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Returns the decisions that are due, see [`Self::deadline`].
    pub fn expire(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = std::mem::take(&mut self.pending);
        self.pending_since = None;
        self.advance(now, &mut wakes);
        wakes
    }

    /// When [`Self::expire`] must be called, unless another call changes it before.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let waits = !self.queue.is_empty();
        let free = self.lingering.front().filter(|_| waits).copied();
        let open = self.rate_limiter.next_send_time().filter(|_| waits && self.has_slot());
        [self.pending_since, self.queue.deadline(), free, open].into_iter().flatten().min()
    }

    /// Refuses all new requests from now on; queued ones may still run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether no request is in flight or queued, which completes a drain.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.pending.is_empty()
    }

    /// Records that the target died and returns the requests that were in flight, for
    /// [`PoisonList::report`]. Their permits must still be finished.
    pub fn target_died(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.lingering.clear();
        self.running.values_mut().for_each(|running| running.target_died = true);
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= DEATH_NOTICE_TIME;
        let lost =
            self.lost.drain(..).filter(|(at, _)| recent(at)).map(|(_, fingerprint)| fingerprint);
        lost.chain(self.running.values().filter_map(|running| running.fingerprint)).collect()
    }

    /// The expected wait and service time of an arrival.
    #[must_use]
    pub fn estimate(&self, arrival: &Arrival, now: Instant) -> (Duration, Duration) {
        let work = self.work(arrival.goal.as_ref().map(kind_of), now);
        let wait = match self.queue.is_empty() && self.is_open(now) {
            true => Duration::ZERO,
            false => {
                let rank = rank(arrival, work, now);
                self.slot_wait(rank).max(self.rate_limit_wait(rank, now))
            }
        };
        (wait, work.expected)
    }

    /// The estimated service times of this kind of request.
    fn work(&self, kind: Option<Kind>, now: Instant) -> WorkEstimate {
        let work = self.service.estimate(kind, now);
        WorkEstimate { short: work.short && self.config.policies.short_first, ..work }
    }

    /// The expected wait of a request of this rank because of the target's rate limit.
    fn rate_limit_wait(&self, rank: Rank, now: Instant) -> Duration {
        // Counting the queue is unnecessary without a limit.
        if self.rate_limiter.rate().is_none() {
            return Duration::ZERO;
        }
        self.rate_limiter.wait(saturating_u32(self.queue.ahead(rank).count()), now)
    }

    /// The expected wait of a request of this rank for a slot, while none is free.
    fn slot_wait(&self, rank: Rank) -> Duration {
        let ahead: Duration = self.queue.ahead(rank).map(|queued| queued.service).sum();
        let wait = (ahead + self.service.mean()) / self.concurrency_limiter.limit().max(1);
        let others = !rank.short.0 && self.config.policies.short_first;
        if others { wait.mul_f64(self.service.delay_factor()) } else { wait }
    }

    /// The load report that accompanies each response.
    #[must_use]
    pub fn load(&self) -> Load {
        let shedding = !self.has_slot() && self.queue.len() >= self.config.queue as usize;
        Load {
            in_flight: saturating_u32(self.used_slots()),
            slots: self
                .rate_limiter
                .concurrency(self.service.mean(), self.concurrency_limiter.limit()),
            queued: saturating_u32(self.queue.len()),
            shedding,
            leaving: false,
            limit: self.rate_limiter.rate(),
            service: None,
        }
    }

    /// The load report that accompanies the response to a request with this goal. If the capacity is
    /// learned, it contains the typical service time of such requests.
    #[must_use]
    pub fn load_for(&self, goal: Option<&Goal>) -> Load {
        let service = match self.capacity {
            Capacity::Fixed => None,
            Capacity::Learned => goal.and_then(|goal| self.pace.typical(Some(kind_of(goal)))),
        };
        Load { service, ..self.load() }
    }

    /// Occupied slots, including those of requests whose end was not observed.
    fn used_slots(&self) -> usize {
        self.running.len() + self.lingering.len()
    }

    fn has_slot(&self) -> bool {
        self.used_slots() < self.concurrency_limiter.limit() as usize
    }

    /// Whether a slot and the rate limit let the target get a request now.
    fn is_open(&self, now: Instant) -> bool {
        self.has_slot() && self.rate_limiter.is_open(now)
    }

    fn start(
        &mut self,
        fingerprint: Option<Fingerprint>,
        kind: Option<Kind>,
        now: Instant,
    ) -> Permit {
        self.rate_limiter.record_sent(now);
        self.next_id += 1;
        self.running.insert(self.next_id, Running { fingerprint, kind, target_died: false });
        Permit(self.next_id)
    }

    /// Frees lingering slots, refuses expired requests, and starts those that may run.
    fn advance(&mut self, now: Instant, wakes: &mut Vec<Wake>) {
        while self.lingering.front().is_some_and(|until| *until <= now) {
            self.lingering.pop_front();
        }
        while let Some((ticket, waiting)) = self.queue.pop_expired(now) {
            wakes.push(Wake::Refuse { ticket, refusal: self.refusal(waiting.reason, now) });
        }
        while self.is_open(now)
            && let Some((ticket, waiting)) = self.queue.pop()
        {
            wakes.push(Wake::Run {
                ticket,
                permit: self.start(waiting.item.fingerprint, waiting.item.kind, now),
            });
        }
    }

    /// Defers decisions to the next [`Self::expire`].
    fn defer(&mut self, mut wakes: Vec<Wake>, now: Instant) {
        if !wakes.is_empty() {
            self.pending.append(&mut wakes);
            self.pending_since.get_or_insert(now);
        }
    }

    fn enqueue(&mut self, arrival: Arrival, now: Instant) -> Result<Ticket, Reason> {
        let kind = arrival.goal.as_ref().map(kind_of);
        let work = self.work(kind, now);
        let rank = rank(&arrival, work, now);
        let (slot_wait, limit_wait) = (self.slot_wait(rank), self.rate_limit_wait(rank, now));
        let wait = slot_wait.max(limit_wait);
        let limited = limit_wait > slot_wait;
        if now + wait + work.least > arrival.deadline {
            return Err(if limited { Reason::RateLimit } else { Reason::DeadlineUnmet });
        }
        let bounded = self.config.policies.bound_waits && !work.short;
        let share = |part| arrival.goal.filter(|_| bounded).map(|g| g.objective.mul_f64(part));
        if share(MAX_EXPECTED_WAIT_SHARE).is_some_and(|most| wait > most) {
            return Err(if limited { Reason::RateLimit } else { Reason::QueueFull });
        }
        let longest = self.config.queue_wait;
        let longest = share(MAX_QUEUE_TIME_SHARE).map_or(longest, |most| most.min(longest));
        if self.queue.len() >= self.config.queue as usize {
            let Some((ticket, _)) = self.queue.pop_lower_ranked(rank) else {
                let lowered = self.concurrency_limiter.is_lowered();
                return Err(if lowered { Reason::Shedding } else { Reason::QueueFull });
            };
            let refusal = self.refusal(Reason::QueuePreempted, now);
            self.defer(vec![Wake::Refuse { ticket, refusal }], now);
        }
        let queue_end = now + longest;
        let latest_start = arrival.deadline - work.least;
        let reason = match latest_start < queue_end {
            _ if limited => Reason::RateLimit,
            true => Reason::DeadlineUnmet,
            false => Reason::QueueWait,
        };
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let expires = queue_end.min(latest_start);
        let item = Queued { fingerprint: arrival.fingerprint, kind, service: work.expected };
        self.queue.push(ticket, rank, Waiting { expires, reason, item });
        Ok(ticket)
    }

    /// Updates limits and estimates from the outcome of a request; `used` slots were occupied.
    fn record_outcome(&mut self, running: Running, outcome: RunOutcome, used: usize, now: Instant) {
        match outcome {
            RunOutcome::Answered { status: 429 | 503, .. } => {
                self.concurrency_limiter.shed(saturating_u32(used), now);
            }
            RunOutcome::Answered { latency, .. } => {
                self.concurrency_limiter.succeeded(saturating_u32(used));
                self.service.observe(running.kind, latency, now);
                if self.capacity == Capacity::Learned {
                    self.pace.observe(running.kind, latency, now);
                }
            }
            RunOutcome::NotStarted => self.rate_limiter.undo_sent(),
            RunOutcome::Refused => {}
            RunOutcome::Lost if running.target_died => {}
            RunOutcome::Lost => {
                self.lingering.push_back(now + self.config.linger);
                if let Some(fingerprint) = running.fingerprint {
                    if self.lost.len() >= MAX_LOST_REQUESTS {
                        self.lost.pop_front();
                    }
                    self.lost.push_back((now, fingerprint));
                }
            }
        }
    }

    /// A refusal with the time in which the queue empties as its `retry-after`.
    fn refusal(&self, reason: Reason, now: Instant) -> Refusal {
        let service = self.service.mean();
        let waiting = saturating_u32(self.queue.len());
        let wait = service * (waiting + 1) / self.concurrency_limiter.limit().max(1);
        let wait = wait.max(self.rate_limiter.wait(waiting, now));
        Refusal::new(reason).with_retry_after(wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX))
    }
}

fn rank(arrival: &Arrival, work: WorkEstimate, now: Instant) -> Rank {
    Rank {
        short: Reverse(work.short),
        late: arrival.goal.is_some_and(|goal| now + work.least > goal.late_at),
        depth: Reverse(arrival.depth.min(MAX_DEPTH)),
        urgency: arrival.goal.map_or(now, |goal| goal.urgency()),
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
