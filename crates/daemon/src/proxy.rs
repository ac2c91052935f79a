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
    Dispatcher, DispatcherConfig, Fingerprint, Keeper, KeeperConfig, LocalTarget, POISON_DURATION,
    Reason, Refusal,
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
    tasks::Tasks,
};

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
mod server;
mod target_notice;
mod target_pool;

use body::{Checked, Ended, Payload, Tracked};
use call::Call;
use daemon_pool::HopPool;
use deadline_body::Bounded;
use fleet::Fleet;
use local_target::Beside;
pub(crate) use server::Server;

/// Time between two removals of what has expired.
const SWEEP: Duration = Duration::from_secs(10);

/// The shortest time between two changes of the members that are applied.
const MEMBERS_PAUSE: Duration = Duration::from_millis(10);

/// Connections that may be open to a target which states its slots only. A connection is busy until
/// its response was read, so it may outlive the slot of its request.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// The most requests remembered as poisoned by a broadcast.
const PRINTS: usize = 4096;

/// The part of a daemon that passes requests on.
///
/// The decision cores are held in small locks and not in tasks: a decision takes microseconds, and
/// a message to a task and back would add two task switches to each of several decisions that a
/// request needs. No lock is held across an await point.
pub(crate) struct Proxy {
    host: Name,
    started: Instant,
    callers: SocketAddr,
    retry_body: usize,
    dispatcher: Mutex<Dispatcher>,
    keeper: Mutex<Keeper>,
    fleet: Mutex<Fleet>,
    applied: watch::Sender<Arc<MemberTable>>,
    prints: Mutex<HashMap<u64, Instant>>,
    targets: Mutex<Vec<Arc<Beside>>>,
    dialect: Dialect,
    hops: HopPool,
    node: OnceLock<mpsc::Sender<NodeMessage>>,
    room: Arc<Semaphore>,
    draining: AtomicBool,
    /// Tokens of the requests in flight.
    pub(crate) in_flight: TaskTracker,
    counters: Counters,
    log: Log,
    tasks: Tasks,
}

impl Proxy {
    /// A proxy without a version; `own` is this daemon's member record.
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
            reroutes: settings.limits.moves,
            returns: settings.retry_after,
        });
        let keeper =
            Keeper::new(KeeperConfig { host: host.clone(), domain, ..KeeperConfig::default() });
        let targets = settings.targets.iter().zip(0..);
        let targets =
            targets.map(|(t, idx)| Arc::new(Beside::new(idx, Name::default(), t, tasks.clone())));
        let targets: Vec<_> = targets.collect();
        let proxy = Arc::new(Self {
            host,
            started: Instant::now(),
            callers: settings.callers,
            retry_body: settings.limits.retry_body as usize,
            dispatcher: Mutex::new(dispatcher),
            keeper: Mutex::new(keeper),
            fleet: Mutex::new(Fleet::new(own)),
            applied: watch::Sender::default(),
            prints: Mutex::default(),
            targets: Mutex::new(targets),
            dialect,
            hops: HopPool::new(tasks.clone(), settings.ping_timeout.into()),
            node: OnceLock::new(),
            room: Arc::new(Semaphore::new(settings.limits.requests as usize)),
            draining: AtomicBool::new(false),
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

    /// Names the task of the node, which broadcasts poison.
    pub(crate) fn set_node(&self, node: mpsc::Sender<NodeMessage>) {
        // Set once, when the daemon starts.
        let _ = self.node.set(node);
    }

    /// Serves a version from now on; requests in flight keep theirs.
    pub(crate) fn set_version(&self, version: &Arc<Version>) {
        self.dispatcher().set_version(version.clone());
        let slowest = version.tables.routes.iter().map(|route| route.objective).max();
        self.hops.expect_within(Duration::from(slowest.unwrap_or_default()) / 2);
        for target in self.targets() {
            set_queue(&target, version);
        }
    }

    /// Follows the members of the fleet until the daemon is closed. Changes that come in quick
    /// succession, as in a join storm, are applied together.
    pub(crate) async fn follow(self: Arc<Self>, mut view: watch::Receiver<View>) {
        let mut seen = Arc::default();
        while view.changed().await.is_ok() {
            let members = view.borrow_and_update().members.clone();
            if !Arc::ptr_eq(&members, &seen) {
                self.set_members(&members);
                seen = members;
                sleep(MEMBERS_PAUSE).await;
            }
        }
    }

    /// Takes over a new view of the fleet.
    fn set_members(&self, members: &Arc<MemberTable>) {
        let now = Instant::now();
        let mut fleet = lock(&self.fleet);
        fleet.set(members, now);
        let (endpoints, keepers, table) = (fleet.endpoints(), fleet.keepers(), fleet.table());
        drop(fleet);
        self.dispatcher().set_endpoints(endpoints);
        self.keeper().set_members(&keepers, now);
        self.applied.send_replace(table);
    }

    /// Refuses requests with a fingerprint that another daemon broadcast.
    pub(crate) fn refuse_fingerprint(&self, print: dw_mesh::Fingerprint) {
        let now = Instant::now();
        let mut prints = lock(&self.prints);
        prints.retain(|_, until| now < *until);
        if prints.len() < PRINTS {
            prints.insert(print.0, now + POISON_DURATION);
        }
    }

    /// Refuses new work as not run from now on, except calls that targets on this host make for
    /// requests that are still in flight there.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.keeper().leave();
        for target in self.targets() {
            target.drain();
        }
    }

    /// Refuses new work for one target, or takes it again unless the target has said that it leaves; returns
    /// whether it refuses work now, `None` if there is no such target.
    pub(crate) fn drain_target(&self, index: u32, draining: bool) -> Option<bool> {
        let target = self.target(u16::try_from(index).ok()?)?;
        target.set_draining(draining);
        // Only an operator knows when a target that the settings list has started again.
        if !draining && target.name.is_empty() {
            target.forget_leaving();
        }
        Some(draining || target.is_leaving())
    }

    /// Whether the target of an index has said that it is leaving.
    pub(crate) fn is_leaving(&self, index: u16) -> bool {
        self.target(index).is_some_and(|target| target.is_leaving())
    }

    /// Tells the fleet that a target has said that it is leaving.
    fn announce_leaving(&self, index: u16) {
        let event = LocalEvent::TargetDraining { index: u32::from(index), draining: true };
        if let Some(node) = self.node.get() {
            // A full queue loses the announcement; the gate still refuses, and callers' daemons learn it
            // from each response.
            let _ = node.try_send(NodeMessage::Input(Input::Local(event)));
        }
    }

    /// Removes what has expired, until the daemon is closed. The cores do so too when they are
    /// used; this bounds the memory of an idle daemon.
    pub(crate) async fn sweep(self: Arc<Self>) {
        loop {
            sleep(SWEEP).await;
            let now = Instant::now();
            self.keeper().expire(now);
            self.dispatcher().poison_mut().expire(now);
            lock(&self.prints).retain(|_, until| now < *until);
            self.log.tick();
        }
    }

    /// Closes connections to other daemons that are not in use, until the daemon is closed.
    pub(crate) async fn prune_connections(self: Arc<Self>, idle: Duration) {
        loop {
            sleep(idle / 2).await;
            self.hops.prune(idle);
        }
    }

    /// Closes the connections that are not in use.
    pub(crate) fn close_idle(&self) {
        for target in self.targets() {
            target.pool.close_idle();
        }
    }

    /// Whether the daemon is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes over the targets on this host from their own reports.
    pub(crate) fn set_reported_targets(&self, residents: &[LocalTarget], version: &Version) {
        let mut targets = lock(&self.targets);
        targets.retain(|target| {
            let stays = residents.iter().any(|r| r.index == target.index);
            if !stays {
                target.set_draining(true);
                target.pool.close_idle();
                self.counters.forget_target(target.index);
                self.log.write(&reported(target, "gone"));
            }
            stays
        });
        for resident in residents {
            let known = targets.iter().find(|target| target.index == resident.index).cloned();
            let is_new = known.is_none();
            let target = known.unwrap_or_else(|| {
                let report = &resident.report;
                let settings = TargetSettings {
                    service: report.service.clone(),
                    address: report.address,
                    slots: report.slots,
                    connections: report.slots.saturating_mul(CONNECTIONS_PER_SLOT),
                };
                let (name, tasks) = (report.name.clone(), self.tasks.clone());
                let target = Arc::new(Beside::new(resident.index, name, &settings, tasks));
                set_queue(&target, version);
                self.tasks.spawn(target.clone().expire());
                targets.push(target.clone());
                target
            });
            let draining = !resident.is_open() || self.is_draining();
            if target.set_draining(draining) != draining || is_new {
                let state = match (resident.silent, resident.report.draining) {
                    (true, _) => "silent",
                    (false, true) => "draining",
                    (false, false) => "ready",
                };
                let event = reported(&target, state)
                    .with(Field::Incarnation, resident.report.started)
                    .with(Field::Slots, resident.report.slots)
                    .with(Field::AgeMs, resident.reported_at.elapsed());
                self.log.write(&event);
            }
        }
    }

    /// The targets on this host.
    fn targets(&self) -> Vec<Arc<Beside>> {
        lock(&self.targets).clone()
    }

    /// The target of an index.
    fn target(&self, index: u16) -> Option<Arc<Beside>> {
        lock(&self.targets).iter().find(|target| target.index == index).cloned()
    }

    /// The load of each target on this host.
    pub(crate) fn loads(&self) -> Vec<(Name, dw_request::Load)> {
        self.targets().iter().map(|t| (t.service.clone(), t.load())).collect()
    }

    /// Responds to a caller.
    pub(crate) async fn serve_caller(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<Payload> {
        let Ok(room) = self.room.clone().try_acquire_owned() else {
            self.counters.refused(Reason::PoolLimit);
            return answer::refuse(&Refusal::new(Reason::PoolLimit));
        };
        let flight = self.flight(Call::is_nested(request.headers()));
        let (response, deadline, ending) = self.enter(request, from).await;
        let response = hold(response, (room, flight));
        let counters = self.counters.clone();
        response.map(|body| {
            let body = match deadline {
                Some(at) => Bounded::wrap(body, at),
                None => body,
            };
            let counted = Tracked::new(body, move |ended| {
                if ended == Ended::Failed {
                    counters.refused(Reason::ResponseTruncated);
                }
                ending.record(ended);
            });
            counted.boxed_unsync()
        })
    }

    /// Responds to another daemon.
    pub(crate) async fn serve_daemon(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Payload> {
        let step: Option<String> = headers::read(request.headers(), &headers::STEP);
        let flight = self.flight(false);
        let version = request.version();
        let checked = |r: Request<Incoming>| r.map(|b| Checked::new(b, version).boxed_unsync());
        let response = match step.as_deref() {
            None => self.beside(checked(request)).await,
            Some("keeper") => self.serve_key(request).await,
            Some("cede") => self.cede(checked(request)).await,
            Some("hand-over") => self.accept(checked(request)).await,
            _ => answer::refuse(&Refusal::new(Reason::ProtocolError)),
        };
        hold(response, flight)
    }

    async fn serve_key(self: &Arc<Self>, request: Request<Incoming>) -> Response<Payload> {
        let mut call = Call::new(request, &self.dialect.between_daemons(), &self.log);
        let Some(key) = call.record_key() else {
            return answer::refuse(&Refusal::new(Reason::ProtocolError));
        };
        if call.read(self.retry_body).await.is_err() {
            return answer::refuse(&Refusal::new(Reason::Cancelled));
        }
        match self.keep(&mut call, &key).await {
            Ok(response) => response,
            Err(refusal) => answer::refuse(&refusal),
        }
    }

    /// Counts a request as in flight. A leaving daemon does not count what it refuses, because
    /// callers that try again and again would keep it from ever being idle; `nested` calls are not
    /// refused.
    fn flight(&self, nested: bool) -> Option<Flight> {
        if self.is_draining() && !nested {
            return None;
        }
        self.counters.add_in_flight(1);
        Some(Flight { _token: self.in_flight.token(), counters: self.counters.clone() })
    }

    fn is_refused_print(&self, print: Fingerprint) -> bool {
        let prints = lock(&self.prints);
        !prints.is_empty() && prints.get(&short(print)).is_some_and(|at| Instant::now() < *at)
    }

    fn announce_print(&self, print: Fingerprint) {
        let print = dw_mesh::Fingerprint(short(print));
        let poisoned =
            Event::new(Kind::Poisoned).with(Field::Fingerprint, format!("{:016x}", print.0));
        self.log.write(&poisoned);
        self.refuse_fingerprint(print);
        if let Some(node) = self.node.get() {
            // A full queue loses the broadcast; the request is still refused at this daemon.
            let _ = node.try_send(NodeMessage::Input(Input::Local(LocalEvent::Poison(print))));
        }
    }

    /// The members that the proxy goes by, this daemon included.
    pub(crate) fn members(&self) -> Arc<MemberTable> {
        self.applied.borrow().clone()
    }

    /// Follows the members that the proxy goes by.
    pub(crate) fn watch_members(&self) -> watch::Receiver<Arc<MemberTable>> {
        self.applied.subscribe()
    }

    fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    fn keeper(&self) -> MutexGuard<'_, Keeper> {
        lock(&self.keeper)
    }
}

/// A request in flight, from its arrival to the end of its response.
struct Flight {
    _token: tokio_util::task::task_tracker::TaskTrackerToken,
    counters: Counters,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.counters.add_in_flight(-1);
    }
}

/// Keeps `guard` until the body has ended.
fn hold(response: Response<Payload>, guard: impl Send + 'static) -> Response<Payload> {
    response.map(|body| Tracked::new(body, move |_| drop(guard)).boxed_unsync())
}

/// The part of a fingerprint that is broadcast.
fn short(print: Fingerprint) -> u64 {
    let bytes = print.to_bytes();
    let mut part = [0; 8];
    part.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(part)
}

/// The log line of a target whose own report changed what is known of it.
fn reported(target: &Beside, state: &'static str) -> Event {
    Event::new(Kind::TargetReported)
        .with(Field::Service, &target.service)
        .with(Field::Index, target.index)
        .with(Field::Instance, &target.name)
        .with(Field::State, state)
}

/// Gives a target the queue of its service's pool.
fn set_queue(target: &Beside, version: &Version) {
    let pool = version.tables.pools.iter().find(|pool| pool.service == target.service);
    if let Some(pool) = pool {
        target.set_queue(pool.limits.queue, pool.limits.queue_wait.into());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
