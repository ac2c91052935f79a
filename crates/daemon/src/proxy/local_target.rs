use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use dw_request::{
    Admission, Arrival, Fingerprint, Gate, GateConfig, Load, Permit, Reason, Refusal, RunOutcome,
    Ticket, Wake,
};
use dw_tables::{Capacity, Name};
use tokio::{
    net::TcpStream,
    sync::{Notify, oneshot},
    time::{Instant, sleep_until, timeout},
};

use super::{
    events::{Expected, NoticeChange, TargetLabel},
    target_notice::{TargetNotice, UNREADABLE_LOG_INTERVAL},
    target_pool::TargetPool,
};
use crate::{TargetSettings, clock, tasks::Tasks};

/// Timeout for the connection that checks whether a target is still running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

type AdmitResult = Result<Permit, Refusal>;

/// A target on this host: its gate and its connections.
pub(crate) struct LocalTarget {
    /// Index among the targets of this host.
    pub(crate) index: u16,
    /// The instance name that the target reported; empty for a target from the settings.
    pub(crate) instance: Name,
    /// The service that the target runs.
    pub(crate) service: Name,
    /// Connections to the target.
    pub(crate) pool: TargetPool,
    addr: SocketAddr,
    // A mutex rather than a task: a decision takes microseconds, and a task would add two task
    // switches to each request.
    state: Mutex<State>,
    gate_changed: Notify,
    draining: AtomicBool,
    /// Whether a response has announced that the target is leaving.
    leaving: AtomicBool,
    down: AtomicBool,
    deaths: AtomicU64,
}

struct State {
    gate: Gate,
    /// When an unreadable limit was last logged.
    unreadable_logged: Option<Instant>,
    waiting: HashMap<Ticket, oneshot::Sender<AdmitResult>>,
}

impl LocalTarget {
    /// Creates a target with all its slots free.
    pub(crate) fn new(index: u16, instance: Name, settings: &TargetSettings, tasks: Tasks) -> Self {
        let (slots, connections) = (settings.slots, settings.connections);
        let gate = Gate::new(GateConfig { slots, connections, ..GateConfig::default() });
        Self {
            index,
            instance,
            service: settings.service.clone(),
            pool: TargetPool::new(settings.address, connections, tasks),
            addr: settings.address,
            state: Mutex::new(State { gate, unreadable_logged: None, waiting: HashMap::new() }),
            gate_changed: Notify::new(),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            down: AtomicBool::new(false),
            // Makes the counts differ from those of an earlier daemon process on this host.
            deaths: AtomicU64::new(clock::unix_ms()),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Refusal> {
        if self.draining.load(Ordering::Relaxed) || self.is_leaving() {
            return Err(Refusal::new(Reason::Draining));
        }
        let (ticket, result) = {
            let mut state = self.lock();
            match state.gate.offer(arrival, Instant::now()) {
                Admission::Run(permit) => return Ok(Slot::new(self.clone(), permit)),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => {
                    let (send, result) = oneshot::channel();
                    state.waiting.insert(ticket, send);
                    (ticket, result)
                }
            }
        };
        self.gate_changed.notify_one();
        let mut waiting = QueuedRequest { target: self.clone(), ticket, result };
        match (&mut waiting.result).await {
            Ok(Ok(permit)) => Ok(Slot::new(self.clone(), permit)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(Reason::Draining)),
        }
    }

    /// Expires waits at the gate when they are due. Runs until the daemon is closed.
    pub(crate) async fn expire(self: Arc<Self>) {
        loop {
            let deadline = self.lock().gate.deadline();
            match deadline {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {
                        let mut state = self.lock();
                        let wakes = state.gate.expire(Instant::now());
                        state.wake(wakes);
                    }
                    () = self.gate_changed.notified() => {}
                },
                None => self.gate_changed.notified().await,
            }
        }
    }

    /// Sets whether the capacity of the target is learned, from the pool in a new version.
    pub(crate) fn set_capacity(&self, capacity: Capacity) {
        self.lock().gate.set_capacity(capacity);
    }

    /// Sets the queue limits from the pool in a new version.
    pub(crate) fn set_queue(&self, queue: u32, wait: Duration) {
        self.lock().gate.set_queue(queue, wait);
    }

    /// Refuses new requests from now on.
    pub(crate) fn drain(&self) {
        self.lock().gate.drain();
    }

    /// Starts or stops refusing new requests while the daemon keeps running. Returns the previous state.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        self.draining.swap(draining, Ordering::Relaxed)
    }

    /// Whether a response has announced that the target is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Resets the leaving state after the target has been restarted.
    pub(crate) fn clear_leaving(&self) {
        self.leaving.store(false, Ordering::Relaxed);
    }

    /// The times that the gate expects for an arrival now, for the log.
    pub(crate) fn expected(&self, arrival: &Arrival) -> Expected {
        let now = Instant::now();
        let (wait, service) = self.lock().gate.estimate(arrival, now);
        Expected { wait, service, left: arrival.deadline.saturating_duration_since(now) }
    }

    /// The label of the target in the log.
    pub(crate) const fn label(&self) -> TargetLabel<'_> {
        TargetLabel { service: &self.service, index: self.index }
    }

    /// The load that is reported with each response.
    pub(crate) fn load(&self) -> Load {
        Load { leaving: self.is_leaving(), ..self.lock().gate.load() }
    }

    /// The load that is reported with the response to this arrival.
    pub(crate) fn load_for(&self, arrival: &Arrival) -> Load {
        Load { leaving: self.is_leaving(), ..self.lock().gate.load_for(arrival.goal.as_ref()) }
    }

    /// Applies what a response says about the target; the request was sent to the target at
    /// `sent_at`. Returns what has changed.
    pub(crate) fn apply_notice(&self, notice: TargetNotice, sent_at: Instant) -> Vec<NoticeChange> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut changes = Vec::new();
        let (limit, advertised) = (state.gate.rate_limit(), state.gate.advertised_limit());
        state.gate.observe_limit(notice.limit, sent_at, now);
        let changed = state.gate.rate_limit() != limit;
        if changed {
            let wakes = state.gate.expire(now);
            state.wake(wakes);
        }
        if state.gate.advertised_limit() != advertised {
            changes.push(
                state
                    .gate
                    .advertised_limit()
                    .map_or(NoticeChange::Unlimited, NoticeChange::Limited),
            );
        }
        if notice.leaving && !self.leaving.swap(true, Ordering::Relaxed) {
            changes.push(NoticeChange::Leaving);
        }
        let recent = |at: Instant| now.saturating_duration_since(at) < UNREADABLE_LOG_INTERVAL;
        if notice.unreadable && !state.unreadable_logged.is_some_and(recent) {
            state.unreadable_logged = Some(now);
            changes.push(NoticeChange::Unreadable);
        }
        drop(state);
        if changed {
            // The next queued request is due at a different time now.
            self.gate_changed.notify_one();
        }
        changes
    }

    /// The target responded.
    pub(crate) fn responded(&self) {
        self.down.store(false, Ordering::Relaxed);
    }

    /// Checks whether the target died after a connection failed during a request. If it did, returns
    /// the count of deaths and the fingerprints of the requests that were in flight.
    pub(crate) async fn detect_death(&self) -> Option<(u64, Vec<Fingerprint>)> {
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, TcpStream::connect(self.addr)).await {
            return None;
        }
        let mut state = self.lock();
        if !self.down.swap(true, Ordering::Relaxed) {
            self.deaths.fetch_add(1, Ordering::Relaxed);
        }
        let fingerprints = state.gate.target_died(Instant::now());
        Some((self.deaths.load(Ordering::Relaxed), fingerprints))
    }

    fn finish(&self, permit: Permit, outcome: RunOutcome) {
        let mut state = self.lock();
        let wakes = state.gate.finish(permit, outcome, Instant::now());
        state.wake(wakes);
        drop(state);
        self.gate_changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self, wakes: Vec<Wake>) {
        let mut wakes = wakes;
        while let Some(wake) = wakes.pop() {
            let (ticket, result) = match wake {
                Wake::Run { ticket, permit } => (ticket, Ok(permit)),
                Wake::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            let unsent = match self.waiting.remove(&ticket) {
                Some(send) => send.send(result).err(),
                None => Some(result),
            };
            // The request was dropped at the same moment; its slot goes to the next one.
            if let Some(Ok(permit)) = unsent {
                wakes.extend(self.gate.finish(permit, RunOutcome::NotStarted, Instant::now()));
            }
        }
    }
}

/// A queued request; leaves the queue on drop.
struct QueuedRequest {
    target: Arc<LocalTarget>,
    ticket: Ticket,
    result: oneshot::Receiver<AdmitResult>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.gate.cancel(self.ticket);
        }
        drop(state);
        if let Ok(Ok(permit)) = self.result.try_recv() {
            self.target.finish(permit, RunOutcome::NotStarted);
        }
    }
}

/// The right to run one request at a target; its outcome counts as lost on drop.
pub(crate) struct Slot {
    target: Arc<LocalTarget>,
    permit: Option<Permit>,
    started: Instant,
}

impl Slot {
    fn new(target: Arc<LocalTarget>, permit: Permit) -> Self {
        Self { target, permit: Some(permit), started: Instant::now() }
    }

    /// Returns the slot after the whole response has been read.
    pub(crate) fn answered(self, status: u16) {
        let latency = self.started.elapsed();
        self.release(RunOutcome::Answered { status, latency });
    }

    /// Returns the slot of a request of which nothing was sent.
    pub(crate) fn not_started(self) {
        self.release(RunOutcome::NotStarted);
    }

    /// Returns the slot of a request that the target states it didn't run.
    pub(crate) fn refused(self) {
        self.release(RunOutcome::Refused);
    }

    fn release(mut self, outcome: RunOutcome) {
        if let Some(permit) = self.permit.take() {
            self.target.finish(permit, outcome);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.target.finish(permit, RunOutcome::Lost);
        }
    }
}
