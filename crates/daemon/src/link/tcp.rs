use std::{collections::HashMap, io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use dw_mesh::Input;
use dw_tables::Name;
use dw_wire::{Frame, FrameBody, FrameCodec, Hello, WireError};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::outbox::{Outbox, QueuedFrame, kind_of, size_of};
use crate::{counters::Counters, detect_dead_peer, node::NodeMessage, tasks::Tasks};

/// Timeout for connecting to a peer, and for the first frame on an accepted connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout for writing a frame to a peer; after it the connection is replaced.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection without a frame in either direction for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, for example with too many open files, so that the task does not
/// spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type Stream = Framed<TcpStream, FrameCodec>;

/// A message for the task that owns the connections to peers.
#[derive(Debug)]
#[allow(clippy::large_enum_variant, reason = "nearly all messages are frames")]
pub(crate) enum LinkMessage {
    /// Send a frame, and connect first if needed.
    Send {
        /// The peer's listening address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send further frames on a new connection. The current connection stays open until it ends by
    /// itself: it may only be slow, and frames in transit may still arrive.
    Reconnect {
        /// The peer's listening address.
        to: SocketAddr,
    },
    /// The hello on an accepted connection named the peer that opened it.
    Accepted {
        /// The peer's listening address.
        from: SocketAddr,
        /// The queue of the connection.
        outbox: Arc<Outbox>,
    },
}

/// Shared by all connections to peers.
#[derive(Clone)]
pub(crate) struct Links {
    /// This host.
    pub(crate) host: Name,
    /// The address on which this daemon accepts connections from peers.
    pub(crate) peer: SocketAddr,
    /// The task that owns the connections.
    pub(crate) control: mpsc::Sender<LinkMessage>,
    /// The node's task, which receives the frames that arrive.
    pub(crate) node: mpsc::Sender<NodeMessage>,
    /// Counts bytes.
    pub(crate) counters: Counters,
    /// Runs a task for each connection.
    pub(crate) tasks: Tasks,
}

/// Why a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// Nothing was lost.
    Clean,
    /// A frame may have been lost.
    Broken,
    /// No process listens at the address.
    Refused,
}

impl Links {
    /// Sends the requested frames. There is one connection to each peer, opened on demand.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<LinkMessage>) {
        let mut peers: HashMap<SocketAddr, Arc<Outbox>> = HashMap::new();
        while let Some(message) = inbox.recv().await {
            match message {
                LinkMessage::Send { to, frame } => {
                    if peers.get(&to).is_none_or(|outbox| outbox.is_closed()) {
                        peers.retain(|_, outbox| !outbox.is_closed());
                        peers.insert(to, self.open(to));
                    }
                    if !peers.get(&to).is_some_and(|outbox| outbox.push(frame.into())) {
                        self.counters.dropped();
                    }
                }
                LinkMessage::Reconnect { to } => {
                    peers.remove(&to);
                }
                LinkMessage::Accepted { from, outbox } => {
                    peers.retain(|_, outbox| !outbox.is_closed());
                    // An older connection may belong to a process that ended without closing it.
                    peers.insert(from, outbox);
                }
            }
        }
    }

    /// Accepts connections from peers.
    pub(crate) async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = self.clone();
                    self.tasks.spawn(async move { links.serve_accepted(stream).await });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn open(&self, to: SocketAddr) -> Arc<Outbox> {
        let outbox = Arc::new(Outbox::default());
        let (links, queue) = (self.clone(), outbox.clone());
        self.tasks.spawn(async move {
            let closed = match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => links.serve_opened(stream, to, &queue).await,
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    CloseReason::Refused
                }
                _ => CloseReason::Broken,
            };
            links.report_closed(to, &queue, closed).await;
        });
        outbox
    }

    async fn serve_opened(
        &self,
        stream: TcpStream,
        to: SocketAddr,
        outbox: &Outbox,
    ) -> CloseReason {
        let (mut sink, source) = framed(stream).split();
        let (host, peer) = (self.host.to_string(), self.peer.to_string());
        let hello = Frame::new(FrameBody::Hello(Hello { host, peer }));
        if !self.write(&mut sink, hello.into()).await {
            return CloseReason::Broken;
        }
        self.exchange(sink, source, to, outbox).await
    }

    async fn serve_accepted(&self, stream: TcpStream) {
        let (sink, mut source) = framed(stream).split();
        let Ok(Some(Ok(frame))) = timeout(CONNECT_TIMEOUT, source.next()).await else { return };
        self.count_received(&frame);
        let Some(FrameBody::Hello(hello)) = frame.body else { return };
        let Ok(from) = hello.peer.parse() else { return };
        let outbox = Arc::new(Outbox::default());
        let message = LinkMessage::Accepted { from, outbox: outbox.clone() };
        if self.control.send(message).await.is_ok() {
            let closed = self.exchange(sink, source, from, &outbox).await;
            self.report_closed(from, &outbox, closed).await;
        }
    }

    /// Reports to the node that frames were lost when a connection ended.
    async fn report_closed(&self, to: SocketAddr, outbox: &Outbox, closed: CloseReason) {
        if outbox.close(true) > 0 || closed != CloseReason::Clean {
            let refused = closed == CloseReason::Refused;
            let _ = self.node.send(NodeMessage::Input(Input::SendFailed { to, refused })).await;
        }
    }

    /// Sends and receives until the connection fails or is idle.
    async fn exchange(
        &self,
        mut sink: SplitSink<Stream, Frame>,
        mut source: SplitStream<Stream>,
        peer: SocketAddr,
        outbox: &Outbox,
    ) -> CloseReason {
        let mut after_error = false;
        loop {
            tokio::select! {
                queued = outbox.pop() => match queued {
                    Some(queued) => {
                        if !self.write(&mut sink, queued).await {
                            return CloseReason::Broken;
                        }
                    }
                    None => return CloseReason::Clean,
                },
                frame = source.next() => match frame {
                    Some(Ok(frame)) => {
                        self.count_received(&frame);
                        let input = Input::Frame { from: peer, frame };
                        if self.node.send(NodeMessage::Input(input)).await.is_err() {
                            return CloseReason::Clean;
                        }
                    }
                    // A peer of a newer release may send kinds of frames that are unknown here. After
                    // an error the stream yields `None` once and then continues.
                    Some(Err(WireError::UnknownKind | WireError::Protocol(_))) => after_error = true,
                    Some(Err(_)) => return CloseReason::Broken,
                    None if after_error => after_error = false,
                    None => return CloseReason::Clean,
                },
                () = sleep(IDLE_TIMEOUT) => {
                    if outbox.close_empty() {
                        return CloseReason::Clean;
                    }
                }
            }
        }
    }

    async fn write(&self, sink: &mut SplitSink<Stream, Frame>, queued: QueuedFrame) -> bool {
        self.counters.sent(queued.kind, queued.size);
        matches!(timeout(WRITE_TIMEOUT, sink.send(queued.frame)).await, Ok(Ok(())))
    }

    fn count_received(&self, frame: &Frame) {
        self.counters.received(kind_of(frame), size_of(frame));
    }
}

fn framed(stream: TcpStream) -> Stream {
    detect_dead_peer(&stream);
    Framed::new(stream, FrameCodec::default())
}
