use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dw_log::{Event, Field, Kind, Log};
use dw_mesh::{Input, LocalEvent, Member, MemberTable};
use dw_request::{
    Dispatcher, DispatcherConfig, Fingerprint, Keeper, KeeperConfig, POISON_DURATION, Reason,
    Refusal, ReportedTarget, StopLimit,
};
use dw_tables::{Name, Version};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time::{Instant, sleep},
};
use tokio_util::task::TaskTracker;

use crate::{
    Dialect, Settings, TargetSettings,
    counters::Counters,
    node::{NodeMessage, View},
    quota::QuotaHandle,
    rollout::RolloutHandle,
    tasks::Tasks,
};

mod access;
mod answer;
mod body;
mod call;
mod daemon_pool;
mod deadline_body;
mod error;
mod events;
mod fleet;
mod forward;
mod headers;
mod hop_context;
mod keeper;
mod local;
mod local_target;
mod meter;
mod records;
mod rollout;
mod server;
mod target_notice;
mod target_pool;

use body::{BodyEnd, Payload, TrackedBody, VerifiedBody};
use call::Call;
use daemon_pool::DaemonPool;
use deadline_body::DeadlineBody;
use fleet::Fleet;
use local_target::LocalTarget;
pub(crate) use server::Server;

/// Interval at which expired entries are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time between two membership updates that are applied.
const MEMBERS_MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Connections per slot for a target that reports its slots only. A connection stays busy until its
/// response has been read, so it can outlive the slot of its request.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// Maximum number of fingerprints remembered as poisoned by a broadcast.
const MAX_POISONED: usize = 4096;

/// The part of a daemon that forwards requests.
///
/// The dispatcher and the keeper sit behind mutexes rather than in tasks of their own. A decision
/// takes microseconds and a request needs several; a message to a task and back would add two task
/// switches to each. No lock is held across an await point.
pub(crate) struct Proxy {
    host: Name,
    started: Instant,
    /// The incarnation with which the process started.
    incarnation: u64,
    caller_addr: SocketAddr,
    retry_body: usize,
    dispatcher: Mutex<Dispatcher>,
    keeper: Mutex<Keeper>,
    fleet: Mutex<Fleet>,
    members: watch::Sender<Arc<MemberTable>>,
    poisoned: Mutex<HashMap<u64, Instant>>,
    targets: Mutex<Vec<Arc<LocalTarget>>>,
    dialect: Dialect,
    daemons: DaemonPool,
    node: OnceLock<mpsc::Sender<NodeMessage>>,
    /// The task that leads rollouts; not set unless they are enabled.
    rollouts: OnceLock<RolloutHandle>,
    permits: Arc<Semaphore>,
    draining: AtomicBool,
    /// Bounds what a daemon that was told to stop still accepts.
    stop_limit: Mutex<StopLimit>,
    /// Admits requests of workspaces with a limit.
    pub(crate) quota: QuotaHandle,
    /// Tracks the requests in flight.
    pub(crate) in_flight: TaskTracker,
    counters: Counters,
    log: Log,
    tasks: Tasks,
}

impl Proxy {
    /// Creates a proxy that serves no version yet; `own` is this daemon's member record.
    pub(crate) fn new(
        settings: &Settings,
        dialect: Dialect,
        own: Member,
        counters: Counters,
        log: Log,
        tasks: &Tasks,
    ) -> Arc<Self> {
        let (host, domain) = (settings.host.clone(), settings.domain.clone());
        let dispatcher = Dispatcher::new(DispatcherConfig {
            host: host.clone(),
            domain: domain.clone(),
            region: settings.region.clone(),
            seed: rand::random(),
            reroutes: settings.limits.reroutes,
            retry_after: settings.retry_after,
        })
        .with_path_match(dialect.path_match)
        .with_capacity(dialect.capacity);
        let keeper =
            Keeper::new(KeeperConfig { host: host.clone(), domain, ..KeeperConfig::default() });
        let targets = settings.targets.iter().zip(0..);
        let targets = targets
            .map(|(t, idx)| Arc::new(LocalTarget::new(idx, Name::default(), t, tasks.clone())));
        let targets: Vec<_> = targets.collect();
        let incarnation = own.started;
        let configured = settings.join.iter().filter(|addr| **addr != settings.peers).count() + 1;
        let proxy = Arc::new(Self {
            host,
            started: Instant::now(),
            incarnation,
            caller_addr: settings.callers,
            retry_body: settings.limits.retry_body as usize,
            dispatcher: Mutex::new(dispatcher),
            keeper: Mutex::new(keeper),
            fleet: Mutex::new(Fleet::new(own)),
            members: watch::Sender::default(),
            poisoned: Mutex::default(),
            targets: Mutex::new(targets),
            dialect,
            daemons: DaemonPool::new(tasks.clone(), settings.ping_timeout.into()),
            node: OnceLock::new(),
            rollouts: OnceLock::new(),
            permits: Arc::new(Semaphore::new(settings.limits.requests as usize)),
            draining: AtomicBool::new(false),
            stop_limit: Mutex::default(),
            quota: QuotaHandle::new(settings.host.clone(), configured, counters.clone()),
            in_flight: TaskTracker::new(),
            counters,
            log,
            tasks: tasks.clone(),
        });
        for target in proxy.targets() {
            tasks.spawn(target.clone().expire());
        }
        proxy.set_members(&Arc::default());
        proxy
    }

    /// Sets the channel to the node task, which broadcasts poisoned fingerprints.
    pub(crate) fn set_node(&self, node: mpsc::Sender<NodeMessage>) {
        // Called once, when the daemon starts.
        let _ = self.node.set(node);
    }

    /// Switches to a new version; requests in flight keep the one that they started with.
    pub(crate) fn set_version(&self, version: &Arc<Version>) {
        self.dispatcher().set_version(version.clone());
        self.quota.set_version(version);
        let slowest = version.tables.routes.iter().map(|route| route.objective).max();
        self.daemons.set_expected_time(Duration::from(slowest.unwrap_or_default()) / 2);
        for target in self.targets() {
            self.set_queue(&target, version);
        }
    }

    /// Configures the queue of a target from its service's pool.
    fn set_queue(&self, target: &LocalTarget, version: &Version) {
        let pool = version.tables.pools.iter().find(|pool| pool.service == target.service);
        if let Some(pool) = pool {
            target.set_queue(pool.limits.queue, pool.limits.queue_wait.into());
            target.set_capacity(pool.capacity.or(self.dialect.capacity));
        }
    }

    /// Applies membership changes until the daemon is closed. Changes in quick succession, such as
    /// many hosts joining at once, are applied together.
    pub(crate) async fn follow_members(self: Arc<Self>, mut view: watch::Receiver<View>) {
        let mut seen = Arc::default();
        while view.changed().await.is_ok() {
            let members = view.borrow_and_update().members.clone();
            if !Arc::ptr_eq(&members, &seen) {
                self.set_members(&members);
                seen = members;
                sleep(MEMBERS_MIN_INTERVAL).await;
            }
        }
    }

    /// Applies a new membership table.
    fn set_members(&self, members: &Arc<MemberTable>) {
        let now = Instant::now();
        let mut fleet = lock(&self.fleet);
        fleet.set(members, now);
        let (endpoints, keepers, table) =
            (fleet.endpoints(), fleet.keeper_members(), fleet.table());
        drop(fleet);
        self.dispatcher().set_endpoints(endpoints);
        self.keeper().set_members(&keepers, now);
        self.quota.set_members(&keepers, &table, now);
        self.members.send_replace(table);
    }

    /// Refuses requests with a fingerprint that another daemon found to be poisoned, unless a target has just answered
    /// such a request.
    pub(crate) fn learn_poison(&self, fingerprint: dw_mesh::Fingerprint, left: Duration) {
        if self.dispatcher().poison_mut().was_answered(fingerprint.0, Instant::now()) {
            return self.withdraw_poison(fingerprint);
        }
        self.refuse_fingerprint(fingerprint, left);
    }

    /// Accepts requests with a fingerprint again, which a target has answered.
    pub(crate) fn accept_fingerprint(&self, fingerprint: dw_mesh::Fingerprint) {
        lock(&self.poisoned).remove(&fingerprint.0);
        self.dispatcher().poison_mut().withdraw(fingerprint.0, Instant::now());
    }

    /// Records that a target answered a request, which is no poison then.
    fn record_answer(&self, fingerprint: Fingerprint) {
        let fingerprint = dw_mesh::Fingerprint(fingerprint.short());
        let refused = lock(&self.poisoned).remove(&fingerprint.0).is_some();
        if refused {
            self.withdraw_poison(fingerprint);
        }
    }

    /// Tells the fleet that a request that it refuses was answered.
    fn withdraw_poison(&self, fingerprint: dw_mesh::Fingerprint) {
        let withdrawn = Event::new(Kind::PoisonWithdrawn)
            .with(Field::Fingerprint, format!("{:016x}", fingerprint.0));
        self.log.write(&withdrawn);
        if let Some(node) = self.node.get() {
            let event = LocalEvent::PoisonAnswered(fingerprint);
            // If the queue is full, the next answer to such a request is told.
            let _ = node.try_send(NodeMessage::Input(Input::Local(event)));
        }
    }

    fn refuse_fingerprint(&self, fingerprint: dw_mesh::Fingerprint, left: Duration) {
        let now = Instant::now();
        let mut poisoned = lock(&self.poisoned);
        poisoned.retain(|_, until| now < *until);
        if poisoned.len() < MAX_POISONED {
            poisoned.insert(fingerprint.0, now + left);
        }
    }

    /// Accepts only requests that can be expected to end before `ends_at` from now on.
    pub(crate) fn stop_at(&self, ends_at: Instant) {
        *lock(&self.stop_limit) = StopLimit::new(ends_at);
    }

    fn stop_limit(&self) -> StopLimit {
        *lock(&self.stop_limit)
    }

    /// Refuses new requests as not run from now on, except nested calls that targets on this host
    /// make for requests still in flight there.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.keeper().leave();
        for target in self.targets() {
            target.drain();
        }
    }

    /// Starts or stops draining one target. Stopping has no effect on a target that has announced that
    /// it is leaving. Returns whether the target refuses requests now, or `None` if it doesn't exist.
    pub(crate) fn drain_target(&self, index: u32, draining: bool) -> Option<bool> {
        let target = self.target(u16::try_from(index).ok()?)?;
        target.set_draining(draining);
        // Only an operator knows when a target from the settings has been restarted.
        if !draining && target.instance.is_empty() {
            target.clear_leaving();
        }
        Some(draining || target.is_leaving())
    }

    /// Whether the target with this index has announced that it is leaving.
    pub(crate) fn is_leaving(&self, index: u16) -> bool {
        self.target(index).is_some_and(|target| target.is_leaving())
    }

    /// Broadcasts that a target is leaving.
    fn announce_leaving(&self, index: u16) {
        let event = LocalEvent::TargetDraining { index: u32::from(index), draining: true };
        if let Some(node) = self.node.get() {
            // The announcement is lost if the queue is full. The gate still refuses requests, and
            // other daemons learn of it from the load in each response.
            let _ = node.try_send(NodeMessage::Input(Input::Local(event)));
        }
    }

    /// Removes expired entries until the daemon is closed. The dispatcher and the keeper also do this
    /// when they are used; this bounds the memory of an idle daemon.
    pub(crate) async fn sweep(self: Arc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.keeper().expire(now);
            self.dispatcher().poison_mut().expire(now);
            lock(&self.poisoned).retain(|_, until| now < *until);
            self.log.tick();
        }
    }

    /// Closes unused connections to other daemons, until the daemon is closed.
    pub(crate) async fn prune_connections(self: Arc<Self>, idle: Duration) {
        loop {
            sleep(idle / 2).await;
            self.daemons.prune(idle);
        }
    }

    /// Closes the idle connections to the targets on this host.
    pub(crate) fn close_idle(&self) {
        for target in self.targets() {
            target.pool.close_idle();
        }
    }

    /// Whether the daemon is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Updates the targets on this host from their own reports.
    pub(crate) fn set_reported_targets(
        &self,
        reported_targets: &[ReportedTarget],
        version: &Version,
    ) {
        let mut targets = lock(&self.targets);
        targets.retain(|target| {
            let stays = reported_targets.iter().any(|r| r.index == target.index);
            if !stays {
                target.set_draining(true);
                target.pool.close_idle();
                self.counters.forget_target(target.index);
                self.log.write(&report_event(target, "gone"));
            }
            stays
        });
        for reported in reported_targets {
            let known = targets.iter().find(|target| target.index == reported.index).cloned();
            let is_new = known.is_none();
            let target = known.unwrap_or_else(|| {
                let report = &reported.report;
                let settings = TargetSettings {
                    service: report.service.clone(),
                    address: report.address,
                    slots: report.slots,
                    connections: report.slots.saturating_mul(CONNECTIONS_PER_SLOT),
                    version: None,
                };
                let (name, tasks) = (report.name.clone(), self.tasks.clone());
                let target = Arc::new(LocalTarget::new(reported.index, name, &settings, tasks));
                self.set_queue(&target, version);
                self.tasks.spawn(target.clone().expire());
                targets.push(target.clone());
                target
            });
            let draining = !reported.is_open() || self.is_draining();
            if target.set_draining(draining) != draining || is_new {
                let state = match (reported.silent, reported.report.draining) {
                    (true, _) => "silent",
                    (false, true) => "draining",
                    (false, false) => "ready",
                };
                let event = report_event(&target, state)
                    .with(Field::Incarnation, reported.report.started)
                    .with(Field::Slots, reported.report.slots)
                    .with(Field::AgeMs, reported.reported_at.elapsed());
                self.log.write(&event);
            }
        }
    }

    /// The targets on this host.
    fn targets(&self) -> Vec<Arc<LocalTarget>> {
        lock(&self.targets).clone()
    }

    /// The target with this index.
    fn target(&self, index: u16) -> Option<Arc<LocalTarget>> {
        lock(&self.targets).iter().find(|target| target.index == index).cloned()
    }

    /// The load of each target on this host.
    pub(crate) fn loads(&self) -> Vec<(Name, dw_request::Load)> {
        self.targets().iter().map(|t| (t.service.clone(), t.load())).collect()
    }

    /// Serves a request from a caller.
    pub(crate) async fn serve_caller(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<Payload> {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.counters.refused(Reason::PoolLimit);
            return answer::refuse(&Refusal::new(Reason::PoolLimit));
        };
        let guard = self.track_request(Call::is_nested(request.headers()));
        let (response, deadline, completion) = self.serve_call(request, from).await;
        let response = hold_until_end(response, (permit, guard));
        let counters = self.counters.clone();
        response.map(|body| {
            let body = match deadline {
                Some(at) => DeadlineBody::wrap(body, at),
                None => body,
            };
            let counted = TrackedBody::new(body, move |ended| {
                if ended == BodyEnd::Failed {
                    counters.refused(Reason::ResponseTruncated);
                }
                completion.record(ended);
            });
            counted.boxed_unsync()
        })
    }

    /// Serves a request from another daemon.
    pub(crate) async fn serve_daemon(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Payload> {
        let step: Option<String> = headers::read(request.headers(), &headers::STEP);
        let guard = self.track_request(false);
        let version = request.version();
        let checked =
            |r: Request<Incoming>| r.map(|b| VerifiedBody::new(b, version).boxed_unsync());
        let response = match step.as_deref() {
            None => self.run_local(checked(request)).await,
            Some("keeper") => self.serve_keeper_request(request).await,
            Some("cede") => self.serve_record_request(checked(request)).await,
            Some("hand-over") => self.accept_records(checked(request)).await,
            Some(rollout::ROLLOUT_STEP) => self.serve_rollout_poll(checked(request)).await,
            _ => answer::refuse(&Refusal::new(Reason::ProtocolError)),
        };
        hold_until_end(response, guard)
    }

    async fn serve_keeper_request(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Payload> {
        let workspace = access::stated_workspace(request.headers());
        let mut call = Call::new(request, &self.dialect.between_daemons(), &self.log);
        if let Some(name) = workspace {
            call.access.set_workspace(self.known_workspace(name));
        }
        let Some(key) = call.record_key() else {
            return answer::refuse(&Refusal::new(Reason::ProtocolError));
        };
        if call.buffer_body(self.retry_body).await.is_err() {
            return answer::refuse(&Refusal::new(Reason::Cancelled));
        }
        match self.run_once(&mut call, &key).await {
            Ok(response) => response,
            Err(refusal) => answer::refuse(&refusal),
        }
    }

    /// Counts a request as in flight. A draining daemon doesn't count the requests that it refuses,
    /// because callers that keep retrying would prevent it from ever becoming idle. `nested` calls
    /// are not refused.
    fn track_request(&self, nested: bool) -> Option<InFlightGuard> {
        if self.is_draining() && !nested {
            return None;
        }
        self.counters.add_in_flight(1);
        Some(InFlightGuard { _token: self.in_flight.token(), counters: self.counters.clone() })
    }

    fn is_poisoned(&self, fingerprint: Fingerprint) -> bool {
        let poisoned = lock(&self.poisoned);
        !poisoned.is_empty()
            && poisoned.get(&fingerprint.short()).is_some_and(|at| Instant::now() < *at)
    }

    fn broadcast_poison(&self, fingerprint: Fingerprint) {
        let fingerprint = dw_mesh::Fingerprint(fingerprint.short());
        let poisoned =
            Event::new(Kind::Poisoned).with(Field::Fingerprint, format!("{:016x}", fingerprint.0));
        self.log.write(&poisoned);
        self.refuse_fingerprint(fingerprint, POISON_DURATION);
        if let Some(node) = self.node.get() {
            // The broadcast is lost if the queue is full; this daemon still refuses the request.
            let _ =
                node.try_send(NodeMessage::Input(Input::Local(LocalEvent::Poison(fingerprint))));
        }
    }

    /// The membership table that the proxy uses, including this daemon.
    pub(crate) fn members(&self) -> Arc<MemberTable> {
        self.members.borrow().clone()
    }

    /// Subscribes to the membership table that the proxy uses.
    pub(crate) fn watch_members(&self) -> watch::Receiver<Arc<MemberTable>> {
        self.members.subscribe()
    }

    fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    fn keeper(&self) -> MutexGuard<'_, Keeper> {
        lock(&self.keeper)
    }
}

/// A request in flight, from its arrival to the end of its response.
struct InFlightGuard {
    _token: tokio_util::task::task_tracker::TaskTrackerToken,
    counters: Counters,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.add_in_flight(-1);
    }
}

/// Holds `guard` until the body has ended.
fn hold_until_end(response: Response<Payload>, guard: impl Send + 'static) -> Response<Payload> {
    response.map(|body| TrackedBody::new(body, move |_| drop(guard)).boxed_unsync())
}

/// The log event for a change that a target reported about itself.
fn report_event(target: &LocalTarget, state: &'static str) -> Event {
    Event::new(Kind::TargetReported)
        .with(Field::Service, &target.service)
        .with(Field::Index, target.index)
        .with(Field::Instance, &target.instance)
        .with(Field::State, state)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
