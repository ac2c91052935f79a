use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Response, body::Body as _};
use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
    time::Instant,
};

use crate::{
    bucket::TokenBucket,
    control,
    counts::PlatformCounts,
    gateway,
    server::{Body, Limits, Server},
    store::{Op, Store},
};

/// Default time between progress notifications of a watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Number of changes kept by default for watches that resume.
const HISTORY_LIMIT: usize = 10_000;

/// Connection limits, far above what tests and benchmarks open.
const SERVER_LIMITS: Limits = Limits { connections: 100_000, delay: Duration::ZERO };

/// A loopback address whose port the operating system chooses.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of a stand-in for the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Standin {
    addr: SocketAddr,
    control: SocketAddr,
    progress: Duration,
    history: usize,
    reads: Option<f64>,
    writes: Option<f64>,
}

impl Default for Standin {
    fn default() -> Self {
        Self::new()
    }
}

impl Standin {
    /// Any free ports on loopback, without rate limits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            addr: ANY_PORT,
            control: ANY_PORT,
            progress: PROGRESS_INTERVAL,
            history: HISTORY_LIMIT,
            reads: None,
            writes: None,
        }
    }

    /// Serves the platform's APIs at this address.
    #[must_use]
    pub fn with_addr(self, addr: SocketAddr) -> Self {
        Self { addr, ..self }
    }

    /// Serves the control endpoint at this address.
    #[must_use]
    pub fn with_control(self, control: SocketAddr) -> Self {
        Self { control, ..self }
    }

    /// Sets the time between progress notifications of a watch, 2 s by default.
    #[must_use]
    pub fn with_progress(self, progress: Duration) -> Self {
        Self { progress, ..self }
    }

    /// Sets the number of changes kept for watches that resume, 10,000 by default; older ones are
    /// compacted.
    #[must_use]
    pub fn with_history(self, history: usize) -> Self {
        Self { history, ..self }
    }

    /// Sets the reads and writes admitted per second, `None` for no limit. Each open watch uses up
    /// one read per second.
    #[must_use]
    pub fn with_rates(self, reads: Option<f64>, writes: Option<f64>) -> Self {
        Self { reads, writes, ..self }
    }

    /// Binds the addresses and serves until [`close`](RunningStandin::close).
    ///
    /// # Errors
    /// An address cannot be bound.
    #[allow(clippy::unused_async)] // requires a runtime, and binding may become asynchronous
    pub async fn start(self) -> io::Result<RunningStandin> {
        let shared = Arc::new(Shared::new(&self));
        let gateway = {
            let shared = shared.clone();
            let handler = Arc::new(move |request, gate| {
                Box::pin(gateway::handle(shared.clone(), request, gate)) as _
            });
            Arc::new(Server::start(self.addr, SERVER_LIMITS, handler)?)
        };
        let inner = Inner { shared: shared.clone(), gateway };
        let control = control::start(self.control, inner.clone())?;
        let mut lease_task = JoinSet::new();
        lease_task.spawn(expire_leases(shared));
        Ok(RunningStandin { inner, control, lease_task })
    }
}

/// A copy of the store.
#[derive(Clone, Debug)]
pub struct Snapshot(Store);

/// A running stand-in; when dropped without `close`, it stops some time later.
#[derive(Debug)]
pub struct RunningStandin {
    inner: Inner,
    control: Server,
    lease_task: JoinSet<()>,
}

impl RunningStandin {
    /// The address of the platform's APIs.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.inner.gateway.addr()
    }

    /// The address of the control endpoint.
    #[must_use]
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// Calls since the start, and the currently open watches.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.inner.shared.lock().counts
    }

    /// Number of open client connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.gateway.connections().open.load(Relaxed)
    }

    /// The current revision of the store.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.inner.shared.lock().store.revision.unsigned_abs()
    }

    /// Writes a key as the operator, without regard to rate limits and injected faults.
    ///
    /// # Errors
    /// The store rejects the value, for the reason given.
    pub fn write(&self, key: &str, value: impl Into<Bytes>) -> Result<(), String> {
        let op = Op::Put { key: key.to_owned().into(), value: value.into(), lease: 0 };
        let run = |state: &mut State| state.store.run(vec![op]);
        self.inner.shared.update(run).map(drop).map_err(|error| error.to_string())
    }

    /// Refuses new connections and closes the existing ones.
    pub async fn down(&self) {
        self.inner.down().await;
    }

    /// Accepts connections again.
    pub async fn up(&self) {
        self.inner.up().await;
    }

    /// Closes the existing connections and accepts new ones.
    pub async fn reset(&self) {
        self.inner.up().await;
    }

    /// Delays the handling of each call by `delay`.
    pub fn slow(&self, delay: Duration) {
        self.inner.shared.lock().delay = delay;
    }

    /// Accepts connections and calls, but neither handles nor answers them until `resume`.
    pub fn pause(&self) {
        self.inner.gateway.pause(true);
    }

    /// Ends a `pause`.
    pub fn resume(&self) {
        self.inner.gateway.pause(false);
    }

    /// Stops answering on all existing connections for good; new connections work.
    pub fn silence(&self) {
        self.inner.gateway.silence();
    }

    /// Limits the reads and writes per second; `None` removes the limit.
    pub fn limit(&self, reads: Option<f64>, writes: Option<f64>) {
        self.inner.shared.lock().limit(reads, writes);
    }

    /// Closes the connection instead of answering for the next `count` transactions, lease grants
    /// and revocations that take effect.
    pub fn lose_answers(&self, count: u64) {
        self.inner.shared.lock().losses_left = count;
    }

    /// Ends a lease as if it had expired; returns false if it does not exist.
    #[must_use]
    pub fn expire_lease(&self, lease: i64) -> bool {
        self.inner.shared.expire_lease(lease)
    }

    /// The ids of the leases that have not ended.
    #[must_use]
    pub fn leases(&self) -> Vec<i64> {
        self.inner.shared.lock().store.leases()
    }

    /// Copies the store.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.inner.shared.lock().store.clone())
    }

    /// Replaces the store by an older copy and closes all connections. All leases get their full
    /// time to live again.
    pub async fn restore(&self, snapshot: &Snapshot) {
        self.inner.restore(snapshot.clone()).await;
    }

    /// Discards the changes before the current revision.
    pub fn compact(&self) {
        self.inner.shared.lock().store.compact();
    }

    /// Closes the listeners and all connections.
    pub async fn close(mut self) {
        self.lease_task.shutdown().await;
        self.control.close().await;
        self.inner.gateway.close_connections(false);
        self.inner.gateway.wait_closed().await;
    }
}

/// The parts that the stand-in shares with its control endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Inner {
    pub(crate) shared: Arc<Shared>,
    pub(crate) gateway: Arc<Server>,
}

impl Inner {
    pub(crate) async fn down(&self) {
        self.gateway.close_connections(false);
        self.gateway.wait_closed().await;
    }

    pub(crate) async fn up(&self) {
        self.gateway.close_connections(true);
        self.gateway.wait_closed().await;
    }

    pub(crate) async fn restore(&self, snapshot: Snapshot) {
        self.shared.update(|state| {
            state.store = snapshot.0;
            state.era += 1;
            state.store.renew_all(Instant::now());
        });
        self.up().await;
    }
}

/// The stand-in's state and the signals that announce its changes.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) revision: watch::Sender<i64>,
    lease_changed: Notify,
}

/// The store, the call counts and the injected faults.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) counts: PlatformCounts,
    pub(crate) delay: Duration,
    /// Answers that are still to be dropped.
    pub(crate) losses_left: u64,
    pub(crate) progress: Duration,
    pub(crate) saved: Option<Snapshot>,
    /// How often the store was restored from a snapshot.
    pub(crate) era: u64,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl State {
    /// Takes a token of the rate limit, and returns whether there was one. Each open watch uses up
    /// one read per second.
    pub(crate) fn admit(&mut self, read: bool) -> bool {
        let now = Instant::now();
        if !read {
            return self.writes.take(0.0, now);
        }
        let held = u32::try_from(self.counts.waiting).unwrap_or(u32::MAX);
        self.reads.take(f64::from(held), now)
    }

    pub(crate) fn limit(&mut self, reads: Option<f64>, writes: Option<f64>) {
        let now = Instant::now();
        self.reads = TokenBucket::new(reads, now);
        self.writes = TokenBucket::new(writes, now);
    }

    pub(crate) fn lose_answer(&mut self) -> bool {
        let lost = self.losses_left > 0;
        if lost {
            self.losses_left -= 1;
            self.counts.lost += 1;
        }
        lost
    }

    pub(crate) fn count_answer(&mut self, answer: Response<Body>) -> Response<Body> {
        self.counts.bytes_out += answer.body().size_hint().lower();
        answer
    }

    /// Saves a copy of the store, which the control endpoint can restore.
    pub(crate) fn save_snapshot(&mut self) {
        self.saved = Some(Snapshot(self.store.clone()));
    }
}

impl Shared {
    fn new(settings: &Standin) -> Self {
        let now = Instant::now();
        let store = Store::new(settings.history);
        let (revision, _) = watch::channel(store.revision);
        let state = State {
            store,
            counts: PlatformCounts::default(),
            delay: Duration::ZERO,
            losses_left: 0,
            progress: settings.progress,
            saved: None,
            era: 0,
            reads: TokenBucket::new(settings.reads, now),
            writes: TokenBucket::new(settings.writes, now),
        };
        Self { state: Mutex::new(state), revision, lease_changed: Notify::new() }
    }

    /// Locks the state, for reading or for changes that are invisible to watches.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the leases that are due, changes the state, and wakes the watches.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.lock();
        let expired = state.store.expire(Instant::now());
        state.counts.expired += expired;
        let result = change(&mut state);
        self.revision.send_if_modified(|seen| {
            std::mem::replace(seen, state.store.revision) != state.store.revision
        });
        self.lease_changed.notify_one();
        result
    }

    pub(crate) fn expire_lease(&self, lease: i64) -> bool {
        self.update(|state| {
            let ended = state.store.revoke(lease).is_ok();
            state.counts.expired += u64::from(ended);
            ended
        })
    }
}

/// Ends leases when they are due, so that watches report it without another call.
async fn expire_leases(shared: Arc<Shared>) {
    loop {
        let next = shared.lock().store.next_expiry();
        match next {
            None => shared.lease_changed.notified().await,
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at) => shared.update(|_| ()),
                () = shared.lease_changed.notified() => {}
            },
        }
    }
}
