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

use super::outbox::{Outbox, Parcel, kind_of, size_of};
use crate::{counters::Counters, detect_silence, node::ToNode, tasks::Tasks};

/// The longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The longest wait until a peer takes a frame; after it the connection is replaced.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection without a frame in either direction for this long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// The wait after a failed accept, such as with too many open files; without it the task spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type Stream = Framed<TcpStream, FrameCodec>;

/// A message for the task that owns the connections to peers.
#[derive(Debug)]
#[allow(clippy::large_enum_variant, reason = "nearly all messages are frames")]
pub(crate) enum ToLinks {
    /// Send a frame, connecting where needed.
    Send {
        /// The peer's listening address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send later frames on a new connection. The open one is left to end by itself: it may only be
    /// slow, and what is on its way on it may still arrive.
    Renew {
        /// The peer's listening address.
        to: SocketAddr,
    },
    /// An accepted connection said which peer it comes from.
    Known {
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
    /// The address on which this daemon listens.
    pub(crate) peer: SocketAddr,
    /// The task that owns the connections.
    pub(crate) control: mpsc::Sender<ToLinks>,
    /// The task that receives what arrives.
    pub(crate) node: mpsc::Sender<ToNode>,
    /// Counts bytes.
    pub(crate) counters: Counters,
    /// Runs connections.
    pub(crate) tasks: Tasks,
}

/// Why a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Closed {
    /// Nothing was lost.
    Clean,
    /// A frame may have been lost.
    Broken,
    /// No process listens at the address.
    Refused,
}

impl Links {
    /// Sends the frames it is told to; one connection to each peer, opened on demand.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<ToLinks>) {
        let mut peers: HashMap<SocketAddr, Arc<Outbox>> = HashMap::new();
        while let Some(message) = inbox.recv().await {
            match message {
                ToLinks::Send { to, frame } => {
                    if peers.get(&to).is_none_or(|outbox| outbox.is_closed()) {
                        peers.retain(|_, outbox| !outbox.is_closed());
                        peers.insert(to, self.open(to));
                    }
                    if !peers.get(&to).is_some_and(|outbox| outbox.push(frame.into())) {
                        self.counters.dropped();
                    }
                }
                ToLinks::Renew { to } => {
                    peers.remove(&to);
                }
                ToLinks::Known { from, outbox } => {
                    peers.retain(|_, outbox| !outbox.is_closed());
                    // An older one may lead to a process that has ended without closing it.
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
                    self.tasks.spawn(async move { links.accepted(stream).await });
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn open(&self, to: SocketAddr) -> Arc<Outbox> {
        let outbox = Arc::new(Outbox::default());
        let (links, queue) = (self.clone(), outbox.clone());
        self.tasks.spawn(async move {
            let closed = match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => links.greet(stream, to, &queue).await,
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Closed::Refused,
                _ => Closed::Broken,
            };
            links.ended(to, &queue, closed).await;
        });
        outbox
    }

    async fn greet(&self, stream: TcpStream, to: SocketAddr, outbox: &Outbox) -> Closed {
        let (mut sink, source) = framed(stream).split();
        let (host, peer) = (self.host.to_string(), self.peer.to_string());
        let hello = Frame::new(FrameBody::Hello(Hello { host, peer }));
        if !self.write(&mut sink, hello.into()).await {
            return Closed::Broken;
        }
        self.exchange(sink, source, to, outbox).await
    }

    async fn accepted(&self, stream: TcpStream) {
        let (sink, mut source) = framed(stream).split();
        let Ok(Some(Ok(frame))) = timeout(CONNECT_TIMEOUT, source.next()).await else { return };
        self.count(&frame);
        let Some(FrameBody::Hello(hello)) = frame.body else { return };
        let Ok(from) = hello.peer.parse() else { return };
        let outbox = Arc::new(Outbox::default());
        let known = ToLinks::Known { from, outbox: outbox.clone() };
        if self.control.send(known).await.is_ok() {
            let closed = self.exchange(sink, source, from, &outbox).await;
            self.ended(from, &outbox, closed).await;
        }
    }

    /// Tells the node about frames that were lost with a connection.
    async fn ended(&self, to: SocketAddr, outbox: &Outbox, closed: Closed) {
        if outbox.close(true) > 0 || closed != Closed::Clean {
            let refused = closed == Closed::Refused;
            let _ = self.node.send(ToNode::Input(Input::SendFailed { to, refused })).await;
        }
    }

    /// Sends and receives until the connection fails or is idle.
    async fn exchange(
        &self,
        mut sink: SplitSink<Stream, Frame>,
        mut source: SplitStream<Stream>,
        peer: SocketAddr,
        outbox: &Outbox,
    ) -> Closed {
        let mut skipped = false;
        loop {
            tokio::select! {
                parcel = outbox.pop() => match parcel {
                    Some(parcel) => {
                        if !self.write(&mut sink, parcel).await {
                            return Closed::Broken;
                        }
                    }
                    None => return Closed::Clean,
                },
                frame = source.next() => match frame {
                    Some(Ok(frame)) => {
                        self.count(&frame);
                        let input = Input::Frame { from: peer, frame };
                        if self.node.send(ToNode::Input(input)).await.is_err() {
                            return Closed::Clean;
                        }
                    }
                    // A newer peer may send kinds that this build does not know. The stream
                    // reports an end once after an error and then continues.
                    Some(Err(WireError::UnknownKind | WireError::Protocol(_))) => skipped = true,
                    Some(Err(_)) => return Closed::Broken,
                    None if skipped => skipped = false,
                    None => return Closed::Clean,
                },
                () = sleep(IDLE) => {
                    if outbox.close_empty() {
                        return Closed::Clean;
                    }
                }
            }
        }
    }

    async fn write(&self, sink: &mut SplitSink<Stream, Frame>, parcel: Parcel) -> bool {
        self.counters.sent(parcel.kind, parcel.size);
        matches!(timeout(WRITE_TIMEOUT, sink.send(parcel.frame)).await, Ok(Ok(())))
    }

    fn count(&self, frame: &Frame) {
        self.counters.received(kind_of(frame), size_of(frame));
    }
}

fn framed(stream: TcpStream) -> Stream {
    detect_silence(&stream);
    Framed::new(stream, FrameCodec::default())
}
