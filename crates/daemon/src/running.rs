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
use dw_request::LocalTarget;
use dw_tables::{Millis, Name, Version, VersionMark};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    CounterValues, IgnoreReason,
    counters::Counters,
    node::{NodeMessage, View, ask_status},
    proxy::{Proxy, Server},
    tasks::Tasks,
};

/// Time between the announcement that a daemon leaves and the end of its idle connections, so that
/// a request sent on one at that moment is still refused by a response.
const NOTICE: Duration = Duration::from_millis(300);

/// The time for handing records over that is given beyond the grace.
const HAND_OVER: Duration = Duration::from_millis(100);

/// Time between the end of accepting and the end of idle connections, in which requests on those
/// that were accepted last arrive and are refused by a response.
const LINGER: Duration = Duration::from_millis(200);

/// The longest wait for connections to close once nothing is in flight, and its share of the grace, so
/// that a short one leaves time for it.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
const CLOSE_SHARE: u32 = 10;

/// Time for the last control messages to leave the host.
const FLUSH: Duration = Duration::from_millis(50);

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

/// A daemon that runs; dropping it leaves its tasks running.
pub struct Running {
    pub(crate) addrs: Addrs,
    pub(crate) grace: Duration,
    pub(crate) drain_delay: Millis,
    /// Whether the daemon was told to leave.
    pub(crate) retiring: AtomicBool,
    pub(crate) view: watch::Receiver<View>,
    pub(crate) node: mpsc::Sender<NodeMessage>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) server: Server,
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

    /// Number and hash of the version served; number 0 for none.
    #[must_use]
    pub fn served(&self) -> VersionMark {
        self.view.borrow().version.mark()
    }

    /// The version served.
    #[must_use]
    pub fn version(&self) -> Arc<Version> {
        self.view.borrow().version.clone()
    }

    /// The members that the daemon goes by, itself included.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        self.proxy.members()
    }

    /// Waits until the daemon serves a version of at least this number.
    pub async fn wait_version(&self, number: u64) {
        let mut view = self.view.clone();
        // The sender ends only with the daemon.
        let _ = view.wait_for(|view| view.version.number >= number).await;
    }

    /// Waits until the members satisfy a condition.
    pub async fn wait_members(&self, mut good: impl FnMut(&MemberTable) -> bool) {
        let mut members = self.proxy.watch_members();
        // The sender ends only with the daemon.
        let _ = members.wait_for(|members| good(members)).await;
    }

    /// Takes over the targets on this host from their own reports, and tells the fleet. From the
    /// return on, a target that is not open gets no request.
    pub async fn set_reported_targets(&self, residents: &[LocalTarget]) {
        let version = self.version();
        self.proxy.set_reported_targets(residents, &version);
        let target = |resident: &LocalTarget| Target {
            index: u32::from(resident.index),
            service: resident.report.service.clone(),
            slots: resident.report.slots,
            connections: resident.report.slots,
            draining: !resident.is_open()
                || self.proxy.is_draining()
                || self.proxy.is_leaving(resident.index),
            started: resident.report.started,
        };
        self.tell(LocalEvent::Targets(residents.iter().map(target).collect())).await;
    }

    /// Whether the daemon takes new work: it serves a version and is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.served().number > 0 && !self.retiring.load(Ordering::Relaxed)
    }

    /// What the daemon knows about the version in force; `None` while it closes.
    pub async fn status(&self) -> Option<Status> {
        ask_status(&self.node).await
    }

    /// Control bytes, platform calls and requests so far.
    #[must_use]
    pub fn counters(&self) -> CounterValues {
        self.counters.counts()
    }

    /// Refuses new work for the target of the given index, or takes it again, and tells the fleet;
    /// `false` if there is no such target.
    pub async fn drain_target(&self, index: u32, draining: bool) -> bool {
        let Some(draining) = self.proxy.drain_target(index, draining) else { return false };
        self.tell(LocalEvent::TargetDraining { index, draining }).await;
        true
    }

    /// Leaves in order: announces it, refuses new work as not run, waits up to the grace for what
    /// is in flight, hands the at-most-once records over, and closes the connections. Further calls
    /// return at once.
    pub async fn drain(&self) {
        if self.retiring.load(Ordering::Relaxed) {
            return;
        }
        let until = Instant::now() + self.grace;
        let drain_delay = Duration::from(self.drain_delay).min(self.grace);
        self.retiring.store(true, Ordering::Relaxed);
        if !drain_delay.is_zero() {
            self.log.write(&Event::new(Kind::Stopping).with(Field::LeftMs, drain_delay));
            sleep(drain_delay).await;
        }
        self.proxy.drain();
        let count = self.proxy.in_flight.len();
        self.log.write(&Event::new(Kind::Draining).with(Field::Count, count));
        self.server.drain.cancel();
        self.tell(LocalEvent::StartDrain).await;
        sleep(NOTICE.min(self.grace)).await;
        self.proxy.in_flight.close();
        if timeout_at(until, self.proxy.in_flight.wait()).await.is_err() {
            let left = self.proxy.in_flight.len();
            self.log.write(&Event::new(Kind::GraceEnded).with(Field::Count, left));
        }
        let limit = until.max(Instant::now() + HAND_OVER);
        if timeout_at(limit, self.proxy.hand_over()).await.is_err() {
            let detail = "the grace has ended";
            self.log.write(&Event::new(Kind::RecordsRefused).with(Field::Detail, detail));
        }
        self.server.stop.cancel();
        sleep(LINGER).await;
        self.server.close_idle.cancel();
        self.proxy.close_idle();
        self.server.connections.close();
        // A connection that does not close in time ends with the process.
        let wait = CLOSE_WAIT.min(self.grace / CLOSE_SHARE);
        let _ = timeout(wait, self.server.connections.wait()).await;
        self.tell(LocalEvent::DrainComplete).await;
        sleep(FLUSH).await;
        self.log.write(&Event::new(Kind::Stopped));
        self.log.flush();
    }

    /// Loses all control messages to these peers from now on, as a partition in one direction does;
    /// an empty set ends it. For tests.
    pub async fn block_peers(&self, peers: HashSet<SocketAddr>) {
        // The node is gone only when the daemon was killed.
        let _ = self.node.send(NodeMessage::Block(peers)).await;
    }

    /// Leaves in order and ends all tasks.
    pub async fn close(self) {
        self.drain().await;
        self.tasks.abort().await;
        self.log.flush();
    }

    /// Counts and logs a report of a target that was not used.
    pub fn ignore_report(&self, instance: &str, reason: IgnoreReason, detail: Option<String>) {
        self.counters.report_ignored(reason);
        let event = Event::new(Kind::ReportIgnored)
            .with(Field::Instance, Name::new(instance))
            .with(Field::Reason, reason.as_str())
            .with_some(Field::Detail, detail);
        self.log.write(&event);
    }

    /// The log of the daemon, for adapters that decide something themselves.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Ends all tasks at once without a goodbye, as a failed host does. For tests.
    pub async fn kill(self) {
        self.tasks.abort().await;
    }

    async fn tell(&self, event: LocalEvent) {
        // The node is gone only when the daemon was killed.
        let _ = self.node.send(NodeMessage::Input(Input::Local(event))).await;
    }
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("addrs", &self.addrs).finish_non_exhaustive()
    }
}
