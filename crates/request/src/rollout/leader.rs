use std::collections::{BTreeMap, BTreeSet, HashMap};

use dw_tables::Name;

use crate::rollout::{
    Comparison, Evidence, EvidenceReport, Judgement, RollbackReason, RolloutAction, RolloutInput,
    RolloutOrder, RolloutPolicy, RolloutState, RolloutStep, VersionShare, relays::RelayCheck,
    restore::latest_state,
};

/// Time that must be left before the limit to write the completion, in ms.
const COMPLETION_MARGIN: u64 = 50;

/// Time before the limit from which the completion no longer waits for requests at the old targets, in ms. The
/// write itself may take a few hundred ms while the store is slow.
const LAST_COMPLETION: u64 = 300;

/// Time that must be left before the limit to switch, in ms: confirmations take one broadcast and one
/// report.
const SWITCH_MARGIN: u64 = 250;

/// Factor by which the request rate is assumed to grow after the switch.
const RATE_MARGIN: f64 = 1.1;

/// Time after a leader has read a state in which daemons tell it of a later one that the store has lost, in ms. It is
/// longer than the timeout of an announcement.
const HEARING_TIME: u64 = 1000;

/// What a daemon reported last.
#[derive(Clone, Debug)]
struct Reporter {
    incarnation: u64,
    epoch: u64,
    stopped: bool,
    old_open: u32,
    old_live: bool,
    evidence: Evidence,
}

/// The leader's decisions about the rollouts of one service, as a state machine without I/O.
///
/// It addresses a bad version, whose share of requests must stay bounded: until shortly before the time
/// limit it receives the canary share, and a rollback is announced before it is stored. Each other step is
/// stored before it is announced, so that a successor never announces an earlier step. Times are in ms
/// since the Unix epoch, since they are part of the stored state.
#[derive(Clone, Debug)]
pub struct RolloutLeader {
    service: Name,
    policy: RolloutPolicy,
    order: Option<RolloutOrder>,
    order_seen: u64,
    state: Option<RolloutState>,
    revision: u64,
    /// Whether the state is known to be the stored one.
    fresh: bool,
    reading: bool,
    /// Whether the state is later than the stored one, which the store has lost.
    restoring: bool,
    /// The latest share that a daemon follows.
    followed: Option<VersionShare>,
    /// The write in flight.
    pending: Option<RolloutState>,
    /// Whether a write of the completion may have taken effect.
    maybe_complete: bool,
    retry_at: u64,
    /// Why the current rollout was rolled back, though this may not have been stored yet.
    rollback: Option<RollbackReason>,
    comparison: Comparison,
    reporters: HashMap<Name, Reporter>,
    hosts: BTreeSet<Name>,
    versions: BTreeSet<Option<Name>>,
    recent: Option<BTreeSet<Option<Name>>>,
    relays: RelayCheck,
    judged_at: u64,
    judgement: Judgement,
    announced_at: Option<u64>,
    ended_at: u64,
    /// When this leader received its first input.
    elected_at: u64,
    /// When this leader last read the state of a rollout that it did not know.
    takeover_at: u64,
    /// Number of attempts at the start of recent periods, to estimate the rate.
    counts: BTreeMap<u64, u64>,
}

impl RolloutLeader {
    /// Creates the leader's state for a service; it first reads the stored state.
    #[must_use]
    pub fn new(service: Name, policy: RolloutPolicy) -> Self {
        Self {
            service,
            policy,
            order: None,
            order_seen: 0,
            state: None,
            revision: 0,
            fresh: false,
            reading: false,
            restoring: false,
            followed: None,
            pending: None,
            maybe_complete: false,
            retry_at: 0,
            rollback: None,
            comparison: Comparison::default(),
            reporters: HashMap::new(),
            hosts: BTreeSet::new(),
            versions: BTreeSet::new(),
            recent: None,
            relays: RelayCheck::default(),
            judged_at: 0,
            judgement: Judgement::Open,
            announced_at: None,
            ended_at: 0,
            elected_at: 0,
            takeover_at: 0,
            counts: BTreeMap::new(),
        }
    }

    /// The state as last known.
    #[must_use]
    pub const fn state(&self) -> Option<&RolloutState> {
        self.state.as_ref()
    }

    /// Handles an input at a time in ms since the Unix epoch and returns what to do, in order.
    pub fn handle(&mut self, input: RolloutInput, now: u64) -> Vec<RolloutAction> {
        let mut out = Vec::new();
        if self.elected_at == 0 {
            self.elected_at = now;
        }
        match input {
            RolloutInput::Order(order) => {
                if self.order.as_ref().is_none_or(|old| old.id != order.id) {
                    self.order_seen = now;
                    self.announced_at = None;
                }
                self.order = Some(order);
            }
            RolloutInput::State { state, revision } => {
                self.reading = false;
                self.adopt_stored(state, revision, now);
            }
            RolloutInput::StoreReset => self.read_again(now),
            RolloutInput::Followed(share) => self.follow(share, now),
            RolloutInput::Stored { revision } => {
                if let Some(state) = self.pending.take() {
                    self.adopt(Some(state), revision, now);
                }
            }
            RolloutInput::StoreFailed => self.read_again(now + millis(self.policy.store_retry)),
            RolloutInput::Conflict => self.forget_store(now),
            RolloutInput::Relays(hosts) => self.relays.set_hosts(hosts, now),
            RolloutInput::Report(report) => self.receive(report, now),
            RolloutInput::Members { hosts, versions, recent } => {
                (self.hosts, self.versions, self.recent) = (hosts, versions, recent);
            }
            RolloutInput::Tick => {}
        }
        self.read_state(now, &mut out);
        self.start_order(&mut out);
        self.advance(now, &mut out);
        self.announce(now, &mut out);
        out
    }

    /// When the leader next needs a tick, in ms since the Unix epoch; `None` if nothing is to be done.
    #[must_use]
    pub fn deadline(&self, now: u64) -> Option<u64> {
        let running = self.state.as_ref().is_some_and(|state| state.step.is_running());
        let running = running || self.next_state().is_some();
        let unread = !self.fresh && !self.reading;
        let lingers = now < self.ended_at + millis(self.policy.linger);
        let step = millis(self.policy.period) / 5;
        match (running, unread, lingers) {
            (true, ..) => Some(now + step),
            (false, true, _) => Some(self.retry_at.max(now + 1)),
            (false, false, true) => {
                self.announced_at.map(|at| at + millis(self.policy.period)).or(Some(now + step))
            }
            (false, false, false) => None,
        }
    }

    /// Whether the store is behind what is known of the rollout, which is written again.
    #[must_use]
    pub const fn is_restoring(&self) -> bool {
        self.restoring
    }

    /// Takes in the share that a daemon follows. If it is later than the state, either another leader has stored it or
    /// the store has lost it.
    fn follow(&mut self, share: VersionShare, now: u64) {
        let known = self.followed.as_ref().map_or(0, |known| known.epoch);
        if share.is_hold() || share.epoch <= known {
            return;
        }
        let behind = self.state.as_ref().is_none_or(|state| state.epoch() < share.epoch);
        self.followed = Some(share);
        if behind && self.fresh {
            self.read_again(now);
        }
    }

    /// Takes over the state that was read from the store, or a later one that the store has lost.
    fn adopt_stored(&mut self, stored: Option<RolloutState>, revision: u64, now: u64) {
        let epoch = stored.as_ref().map(RolloutState::epoch);
        let (known, order) = (self.state.as_ref(), self.order.as_ref());
        let latest = latest_state(stored, known, self.followed.as_ref(), order, now);
        let restoring = latest.as_ref().map(RolloutState::epoch) > epoch;
        if latest.as_ref().map(|latest| latest.number) != known.map(|known| known.number) {
            self.takeover_at = now;
        }
        self.adopt(latest, revision, now);
        self.restoring = restoring;
    }

    /// Takes over the stored state.
    fn adopt(&mut self, state: Option<RolloutState>, revision: u64, now: u64) {
        let old = self.state.as_ref().map(|state| state.number);
        if state.as_ref().map(|state| state.number) != old {
            self.comparison = Comparison::default();
            self.reporters.clear();
            self.counts.clear();
            self.judgement = Judgement::Open;
            self.rollback = None;
        }
        if state.as_ref().is_some_and(|state| !state.step.is_running()) {
            self.ended_at = now;
        }
        (self.state, self.revision, self.fresh) = (state, revision, true);
        self.pending = None;
        self.restoring = false;
        self.maybe_complete = false;
        self.announced_at = None;
    }

    /// Reads the state again from a time on. A write in flight may still take effect.
    fn read_again(&mut self, at: u64) {
        self.maybe_complete |= self.is_completing();
        self.forget_store(at);
    }

    fn forget_store(&mut self, retry_at: u64) {
        self.pending = None;
        self.reading = false;
        self.fresh = false;
        self.retry_at = retry_at;
    }

    fn is_completing(&self) -> bool {
        self.pending.as_ref().is_some_and(|state| state.step == RolloutStep::Complete)
    }

    fn read_state(&mut self, now: u64, out: &mut Vec<RolloutAction>) {
        if !self.fresh && !self.reading && self.pending.is_none() && now >= self.retry_at {
            self.reading = true;
            out.push(RolloutAction::Read);
        }
    }

    fn write(&mut self, state: RolloutState, out: &mut Vec<RolloutAction>) {
        self.pending = Some(state.clone());
        out.push(RolloutAction::Write { state, revision: self.revision });
    }

    /// Whether a write can be made now.
    const fn can_write(&self) -> bool {
        self.fresh && self.pending.is_none()
    }

    /// Begins a rollout if there is a new order, or restores the state of the current one.
    fn start_order(&mut self, out: &mut Vec<RolloutAction>) {
        let restored = || self.state.clone().filter(|_| self.restoring);
        if let Some(next) = self.next_state().or_else(restored).filter(|_| self.can_write()) {
            self.write(next, out);
        }
    }

    /// The first state of the rollout of an order that has none yet.
    fn next_state(&self) -> Option<RolloutState> {
        let order = self.order.as_ref()?;
        let known = self.state.as_ref().is_some_and(|state| state.is_of(order));
        if known || (order.aborted && self.state.is_none()) {
            return None;
        }
        let version = Some(&order.version);
        let in_force = self.state.as_ref().is_some_and(|state| state.force.as_ref() == version)
            && self.versions.contains(&version.cloned());
        let mut next = RolloutState::begin(self.state.as_ref(), order, in_force, self.order_seen);
        if !in_force {
            self.keep_replaced(&mut next);
            next.force = self.sole_old(&next).or(next.force);
        }
        Some(next)
    }

    /// Leaves the version whose rollout is replaced in use if no other one is left to compare the new one with, as
    /// where it has been in force all the time.
    fn keep_replaced(&self, next: &mut RolloutState) {
        let Some(replaced) = self.state.as_ref().filter(|state| !state.step.is_bad()) else {
            return;
        };
        if self.recent.as_ref().is_some_and(|recent| !has_old(recent, next)) {
            next.avoid.retain(|version| *version != replaced.version);
        }
    }

    /// The version of all targets that have another one than the rollout and may receive requests; `None` if there are
    /// several or none.
    fn sole_old(&self, state: &RolloutState) -> Option<Name> {
        let versions = self.recent.as_ref().unwrap_or(&self.versions);
        let mut old = versions.iter().filter(|version| is_old(version.as_ref(), state));
        let first = old.next()?;
        first.clone().filter(|_| old.next().is_none())
    }

    /// Takes in a report. Evidence is cumulative, so a lost or reordered report does no harm.
    fn receive(&mut self, report: EvidenceReport, now: u64) {
        let Some(state) = &self.state else { return };
        let share = state.share(&self.service, &self.policy);
        let EvidenceReport {
            host, incarnation, epoch, stopped, old_open, old_live, evidence, ..
        } = report;
        if (VersionShare { epoch, ..share.clone() }).number() != share.number() {
            return;
        }
        if VersionShare::is_rollback(epoch, share.number()) && state.step.is_running() {
            // A predecessor announced a rollback that it could not store.
            self.rollback.get_or_insert(RollbackReason::BadResponses);
        }
        let known = self.reporters.get(&host);
        // A successor cannot tell when the evidence that it receives first was collected.
        let early = now < state.begun + state.duration / 2 || known.is_none();
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let fresh = match known.filter(|known| known.incarnation == incarnation) {
            Some(known) => evidence.since(&known.evidence),
            None => Some(evidence.clone()),
        };
        let Some(fresh) = fresh else { return };
        let same = known.filter(|known| known.incarnation == incarnation);
        let epoch = same.map_or(epoch, |known| known.epoch.max(epoch));
        self.comparison.add(&fresh, early);
        let reporter = Reporter { incarnation, epoch, stopped, old_open, old_live, evidence };
        self.reporters.insert(host, reporter);
    }

    /// Takes the next step of the running rollout if it is due.
    fn advance(&mut self, now: u64, out: &mut Vec<RolloutAction>) {
        let Some(state) = self.state.clone().filter(|state| state.step.is_running()) else {
            return;
        };
        if self.is_completing() {
            return;
        }
        self.judge(&state, now);
        let reason = self.rollback.or_else(|| self.find_fault(&state, now));
        if let Some(reason) = reason {
            if self.rollback.is_none() {
                self.rollback = Some(reason);
                self.announced_at = None;
            }
            if self.can_write() {
                self.write(state.at_step(RolloutStep::RolledBack(reason)), out);
            }
            return;
        }
        if !self.can_write() || self.is_replaced(&state) {
            return;
        }
        if self.is_unopposed(&state, now) {
            return self.finish_unopposed(&state, now, out);
        }
        let next = match state.step {
            RolloutStep::Canary if self.may_switch(&state, now) => RolloutStep::Switch,
            RolloutStep::Switch if self.may_complete(&state, now) => RolloutStep::Complete,
            _ => return,
        };
        self.write(state.at_step(next), out);
    }

    /// Whether no other version is known to compare with or to return to, neither to this leader nor to any daemon
    /// that it reaches: none has been in force since the order, or the old targets have stopped and the completion
    /// was lost.
    fn is_unopposed(&self, state: &RolloutState, now: u64) -> bool {
        let sole = self.recent.as_ref().is_some_and(|recent| !has_alternative(recent, state));
        let mut reached = self.hosts.iter().filter_map(|host| self.reporters.get(host));
        let seen = reached.any(|known| known.old_live);
        if !sole || seen || !self.is_live(state) || !self.all_confirmed(state) {
            return false;
        }
        let (new, all) = self.comparison.attempts();
        now + LAST_COMPLETION >= state.limit() || (state.force.is_none() && new == all)
    }

    /// Whether targets of the version that is rolled out are live.
    fn is_live(&self, state: &RolloutState) -> bool {
        self.versions.contains(&Some(state.version.clone()))
    }

    /// Completes the rollout of a version beside which no other one runs, once it is certain that the whole fleet
    /// was asked. A leader that does not reach all of it would otherwise complete a version that was never compared
    /// with the one in force.
    fn finish_unopposed(&mut self, state: &RolloutState, now: u64, out: &mut Vec<RolloutAction>) {
        let paused = self.order.as_ref().is_some_and(|order| order.paused) && now < state.limit();
        if self.relays.is_covered(now, |host| self.hosts.contains(host)) {
            if !paused {
                self.write(state.at_step(RolloutStep::Complete), out);
            }
        } else if self.relays.is_due(now, millis(self.policy.store_retry)) {
            out.push(RolloutAction::ReadRelays);
        }
    }

    /// Whether another order waits to be written.
    fn is_replaced(&self, state: &RolloutState) -> bool {
        self.order.as_ref().is_some_and(|order| !state.is_of(order))
    }

    fn judge(&mut self, state: &RolloutState, now: u64) {
        let period = millis(self.policy.period);
        if now < self.judged_at + period / 2 {
            return;
        }
        self.judged_at = now;
        let periods = state.duration / (period / 2).max(1) + 1;
        self.judgement = self.comparison.judge(periods);
        self.counts.insert(now, self.comparison.attempts().1);
        let oldest = now.saturating_sub(period * 4);
        self.counts.retain(|at, _| *at >= oldest);
    }

    /// Why the rollout has to be rolled back.
    fn find_fault(&self, state: &RolloutState, now: u64) -> Option<RollbackReason> {
        // If the completion may have been written, the old targets may have stopped. As long as some run,
        // a rollback costs nothing: a completion that is found later has the higher epoch.
        let old_live = has_old(&self.versions, state);
        if self.maybe_complete && !old_live {
            return None;
        }
        if self.judgement == Judgement::Bad {
            return Some(RollbackReason::BadResponses);
        }
        let order = self.order.as_ref().filter(|order| state.is_of(order));
        if order.is_some_and(|order| order.aborted) {
            return Some(RollbackReason::Aborted);
        }
        // Without another version to return to, the old targets have stopped, as they do when a rollout is complete.
        let stranded = self.is_live(state) && !has_alternative(&self.versions, state);
        let late = now >= state.limit().max(self.takeover_at + HEARING_TIME);
        (late && !stranded && !self.maybe_complete).then_some(RollbackReason::TimeLimit)
    }

    /// Whether all traffic may be switched: late enough for the bound on a bad version's requests, and with
    /// full evidence.
    fn may_switch(&self, state: &RolloutState, now: u64) -> bool {
        let order = self.order.as_ref().filter(|order| state.is_of(order));
        if order.is_some_and(|order| order.paused) || self.judgement != Judgement::Good {
            return false;
        }
        let left = state.limit().saturating_sub(now);
        let by_share = state.duration * u64::from(self.policy.lead_share) / 1000;
        let lead = by_share.max(millis(self.policy.min_lead));
        left <= lead && left >= SWITCH_MARGIN && self.stays_bounded(state, left)
    }

    /// Whether the bound holds if all requests of the next `left` ms go to the new version. The lead alone
    /// does not ensure it if the rate grows during the rollout.
    fn stays_bounded(&self, state: &RolloutState, left: u64) -> bool {
        let (new, all) = self.comparison.attempts();
        let (Some(first), Some(last)) = (self.counts.iter().next(), self.counts.iter().next_back())
        else {
            return false;
        };
        let recent = as_float(last.1 - first.1) / as_float((last.0 - first.0).max(1));
        let mean = as_float(all) / as_float(state.duration.saturating_sub(left).max(1));
        // The first reports to a successor contain all requests since the order.
        let takeover = self.elected_at + 4 * millis(self.policy.period);
        let per_ms = if *last.0 < takeover { mean } else { recent };
        // Reports are up to a period old, so the requests since then are not in the counts.
        let rest = per_ms * RATE_MARGIN * as_float(left);
        let bound = f64::from(self.policy.exposure) / 1000.0 * (as_float(all) + rest)
            + as_float(self.policy.slack);
        as_float(new) + rest <= bound
    }

    /// Whether the old targets may stop: no daemon sends to them any more, and they have run what they received.
    /// Shortly before the time limit, requests that still run there are given up.
    fn may_complete(&self, state: &RolloutState, now: u64) -> bool {
        if now + COMPLETION_MARGIN > state.limit() || !self.all_confirmed(state) {
            return false;
        }
        let open = self.hosts.iter().filter_map(|host| self.reporters.get(host));
        open.map(|known| known.old_open).sum::<u32>() == 0 || now + LAST_COMPLETION >= state.limit()
    }

    /// Whether all live daemons follow the share of this state.
    fn all_confirmed(&self, state: &RolloutState) -> bool {
        let epoch = state.share(&self.service, &self.policy).epoch;
        let confirmed = |host: &Name| {
            self.reporters.get(host).is_some_and(|known| known.epoch >= epoch && !known.stopped)
        };
        !self.hosts.is_empty() && self.hosts.iter().all(confirmed)
    }

    /// Time between two announcements in ms. After the switch it is short, because the time until the completion
    /// is bounded and the confirmations come with the responses to announcements.
    fn period(&self) -> u64 {
        let period = millis(self.policy.period);
        match &self.state {
            Some(state) if state.step == RolloutStep::Switch => period / 5,
            _ => period,
        }
    }

    /// Announces the current share, at once after a change and periodically while the rollout runs.
    fn announce(&mut self, now: u64, out: &mut Vec<RolloutAction>) {
        let due = self.announced_at.is_none_or(|at| now >= at + self.period());
        if let Some(next) = self.next_state().filter(|next| next.step.is_running() && due) {
            self.announced_at = Some(now);
            out.push(RolloutAction::Announce(next.hold(&self.service, &self.policy)));
            return;
        }
        let Some(state) = &self.state else { return };
        let lingers = now < self.ended_at + millis(self.policy.linger);
        if !due || !(state.step.is_running() || lingers) {
            return;
        }
        let state = match self.rollback {
            Some(reason) if state.step.is_running() => {
                state.at_step(RolloutStep::RolledBack(reason))
            }
            _ => state.clone(),
        };
        self.announced_at = Some(now);
        out.push(RolloutAction::Announce(state.share(&self.service, &self.policy)));
    }
}

/// Whether targets of another version than the one that is rolled out may receive requests.
fn has_old(versions: &BTreeSet<Option<Name>>, state: &RolloutState) -> bool {
    versions.iter().any(|version| is_old(version.as_ref(), state))
}

/// Whether targets of another version than the one that is rolled out are live that is not known to be bad.
fn has_alternative(versions: &BTreeSet<Option<Name>>, state: &RolloutState) -> bool {
    versions.iter().any(|version| {
        let version = version.as_ref();
        version != Some(&state.version) && !version.is_some_and(|v| state.bad.contains(v))
    })
}

/// Whether a version is another one than that of the rollout, and neither rolled back nor replaced.
fn is_old(version: Option<&Name>, state: &RolloutState) -> bool {
    version != Some(&state.version) && !version.is_some_and(|version| state.avoid.contains(version))
}

fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "times and counts stay far below 2^53")]
const fn as_float(value: u64) -> f64 {
    value as f64
}
