use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use dw_log::Log;
use dw_mesh::{Action, Counter, Input, LocalEvent, MemberTable, Node, PlatformCall, Status};
use dw_tables::Version;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    counters::Counters,
    departures::Departures,
    link::{LinkMessage, OutgoingDatagram},
    log_events::control_event,
    proxy::Proxy,
};

/// Delay before the status is read, in which the totals of a relay can arrive.
const STATUS_WAIT: Duration = Duration::from_millis(50);

/// A message to the task that owns the node.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "nearly all messages are inputs")]
pub(crate) enum NodeMessage {
    /// An input of the node.
    Input(Input),
    /// A request for the status.
    Status(oneshot::Sender<Status>),
    /// Drop control messages to these peers from now on.
    Block(HashSet<SocketAddr>),
}

/// What the node publishes to the rest of the daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The version served; number 0 for none.
    pub(crate) version: Arc<Version>,
    /// The members of the fleet.
    pub(crate) members: Arc<MemberTable>,
}

/// The task that owns the node and dispatches its actions to the other tasks.
pub(crate) struct NodeTask {
    /// The control plane of this host, without I/O.
    pub(crate) node: Node,
    /// Peers to which control messages are dropped, for tests of partitions.
    pub(crate) blocked: HashSet<SocketAddr>,
    /// Receives versions and the fingerprints of requests to refuse.
    pub(crate) proxy: Arc<Proxy>,
    /// The task that owns the connections to peers.
    pub(crate) links: mpsc::Sender<LinkMessage>,
    /// The task that owns the UDP socket.
    pub(crate) datagrams: mpsc::Sender<OutgoingDatagram>,
    /// The task that calls the platform.
    pub(crate) platform: mpsc::Sender<PlatformCall>,
    /// Where versions and members are published.
    pub(crate) view: watch::Sender<View>,
    /// Where the targets that peers know to have left are published.
    pub(crate) departures: watch::Sender<Departures>,
    /// Counts events.
    pub(crate) counters: Counters,
    /// The log.
    pub(crate) log: Log,
}

impl NodeTask {
    /// Runs until the daemon is closed.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<NodeMessage>) {
        loop {
            let message = match self.node.deadline() {
                Some(at) => tokio::select! {
                    message = inbox.recv() => message,
                    () = sleep_until(at) => Some(NodeMessage::Input(Input::Tick)),
                },
                None => inbox.recv().await,
            };
            match message {
                Some(NodeMessage::Input(input)) => {
                    for action in self.node.handle(input, Instant::now()) {
                        self.perform(action).await;
                    }
                }
                Some(NodeMessage::Status(reply)) => {
                    // Sending fails if the requester no longer waits.
                    let _ = reply.send(self.node.status());
                }
                Some(NodeMessage::Block(peers)) => self.blocked = peers,
                None => return,
            }
        }
    }

    async fn perform(&self, action: Action) {
        // The receiving tasks never wait for this one, so waiting for them cannot deadlock.
        match action {
            Action::SendPacket { to, .. } | Action::SendFrame { to, .. }
                if self.blocked.contains(&to) =>
            {
                self.counters.dropped();
            }
            Action::SendPacket { to, packet } => {
                let _ = self.datagrams.send(OutgoingDatagram { to, packet }).await;
            }
            Action::SendFrame { to, frame } => {
                let _ = self.links.send(LinkMessage::Send { to, frame }).await;
            }
            Action::Reconnect { to } => {
                let _ = self.links.send(LinkMessage::Reconnect { to }).await;
            }
            Action::Platform(call) => {
                let _ = self.platform.send(call).await;
            }
            Action::Publish(version) => self.publish(version),
            Action::Members(members) => {
                self.counters.set_members(&members);
                self.view.send_modify(|view| view.members = members);
            }
            Action::Poison { fingerprint, left } => {
                self.proxy.learn_poison(fingerprint, left);
            }
            Action::WithdrawPoison(fingerprint) => self.proxy.accept_fingerprint(fingerprint),
            // The node reports it in its status and logs it.
            Action::Refused(_) => {}
            Action::FormerTargets(tombstones) => {
                self.departures.send_modify(|d| d.add_from_peer(tombstones));
            }
            Action::Count(counter) => self.count(counter),
            Action::Log(event) => self.log.write(&control_event(event)),
        }
    }

    /// Serves a version. The actions that acknowledge it come later in the list, so the proxy uses
    /// it before any peer receives the acknowledgement.
    fn publish(&self, version: Arc<Version>) {
        self.proxy.set_version(&version);
        self.counters.set_versions(version.id(), version.id());
        self.counters.keep_routes(&version.tables);
        self.view.send_modify(|view| view.version = version);
    }

    fn count(&self, counter: Counter) {
        self.counters.control_event(counter);
    }
}

/// Asks the node for its status, which includes the totals of a relay if the node is not one
/// itself; `None` if the node's task has ended.
pub(crate) async fn ask_status(node: &mpsc::Sender<NodeMessage>) -> Option<Status> {
    node.send(NodeMessage::Input(Input::Local(LocalEvent::StatusRequested))).await.ok()?;
    sleep(STATUS_WAIT).await;
    let (reply, answer) = oneshot::channel();
    node.send(NodeMessage::Status(reply)).await.ok()?;
    answer.await.ok()
}
