use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use tokio::task::JoinSet;

use crate::{
    Ledger, Report, ServiceTime, TargetCounts,
    server::{Limits, Server},
    standin::ANY_PORT,
    target_control,
    worker::{self, WorkSettings, Worker},
};

/// Settings of a simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    addr: SocketAddr,
    control: SocketAddr,
    limits: Limits,
    settings: WorkSettings,
    ledger: Ledger,
}

impl Target {
    /// A target of this service on any free ports on loopback, with 12 slots, 120 connections, a
    /// service time of 1 ms and answers of 256 bytes.
    #[must_use]
    pub fn new(service: &str) -> Self {
        let settings = WorkSettings {
            service: service.into(),
            slots: 12,
            service_time: ServiceTime::Fixed(Duration::from_millis(1)),
            answer_size: 256,
            retry_after: 1,
            cold_start: None,
        };
        Self {
            addr: ANY_PORT,
            control: ANY_PORT,
            limits: Limits { connections: 120, delay: Duration::ZERO },
            settings,
            ledger: Ledger::default(),
        }
    }

    /// Serves at this address.
    #[must_use]
    pub fn with_addr(self, addr: SocketAddr) -> Self {
        Self { addr, ..self }
    }

    /// Serves the control endpoint at this address.
    #[must_use]
    pub fn with_control(self, control: SocketAddr) -> Self {
        Self { control, ..self }
    }

    /// Sets the most requests processed at a time; further ones are shed.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets the most connections open at a time; further ones are closed at once.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.limits.connections = connections;
        self
    }

    /// Sets the delay before a new connection is served, zero by default.
    #[must_use]
    pub fn with_accept_delay(mut self, delay: Duration) -> Self {
        self.limits.delay = delay;
        self
    }

    /// Sets the time that the work on a request takes.
    #[must_use]
    pub fn with_service_time(mut self, time: impl Into<ServiceTime>) -> Self {
        self.settings.service_time = time.into();
        self
    }

    /// Multiplies the service time by `factor` for the duration `cold` after each start.
    #[must_use]
    pub fn with_cold_start(mut self, cold: Duration, factor: f64) -> Self {
        self.settings.cold_start = Some((cold, factor));
        self
    }

    /// Sets the length of an answer in bytes.
    #[must_use]
    pub fn with_answer_size(mut self, size: usize) -> Self {
        self.settings.answer_size = size;
        self
    }

    /// Sets the seconds that a refusal asks the client to wait.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u64) -> Self {
        self.settings.retry_after = seconds;
        self
    }

    /// Records runs in this ledger, which several targets may share.
    #[must_use]
    pub fn with_ledger(self, ledger: Ledger) -> Self {
        Self { ledger, ..self }
    }

    /// Binds the addresses and serves until [`close`](RunningTarget::close).
    ///
    /// # Errors
    /// An address cannot be bound.
    #[allow(clippy::unused_async)] // requires a runtime, and binding may become asynchronous
    pub async fn start(self) -> io::Result<RunningTarget> {
        let worker = Arc::new(Worker::new(self.settings, self.ledger));
        let handler = {
            let worker = worker.clone();
            Arc::new(move |request, gate| {
                Box::pin(worker::handle(worker.clone(), request, gate)) as _
            })
        };
        let server = Arc::new(Server::start(self.addr, self.limits, handler)?);
        worker.set_addr(server.addr());
        let inner = Inner { worker, server };
        let control = target_control::start(self.control, inner.clone())?;
        let mut crash_task = JoinSet::new();
        crash_task.spawn(crash_on_request(inner.clone()));
        Ok(RunningTarget { inner, control, crash_task })
    }
}

/// A running target; when dropped without `close`, it stops some time later.
#[derive(Debug)]
pub struct RunningTarget {
    inner: Inner,
    control: Server,
    crash_task: JoinSet<()>,
}

impl RunningTarget {
    /// The address at which requests are served.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.inner.server.addr()
    }

    /// The address of the control endpoint.
    #[must_use]
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// The record of all runs.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.inner.worker.ledger
    }

    /// Counts of requests since the start, and of those in progress.
    #[must_use]
    pub fn counts(&self) -> TargetCounts {
        self.inner.worker.lock().counts
    }

    /// The number of open connections, and the most that were open at a time.
    #[must_use]
    pub fn connections(&self) -> (usize, usize) {
        let connections = self.inner.server.connections();
        (connections.open.load(Relaxed), connections.peak.load(Relaxed))
    }

    /// The number of connections served, and of those closed because there were too many.
    #[must_use]
    pub fn accepted(&self) -> (usize, usize) {
        let connections = self.inner.server.connections();
        (connections.accepted.load(Relaxed), connections.refused.load(Relaxed))
    }

    /// Closes the listener and all connections without an answer.
    pub async fn crash(&self) {
        self.inner.crash().await;
    }

    /// Simulates a new, cold process in place of the crashed one.
    pub async fn restart(&self) {
        self.inner.restart().await;
    }

    /// Accepts connections and requests, but neither starts nor answers any until `resume`.
    pub fn pause(&self) {
        self.inner.server.pause(true);
    }

    /// Ends a `pause`.
    pub fn resume(&self) {
        self.inner.server.pause(false);
    }

    /// Stops answering on all existing connections for good; new connections work.
    pub fn silence(&self) {
        self.inner.server.silence();
    }

    /// Refuses new work or accepts it again; work in progress continues.
    pub fn drain(&self, draining: bool) {
        self.inner.worker.lock().draining = draining;
    }

    /// Sets what `/healthz` reports.
    pub fn set_health(&self, health: Report<bool>) {
        self.inner.worker.lock().health = health;
    }

    /// Sets what `/load` reports as the share of slots in use.
    pub fn set_load(&self, load: Report<f64>) {
        self.inner.worker.lock().load = load;
    }

    /// Closes the listeners and all connections.
    pub async fn close(mut self) {
        self.crash_task.shutdown().await;
        self.control.close().await;
        self.inner.server.close_connections(false);
        self.inner.server.wait_closed().await;
    }
}

/// The parts that the target shares with its control endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Inner {
    pub(crate) worker: Arc<Worker>,
    pub(crate) server: Arc<Server>,
}

impl Inner {
    pub(crate) async fn crash(&self) {
        self.worker.lock().crashed = true;
        self.server.close_connections(false);
        self.server.wait_closed().await;
    }

    pub(crate) async fn restart(&self) {
        self.crash().await;
        self.worker.restart();
        self.server.close_connections(true);
        self.server.wait_closed().await;
    }
}

/// Crashes the target whenever a request asks for it.
async fn crash_on_request(inner: Inner) {
    loop {
        inner.worker.crash.notified().await;
        inner.crash().await;
    }
}
