use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    Admission, Arrival, ConcurrencyLimiter, Fingerprint, GateConfig, Load, Permit, PoisonList,
    Rate, Reason, Refusal, RunOutcome, Ticket, Wake,
    queue::{Rank, WaitQueue, Waiting},
    rate_limiter::Pace,
    service_times::{Kind, ServiceTimes, WorkEstimate, kind_of},
};

/// Deeper calls count as this deep, so that a stated depth cannot overtake all others for ever.
const MAX_DEPTH: u8 = 15;

/// Lost requests that are remembered for a report of a death.
const LOST: usize = 256;

/// How long before a death is noticed its lost requests may have ended.
const NOTICE: Duration = Duration::from_secs(5);

/// Share of its objective that a request may be expected to wait. A longer queue serves no more
/// requests, only all of them later; a shorter one leaves slots empty between arrivals.
const WAIT_SHARE: f64 = 0.15;

/// Share of its objective after which a request that still waits is refused: the estimate was
/// wrong, and its caller may find a free target elsewhere.
const LEAVE_SHARE: f64 = 0.4;

/// Bounds of the time after which a refused caller is told to retry.
const RETRY_MIN: Duration = Duration::from_millis(10);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// A request at the target.
#[derive(Clone, Copy, Debug)]
struct Running {
    print: Option<Fingerprint>,
    kind: Option<Kind>,
    /// The target died while the request was in flight.
    died: bool,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Queued {
    print: Option<Fingerprint>,
    kind: Option<Kind>,
    /// How long it is expected to take.
    service: Duration,
}

/// Decides beside a target which requests run, wait or are refused.
///
/// Slots are exact: a slot is taken from the decision to run until [`Self::finish`], and for a
/// while longer if the end of the request was not seen.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    poison: PoisonList,
    limiter: ConcurrencyLimiter,
    pace: Pace,
    queue: WaitQueue<Queued>,
    running: HashMap<u64, Running>,
    /// When the slots of requests whose end was not seen are free again.
    linger: VecDeque<Instant>,
    lost: VecDeque<(Instant, Fingerprint)>,
    service: ServiceTimes,
    /// Decisions that were made while no wakes could be returned, and since when.
    pending: Vec<Wake>,
    since: Option<Instant>,
    next: u64,
    draining: bool,
}

impl Gate {
    /// A gate with all slots free.
    #[must_use]
    pub fn new(config: GateConfig) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(1, config.slots.min(config.connections)),
            config,
            poison: PoisonList::default(),
            pace: Pace::default(),
            queue: WaitQueue::new(),
            running: HashMap::new(),
            linger: VecDeque::new(),
            lost: VecDeque::new(),
            service: ServiceTimes::default(),
            pending: Vec::new(),
            since: None,
            next: 0,
            draining: false,
        }
    }

    /// The list of requests refused because they crash targets.
    pub fn poison_mut(&mut self) -> &mut PoisonList {
        &mut self.poison
    }

    /// Takes over the limits of the pool in a new version. Requests that wait already are kept.
    pub const fn set_queue(&mut self, queue: u32, wait: Duration) {
        self.config.queue = queue;
        self.config.queue_wait = wait;
    }

    /// Takes over the limit that a response of the target names, `None` if it names none; the request was
    /// handed over at `handed`. Call [`Self::expire`] afterwards.
    pub fn observe_limit(&mut self, limit: Option<Rate>, handed: Instant, now: Instant) {
        let old = self.pace.rate();
        self.pace.hear(limit, handed, now);
        if self.pace.rate() != old {
            // A lower limit leaves no turn in time for some of those that wait.
            let pace = self.pace;
            let late = self.queue.take_late(|ahead, until| now + pace.wait(ahead, now) > until);
            let refuse = |(ticket, _)| Wake::Refuse {
                ticket,
                refusal: self.refusal(Reason::RateLimit, now),
            };
            let wakes = late.into_iter().map(refuse).collect();
            self.postpone(wakes, now);
        }
    }

    /// The limit that the target is kept to.
    #[must_use]
    pub fn rate_limit(&self) -> Option<Rate> {
        self.pace.rate()
    }

    /// The limit that the target itself has named since the gate exists.
    #[must_use]
    pub fn advertised_limit(&self) -> Option<Rate> {
        self.pace.named()
    }

    /// Decides on an arrival. Call [`Self::deadline`] again afterwards: a request that lost its
    /// place to a deeper call is refused by the next [`Self::expire`].
    pub fn offer(&mut self, arrival: Arrival, now: Instant) -> Admission {
        let poisoned = |print| self.poison.refuses(print, now);
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
            self.pace.adopt(rate, now);
        }
        let mut wakes = Vec::new();
        self.advance(now, &mut wakes);
        self.postpone(wakes, now);
        if self.queue.is_empty() && self.is_open(now) {
            let kind = arrival.goal.as_ref().map(kind_of);
            return Admission::Run(self.start(arrival.fingerprint, kind, now));
        }
        match self.enqueue(arrival, now) {
            Ok(ticket) => Admission::Wait(ticket),
            Err(reason) => Admission::Refuse(self.refusal(reason, now)),
        }
    }

    /// Returns a slot and says which queued requests run or are refused now. Every permit must be
    /// finished, also that of a request whose caller went away.
    #[expect(clippy::needless_pass_by_value, reason = "a permit can be finished only once")]
    pub fn finish(&mut self, permit: Permit, outcome: RunOutcome, now: Instant) -> Vec<Wake> {
        let used = self.taken();
        if let Some(running) = self.running.remove(&permit.0) {
            self.learn(running, outcome, used, now);
        }
        self.expire(now)
    }

    /// Removes a queued request whose caller went away. If it got its permit meanwhile, finish that
    /// as [`RunOutcome::NotStarted`].
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Does what is due at [`Self::deadline`].
    pub fn expire(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = std::mem::take(&mut self.pending);
        self.since = None;
        self.advance(now, &mut wakes);
        wakes
    }

    /// When [`Self::expire`] must be called, if nothing happens before.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let waits = !self.queue.is_empty();
        let free = self.linger.front().filter(|_| waits).copied();
        let open = self.pace.opens().filter(|_| waits && self.has_slot());
        [self.since, self.queue.deadline(), free, open].into_iter().flatten().min()
    }

    /// Refuses new requests as not run from now on; queued ones may still run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether nothing is in flight or queued, so that a drain is complete.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.pending.is_empty()
    }

    /// The target died: returns the requests that were in flight, for [`PoisonList::report`]. Their
    /// permits must still be finished.
    pub fn target_died(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.linger.clear();
        self.running.values_mut().for_each(|running| running.died = true);
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= NOTICE;
        let lost = self.lost.drain(..).filter(|(at, _)| recent(at)).map(|(_, print)| print);
        lost.chain(self.running.values().filter_map(|running| running.print)).collect()
    }

    /// The wait for a slot and the time at the target that are expected of an arrival.
    #[must_use]
    pub fn estimate(&self, arrival: &Arrival, now: Instant) -> (Duration, Duration) {
        let work = self.work(arrival.goal.as_ref().map(kind_of), now);
        let wait = match self.queue.is_empty() && self.is_open(now) {
            true => Duration::ZERO,
            false => {
                let rank = rank(arrival, work, now);
                self.wait(rank).max(self.pace_wait(rank, now))
            }
        };
        (wait, work.expected)
    }

    /// What is known of the work of a request of this kind.
    fn work(&self, kind: Option<Kind>, now: Instant) -> WorkEstimate {
        let work = self.service.estimate(kind, now);
        WorkEstimate { short: work.short && self.config.policies.short_first, ..work }
    }

    /// The wait of a request of this rank for its turn under the limit that the target names.
    fn pace_wait(&self, rank: Rank, now: Instant) -> Duration {
        // Without a limit the queue need not be counted.
        if self.pace.rate().is_none() {
            return Duration::ZERO;
        }
        self.pace.wait(count(self.queue.ahead(rank).count()), now)
    }

    /// The wait of a request of this rank while no slot is free.
    fn wait(&self, rank: Rank) -> Duration {
        let ahead: Duration = self.queue.ahead(rank).map(|queued| queued.service).sum();
        let wait = (ahead + self.service.mean()) / self.limiter.limit().max(1);
        let others = !rank.short.0 && self.config.policies.short_first;
        if others { wait.mul_f64(self.service.delay_factor()) } else { wait }
    }

    /// What the daemon reports with each response.
    #[must_use]
    pub fn load(&self) -> Load {
        let shedding = !self.has_slot() && self.queue.len() >= self.config.queue as usize;
        Load {
            in_flight: count(self.taken()),
            slots: self.pace.concurrency(self.service.mean(), self.limiter.limit()),
            queued: count(self.queue.len()),
            shedding,
            leaving: false,
            limit: self.pace.rate(),
        }
    }

    /// Slots that are taken, including those of requests whose end was not seen.
    fn taken(&self) -> usize {
        self.running.len() + self.linger.len()
    }

    fn has_slot(&self) -> bool {
        self.taken() < self.limiter.limit() as usize
    }

    /// Whether the target may get a request now.
    fn is_open(&self, now: Instant) -> bool {
        self.has_slot() && self.pace.is_open(now)
    }

    fn start(&mut self, print: Option<Fingerprint>, kind: Option<Kind>, now: Instant) -> Permit {
        self.pace.take(now);
        self.next += 1;
        self.running.insert(self.next, Running { print, kind, died: false });
        Permit(self.next)
    }

    /// Frees slots, refuses what waited too long, and starts what may run.
    fn advance(&mut self, now: Instant, wakes: &mut Vec<Wake>) {
        while self.linger.front().is_some_and(|until| *until <= now) {
            self.linger.pop_front();
        }
        while let Some((ticket, waiting)) = self.queue.pop_expired(now) {
            wakes.push(Wake::Refuse { ticket, refusal: self.refusal(waiting.reason, now) });
        }
        while self.is_open(now)
            && let Some((ticket, waiting)) = self.queue.pop()
        {
            wakes.push(Wake::Run {
                ticket,
                permit: self.start(waiting.item.print, waiting.item.kind, now),
            });
        }
    }

    /// Keeps decisions for the next [`Self::expire`].
    fn postpone(&mut self, mut wakes: Vec<Wake>, now: Instant) {
        if !wakes.is_empty() {
            self.pending.append(&mut wakes);
            self.since.get_or_insert(now);
        }
    }

    fn enqueue(&mut self, arrival: Arrival, now: Instant) -> Result<Ticket, Reason> {
        let kind = arrival.goal.as_ref().map(kind_of);
        let work = self.work(kind, now);
        let rank = rank(&arrival, work, now);
        let (slot, turn) = (self.wait(rank), self.pace_wait(rank, now));
        let wait = slot.max(turn);
        let limited = turn > slot;
        if now + wait + work.least > arrival.deadline {
            return Err(if limited { Reason::RateLimit } else { Reason::DeadlineUnmet });
        }
        let bounded = self.config.policies.bound_waits && !work.short;
        let share = |part| arrival.goal.filter(|_| bounded).map(|g| g.objective.mul_f64(part));
        if share(WAIT_SHARE).is_some_and(|most| wait > most) {
            return Err(if limited { Reason::RateLimit } else { Reason::QueueFull });
        }
        let longest = self.config.queue_wait;
        let longest = share(LEAVE_SHARE).map_or(longest, |most| most.min(longest));
        if self.queue.len() >= self.config.queue as usize {
            let Some((ticket, _)) = self.queue.pop_below(rank) else {
                let lowered = self.limiter.is_lowered();
                return Err(if lowered { Reason::Shedding } else { Reason::QueueFull });
            };
            let refusal = self.refusal(Reason::QueuePreempted, now);
            self.postpone(vec![Wake::Refuse { ticket, refusal }], now);
        }
        let patience = now + longest;
        let latest = arrival.deadline - work.least;
        let reason = match latest < patience {
            _ if limited => Reason::RateLimit,
            true => Reason::DeadlineUnmet,
            false => Reason::QueueWait,
        };
        self.next += 1;
        let ticket = Ticket(self.next);
        let until = patience.min(latest);
        let item = Queued { print: arrival.fingerprint, kind, service: work.expected };
        self.queue.push(ticket, rank, Waiting { until, reason, item });
        Ok(ticket)
    }

    /// Takes over what the end of a request says about the target; `used` slots were taken.
    fn learn(&mut self, running: Running, outcome: RunOutcome, used: usize, now: Instant) {
        match outcome {
            RunOutcome::Answered { status: 429 | 503, .. } => {
                self.limiter.shed(count(used), now);
            }
            RunOutcome::Answered { latency, .. } => {
                self.limiter.succeeded(count(used));
                self.service.observe(running.kind, latency, now);
            }
            RunOutcome::NotStarted => self.pace.give_back(),
            RunOutcome::Refused => {}
            RunOutcome::Lost if running.died => {}
            RunOutcome::Lost => {
                self.linger.push_back(now + self.config.linger);
                if let Some(print) = running.print {
                    if self.lost.len() >= LOST {
                        self.lost.pop_front();
                    }
                    self.lost.push_back((now, print));
                }
            }
        }
    }

    /// A refusal that names the time in which the queue empties.
    fn refusal(&self, reason: Reason, now: Instant) -> Refusal {
        let service = self.service.mean();
        let waiting = count(self.queue.len());
        let wait = service * (waiting + 1) / self.limiter.limit().max(1);
        let wait = wait.max(self.pace.wait(waiting, now));
        Refusal::new(reason).with_retry_after(wait.clamp(RETRY_MIN, RETRY_MAX))
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

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
