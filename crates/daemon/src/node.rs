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
    link::{LinkMessage, OutgoingDatagram},
    log_events::control_event,
    proxy::Proxy,
};

/// Time given to a relay's totals to arrive before the status is read.
const STATUS_WAIT: Duration = Duration::from_millis(50);

/// A message for the task that owns the node.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "nearly all messages are inputs")]
pub(crate) enum NodeMessage {
    /// Something the node is told.
    Input(Input),
    /// Somebody asks for the status.
    Status(oneshot::Sender<Status>),
    /// Control messages to these peers are lost from now on.
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

/// The task that owns the node and turns its actions into messages to the other tasks.
pub(crate) struct NodeTask {
    /// The decisions.
    pub(crate) node: Node,
    /// Peers to which control messages are lost, for tests of partitions.
    pub(crate) blocked: HashSet<SocketAddr>,
    /// Takes versions and poison.
    pub(crate) proxy: Arc<Proxy>,
    /// The task of the connections to peers.
    pub(crate) links: mpsc::Sender<LinkMessage>,
    /// The task of the UDP socket.
    pub(crate) datagrams: mpsc::Sender<OutgoingDatagram>,
    /// The task of the platform.
    pub(crate) platform: mpsc::Sender<PlatformCall>,
    /// Where versions and members are published.
    pub(crate) view: watch::Sender<View>,
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
                        self.act(action).await;
                    }
                }
                Some(NodeMessage::Status(reply)) => {
                    // The reader may have gone away.
                    let _ = reply.send(self.node.status());
                }
                Some(NodeMessage::Block(peers)) => self.blocked = peers,
                None => return,
            }
        }
    }

    async fn act(&self, action: Action) {
        // The receiving tasks never wait for this one, so that waiting for them cannot deadlock.
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
                let _ = self.links.send(LinkMessage::Renew { to }).await;
            }
            Action::Platform(call) => {
                let _ = self.platform.send(call).await;
            }
            Action::Publish(version) => self.publish(version),
            Action::Members(members) => {
                self.counters.set_members(&members);
                self.view.send_modify(|view| view.members = members);
            }
            Action::Poison(print) => self.proxy.refuse_fingerprint(print),
            // The status names it, and the node logs it.
            Action::Refused(_) => {}
            Action::Count(counter) => self.count(counter),
            Action::Log(note) => self.log.write(&control_event(note)),
        }
    }

    /// Serves a version. The actions that acknowledge it come later in the list, so no peer hears
    /// of it before the proxy uses it.
    fn publish(&self, version: Arc<Version>) {
        self.proxy.set_version(&version);
        self.counters.set_versions(version.mark(), version.mark());
        self.counters.keep_routes(&version.tables);
        self.view.send_modify(|view| view.version = version);
    }

    fn count(&self, counter: Counter) {
        self.counters.control_event(counter);
    }
}

/// Asks the node for its status, with a relay's totals where it is none; `None` if it is gone.
pub(crate) async fn ask_status(node: &mpsc::Sender<NodeMessage>) -> Option<Status> {
    node.send(NodeMessage::Input(Input::Local(LocalEvent::StatusRequested))).await.ok()?;
    sleep(STATUS_WAIT).await;
    let (reply, answer) = oneshot::channel();
    node.send(NodeMessage::Status(reply)).await.ok()?;
    answer.await.ok()
}
