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
use dw_tables::Name;
use tokio::{
    net::TcpStream,
    sync::{Notify, oneshot},
    time::{Instant, sleep_until, timeout},
};

use super::{
    events::{Expected, Saying, TargetLabel},
    target_notice::{COMPLAINT_PAUSE, Notice},
    target_pool::TargetPool,
};
use crate::{TargetSettings, clock, tasks::Tasks};

/// The longest wait for a connection that shows whether a target still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

type Turn = Result<Permit, Refusal>;

/// One target on this host: its gate and its connections.
pub(crate) struct Beside {
    /// Position among the targets of this host.
    pub(crate) index: u16,
    /// The incarnation of the target; empty if the settings list it.
    pub(crate) name: Name,
    /// The service that the target runs.
    pub(crate) service: Name,
    /// Connections to the target.
    pub(crate) pool: TargetPool,
    addr: SocketAddr,
    // A lock and not a task: a decision takes microseconds, and asking a task would add two task
    // switches to each request.
    state: Mutex<State>,
    changed: Notify,
    draining: AtomicBool,
    /// Whether a response has said that the target is leaving.
    leaving: AtomicBool,
    down: AtomicBool,
    deaths: AtomicU64,
}

struct State {
    gate: Gate,
    /// When a limit that cannot be read was last logged.
    complained: Option<Instant>,
    waiting: HashMap<Ticket, oneshot::Sender<Turn>>,
}

impl Beside {
    /// A target with all its slots free.
    pub(crate) fn new(index: u16, name: Name, settings: &TargetSettings, tasks: Tasks) -> Self {
        let (slots, connections) = (settings.slots, settings.connections);
        let gate = Gate::new(GateConfig { slots, connections, ..GateConfig::default() });
        Self {
            index,
            name,
            service: settings.service.clone(),
            pool: TargetPool::new(settings.address, connections, tasks),
            addr: settings.address,
            state: Mutex::new(State { gate, complained: None, waiting: HashMap::new() }),
            changed: Notify::new(),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            down: AtomicBool::new(false),
            // Distinct from the deaths that an earlier process of this host counted.
            deaths: AtomicU64::new(clock::unix_ms()),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Refusal> {
        if self.draining.load(Ordering::Relaxed) || self.is_leaving() {
            return Err(Refusal::new(Reason::Draining));
        }
        let (ticket, turn) = {
            let mut state = self.lock();
            match state.gate.offer(arrival, Instant::now()) {
                Admission::Run(permit) => return Ok(Slot::new(self.clone(), permit)),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => {
                    let (send, turn) = oneshot::channel();
                    state.waiting.insert(ticket, send);
                    (ticket, turn)
                }
            }
        };
        self.changed.notify_one();
        let mut waiting = Waiting { beside: self.clone(), ticket, turn };
        match (&mut waiting.turn).await {
            Ok(Ok(permit)) => Ok(Slot::new(self.clone(), permit)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(Reason::Draining)),
        }
    }

    /// Calls the gate when one of its waits ends. Runs until the daemon is closed.
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
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    /// Takes over the queue of the pool in a new version.
    pub(crate) fn set_queue(&self, queue: u32, wait: Duration) {
        self.lock().gate.set_queue(queue, wait);
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&self) {
        self.lock().gate.drain();
    }

    /// Refuses new work, or takes it again, while the daemon stays; returns what held before.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        self.draining.swap(draining, Ordering::Relaxed)
    }

    /// Whether a response has said that the target is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Takes the target for one that has started again.
    pub(crate) fn forget_leaving(&self) {
        self.leaving.store(false, Ordering::Relaxed);
    }

    /// What the gate expects of an arrival now, for the log.
    pub(crate) fn expected(&self, arrival: &Arrival) -> Expected {
        let now = Instant::now();
        let (wait, service) = self.lock().gate.estimate(arrival, now);
        Expected { wait, service, left: arrival.deadline.saturating_duration_since(now) }
    }

    /// Names the target in the log.
    pub(crate) const fn label(&self) -> TargetLabel<'_> {
        TargetLabel { service: &self.service, index: self.index }
    }

    /// What is reported with each response.
    pub(crate) fn load(&self) -> Load {
        Load { leaving: self.is_leaving(), ..self.lock().gate.load() }
    }

    /// Takes over what a response to a request that was handed over at `handed` says about the target;
    /// returns what of it is news.
    pub(crate) fn hear(&self, notice: Notice, handed: Instant) -> Vec<Saying> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut news = Vec::new();
        let (limit, named) = (state.gate.rate_limit(), state.gate.advertised_limit());
        state.gate.observe_limit(notice.limit, handed, now);
        let changed = state.gate.rate_limit() != limit;
        if changed {
            let wakes = state.gate.expire(now);
            state.wake(wakes);
        }
        if state.gate.advertised_limit() != named {
            news.push(state.gate.advertised_limit().map_or(Saying::Unlimited, Saying::Limited));
        }
        if notice.leaving && !self.leaving.swap(true, Ordering::Relaxed) {
            news.push(Saying::Leaving);
        }
        let recent = |at: Instant| now.saturating_duration_since(at) < COMPLAINT_PAUSE;
        if notice.unreadable && !state.complained.is_some_and(recent) {
            state.complained = Some(now);
            news.push(Saying::Unreadable);
        }
        drop(state);
        if changed {
            // The next request is due at another time.
            self.changed.notify_one();
        }
        news
    }

    /// The target responded.
    pub(crate) fn responded(&self) {
        self.down.store(false, Ordering::Relaxed);
    }

    /// After a connection failed under a request: if the target is gone, the number of the death
    /// and the requests that were in flight.
    pub(crate) async fn find_death(&self) -> Option<(u64, Vec<Fingerprint>)> {
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, TcpStream::connect(self.addr)).await {
            return None;
        }
        let mut state = self.lock();
        if !self.down.swap(true, Ordering::Relaxed) {
            self.deaths.fetch_add(1, Ordering::Relaxed);
        }
        let prints = state.gate.target_died(Instant::now());
        Some((self.deaths.load(Ordering::Relaxed), prints))
    }

    fn finish(&self, permit: Permit, outcome: RunOutcome) {
        let mut state = self.lock();
        let wakes = state.gate.finish(permit, outcome, Instant::now());
        state.wake(wakes);
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self, wakes: Vec<Wake>) {
        let mut wakes = wakes;
        while let Some(wake) = wakes.pop() {
            let (ticket, turn) = match wake {
                Wake::Run { ticket, permit } => (ticket, Ok(permit)),
                Wake::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            let unsent = match self.waiting.remove(&ticket) {
                Some(send) => send.send(turn).err(),
                None => Some(turn),
            };
            // The request went away in the same moment; its slot goes to the next one.
            if let Some(Ok(permit)) = unsent {
                wakes.extend(self.gate.finish(permit, RunOutcome::NotStarted, Instant::now()));
            }
        }
    }
}

/// A request in the queue; leaves it when dropped.
struct Waiting {
    beside: Arc<Beside>,
    ticket: Ticket,
    turn: oneshot::Receiver<Turn>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.beside.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.gate.cancel(self.ticket);
        }
        drop(state);
        if let Ok(Ok(permit)) = self.turn.try_recv() {
            self.beside.finish(permit, RunOutcome::NotStarted);
        }
    }
}

/// The right to run one request at a target; counts as lost when dropped.
pub(crate) struct Slot {
    beside: Arc<Beside>,
    permit: Option<Permit>,
    started: Instant,
}

impl Slot {
    fn new(beside: Arc<Beside>, permit: Permit) -> Self {
        Self { beside, permit: Some(permit), started: Instant::now() }
    }

    /// Returns the slot after the whole response was read.
    pub(crate) fn answered(self, status: u16) {
        let latency = self.started.elapsed();
        self.end(RunOutcome::Answered { status, latency });
    }

    /// Returns the slot of a request of which nothing was sent.
    pub(crate) fn not_started(self) {
        self.end(RunOutcome::NotStarted);
    }

    /// Returns the slot of a request that the target states it did not run.
    pub(crate) fn refused(self) {
        self.end(RunOutcome::Refused);
    }

    fn end(mut self, outcome: RunOutcome) {
        if let Some(permit) = self.permit.take() {
            self.beside.finish(permit, outcome);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.beside.finish(permit, RunOutcome::Lost);
        }
    }
}
