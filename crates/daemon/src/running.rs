use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dw_log::{Event, Field, Kind, Log};
use dw_mesh::{Input, LocalEvent, MemberTable, Status, Target};
use dw_request::ReportedTarget;
use dw_tables::{Millis, Name, Tombstone, Version, VersionId};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    CounterValues, IgnoreReason,
    clock::unix_ms,
    counters::Counters,
    departures::Departures,
    node::{NodeMessage, View, ask_status},
    proxy::{Proxy, Server},
    tasks::Tasks,
    tombstones::TombstoneHandle,
};

/// Delay between the announcement that a daemon drains and the end of its idle connections, so that
/// a request sent on one of them at that moment is still refused with a response.
const NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Time between the end of the last requests and that of their connections, in which the responses are sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// Time allowed for the hand-over of records after the grace has ended.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay between the end of accepting connections and the end of idle ones, so that requests on the
/// connections accepted last can arrive and are refused with a response.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(200);

/// Timeout for connections to close once nothing is in flight. It is at most the grace divided by
/// `CLOSE_GRACE_DIVISOR`, so that a short grace leaves time for it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_GRACE_DIVISOR: u32 = 10;

/// Delay in which the last control messages are sent before the daemon ends.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For control messages of other daemons, TCP and UDP.
    pub peers: SocketAddr,
    /// For requests of other daemons.
    pub data: SocketAddr,
    /// For the admin API.
    pub admin: SocketAddr,
}

/// A running daemon. Dropping it does not stop its tasks.
pub struct Running {
    pub(crate) addrs: Addrs,
    pub(crate) grace: Duration,
    pub(crate) drain_delay: Millis,
    /// Whether the daemon was told to stop.
    pub(crate) stopping: AtomicBool,
    pub(crate) view: watch::Receiver<View>,
    pub(crate) node: mpsc::Sender<NodeMessage>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) server: Server,
    pub(crate) tombstones: TombstoneHandle,
    pub(crate) counters: Counters,
    pub(crate) log: Log,
    pub(crate) tasks: Tasks,
}

impl Running {
    /// The addresses on which the daemon listens.
    #[must_use]
    pub const fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// The number and hash of the version served; number 0 if there is none.
    #[must_use]
    pub fn served(&self) -> VersionId {
        self.view.borrow().version.id()
    }

    /// The version served.
    #[must_use]
    pub fn version(&self) -> Arc<Version> {
        self.view.borrow().version.clone()
    }

    /// The members that the daemon uses to choose targets, itself included.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        self.proxy.members()
    }

    /// Waits until the daemon serves a version of at least this number.
    pub async fn wait_version(&self, number: u64) {
        let mut view = self.view.clone();
        // Waiting fails only once the daemon has ended.
        let _ = view.wait_for(|view| view.version.number >= number).await;
    }

    /// Waits until the members satisfy a condition.
    pub async fn wait_members(&self, mut condition: impl FnMut(&MemberTable) -> bool) {
        let mut members = self.proxy.watch_members();
        // Waiting fails only once the daemon has ended.
        let _ = members.wait_for(|members| condition(members)).await;
    }

    /// Replaces the targets on this host by those that reported themselves, and announces them to the
    /// fleet, with the tombstones of others. Once it returns, a target that is not open gets no request.
    pub async fn set_reported_targets(
        &self,
        reported_targets: &[ReportedTarget],
        tombstones: Vec<Tombstone>,
    ) {
        let version = self.version();
        self.proxy.set_reported_targets(reported_targets, &version);
        let target = |reported: &ReportedTarget| Target {
            index: u32::from(reported.index),
            service: reported.report.service.clone(),
            slots: reported.report.slots,
            connections: reported.report.slots,
            draining: !reported.is_open()
                || self.proxy.is_draining()
                || self.proxy.is_leaving(reported.index),
            started: reported.report.started,
            version: reported.report.version.clone(),
            warm: warm_at(reported),
        };
        let targets = reported_targets.iter().map(target).collect();
        self.send_event(LocalEvent::Targets { targets, tombstones }).await;
    }

    /// Asks the store which targets on this host left, or were draining, when an earlier process ended. What it and
    /// peers tell is published.
    pub async fn read_departures(&self) -> watch::Receiver<Departures> {
        self.tombstones.read_departures().await
    }

    /// Stores tombstones for the next process on this host. Returns at the latest after 400 ms; what the store has not
    /// taken by then is written as soon as it does.
    pub async fn save_tombstones(&self, tombstones: Vec<Tombstone>) {
        self.tombstones.save(tombstones).await;
    }

    /// Whether the daemon accepts new work: it serves a version and was not told to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.served().number > 0 && !self.stopping.load(Ordering::Relaxed)
    }

    /// The daemon's status, with what it knows about the version in force; `None` while it closes.
    pub async fn status(&self) -> Option<Status> {
        ask_status(&self.node).await
    }

    /// Control bytes, platform calls and requests so far.
    #[must_use]
    pub fn counters(&self) -> CounterValues {
        self.counters.counts()
    }

    /// Starts or ends the drain of the target with the given index, and announces it to the fleet;
    /// returns `false` if there is no such target.
    pub async fn drain_target(&self, index: u32, draining: bool) -> bool {
        let Some(draining) = self.proxy.drain_target(index, draining) else { return false };
        self.send_event(LocalEvent::TargetDraining { index, draining }).await;
        true
    }

    /// Drains the daemon: announces it, refuses new work as not run, waits up to the grace for
    /// requests in flight, hands the at-most-once records over, and closes the connections. Further
    /// calls return immediately.
    pub async fn drain(&self) {
        if self.stopping.load(Ordering::Relaxed) {
            return;
        }
        let until = Instant::now() + self.grace;
        let close_timeout = CLOSE_TIMEOUT.min(self.grace / CLOSE_GRACE_DIVISOR);
        // Requests may also end while idle connections are closed.
        self.proxy.stop_at(until + IDLE_CLOSE_DELAY + close_timeout - RESPONSE_MARGIN);
        let drain_delay = Duration::from(self.drain_delay).min(self.grace);
        self.stopping.store(true, Ordering::Relaxed);
        if !drain_delay.is_zero() {
            self.log.write(&Event::new(Kind::Stopping).with(Field::LeftMs, drain_delay));
            sleep(drain_delay).await;
        }
        self.proxy.drain();
        let count = self.proxy.in_flight.len();
        self.log.write(&Event::new(Kind::Draining).with(Field::Count, count));
        self.server.drain.cancel();
        self.send_event(LocalEvent::StartDrain).await;
        sleep(NOTICE_DELAY.min(self.grace)).await;
        self.proxy.in_flight.close();
        if timeout_at(until, self.proxy.in_flight.wait()).await.is_err() {
            let left = self.proxy.in_flight.len();
            self.log.write(&Event::new(Kind::GraceEnded).with(Field::Count, left));
        }
        // Nothing that arrives while the connections are closed could still end.
        self.proxy.stop_at(Instant::now());
        let limit = until.max(Instant::now() + HAND_OVER_TIMEOUT);
        if timeout_at(limit, self.proxy.hand_over()).await.is_err() {
            let detail = "the grace has ended";
            self.log.write(&Event::new(Kind::RecordsRefused).with(Field::Detail, detail));
        }
        self.server.stop.cancel();
        sleep(IDLE_CLOSE_DELAY).await;
        self.server.close_idle.cancel();
        self.proxy.close_idle();
        self.server.connections.close();
        // Connections that do not close in time end with the process.
        let _ = timeout(close_timeout, self.server.connections.wait()).await;
        self.send_event(LocalEvent::DrainComplete).await;
        sleep(FLUSH_DELAY).await;
        self.log.write(&Event::new(Kind::Stopped));
        self.log.flush();
    }

    /// Drops all control messages to these peers from now on, like a partition in one direction; an
    /// empty set ends it. For tests.
    pub async fn block_peers(&self, peers: HashSet<SocketAddr>) {
        // The node's task has ended only if the daemon was killed.
        let _ = self.node.send(NodeMessage::Block(peers)).await;
    }

    /// Drains the daemon and ends all its tasks.
    pub async fn close(self) {
        self.drain().await;
        self.tasks.abort().await;
        self.log.flush();
    }

    /// Counts and logs a report of a target that was ignored.
    pub fn ignore_report(&self, instance: &str, reason: IgnoreReason, detail: Option<String>) {
        self.counters.report_ignored(reason);
        let event = Event::new(Kind::ReportIgnored)
            .with(Field::Instance, Name::new(instance))
            .with(Field::Reason, reason.as_str())
            .with_some(Field::Detail, detail);
        self.log.write(&event);
    }

    /// Counts and logs a finding about the operator's configuration. The `version` is used apart from
    /// the value that the finding is about; without one, the configuration is not used at all.
    pub fn report_config(&self, version: Option<u64>, detail: String) {
        self.counters.config_found(version.is_some());
        let event = Event::new(Kind::ConfigFinding).with_some(Field::Version, version);
        self.log.write(&event.with(Field::Detail, detail));
    }

    /// The daemon's log, for adapters that log decisions of their own.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Ends all tasks immediately and announces nothing, like a host that fails. For tests.
    pub async fn kill(self) {
        self.tasks.abort().await;
    }

    async fn send_event(&self, event: LocalEvent) {
        // The node's task has ended only if the daemon was killed.
        let _ = self.node.send(NodeMessage::Input(Input::Local(event))).await;
    }
}

/// When a cold target with a version will be warm, in ms since the Unix epoch, rounded up to a second, so that
/// its next reports rarely change the member record.
fn warm_at(reported: &ReportedTarget) -> Option<u64> {
    let left = reported.report.warmup_left.saturating_sub(reported.reported_at.elapsed());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let cold = reported.report.version.is_some() && left > 0;
    cold.then(|| unix_ms().saturating_add(left).div_ceil(1000) * 1000)
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("addrs", &self.addrs).finish_non_exhaustive()
    }
}
