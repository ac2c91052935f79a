use std::{
    future::{Future, pending},
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionAborted>;
pub(crate) type Answer = Result<Response<Body>, ConnectionAborted>;
pub(crate) type AnswerFuture = Pin<Box<dyn Future<Output = Answer> + Send>>;
pub(crate) type Handler = Arc<dyn Fn(Request<Incoming>, Gate) -> AnswerFuture + Send + Sync>;

/// Makes the server close the connection instead of answering.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is closed without an answer")]
pub(crate) struct ConnectionAborted;

/// Builds a complete body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Blocks a connection while the server is paused or the connection is silenced.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    paused: watch::Receiver<bool>,
    silenced: watch::Receiver<u64>,
    generation: u64,
}

impl Gate {
    /// Waits while the server is paused; never returns once this connection is silenced.
    pub(crate) async fn pass(&mut self) {
        loop {
            if *self.silenced.borrow_and_update() > self.generation {
                pending::<()>().await;
            }
            if !*self.paused.borrow_and_update() {
                return;
            }
            tokio::select! {
                Ok(()) = self.paused.changed() => {}
                Ok(()) = self.silenced.changed() => {}
                else => pending::<()>().await,
            }
        }
    }
}

/// How a server treats new connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Most concurrent connections; further ones are closed at once.
    pub(crate) connections: usize,
    /// Delay before a new connection is served.
    pub(crate) delay: Duration,
}

/// Connection counts of a server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounts {
    pub(crate) open: AtomicUsize,
    pub(crate) peak: AtomicUsize,
    pub(crate) accepted: AtomicUsize,
    pub(crate) refused: AtomicUsize,
}

#[derive(Clone, Copy, Debug)]
struct ListenerState {
    listening: bool,
    epoch: u64,
}

/// An HTTP/1.1 server whose listener and connections can be made to fail.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    state: watch::Sender<ListenerState>,
    applied: watch::Receiver<u64>,
    paused: watch::Sender<bool>,
    silenced: watch::Sender<u64>,
    connections: Arc<ConnectionCounts>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and starts to serve.
    pub(crate) fn start(addr: SocketAddr, limits: Limits, handler: Handler) -> io::Result<Self> {
        let port = Port::reserve(addr)?;
        let addr = port.addr;
        let listener = port.listen()?;
        let (state, state_rx) = watch::channel(ListenerState { listening: true, epoch: 0 });
        let (applied_tx, applied) = watch::channel(0);
        let (paused, paused_rx) = watch::channel(false);
        let (silenced, silenced_rx) = watch::channel(0);
        let connections = Arc::new(ConnectionCounts::default());
        let acceptor = Acceptor {
            port,
            listener: Some(listener),
            limits,
            handler,
            gate: Gate { paused: paused_rx, silenced: silenced_rx, generation: 0 },
            connections: connections.clone(),
            tasks: JoinSet::new(),
        };
        let task = tokio::spawn(acceptor.run(state_rx, applied_tx));
        Ok(Self { addr, state, applied, paused, silenced, connections, task })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn connections(&self) -> &ConnectionCounts {
        &self.connections
    }

    /// Closes all connections; `listening` determines whether new ones are accepted afterwards.
    pub(crate) fn close_connections(&self, listening: bool) {
        self.state
            .send_modify(|state| *state = ListenerState { listening, epoch: state.epoch + 1 });
    }

    /// Waits until the last `close_connections` has taken effect.
    pub(crate) async fn wait_closed(&self) {
        let epoch = self.state.borrow().epoch;
        // Fails only if the server has ended, in which case no connection is open.
        let _ = self.applied.clone().wait_for(|done| *done >= epoch).await;
    }

    /// Pauses or resumes the server. While paused it accepts connections and requests, but neither
    /// handles nor answers them.
    pub(crate) fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Stops answering on all existing connections for good; new connections work.
    pub(crate) fn silence(&self) {
        self.silenced.send_modify(|generation| *generation += 1);
    }

    /// Closes the listener and all connections.
    pub(crate) async fn close(self) {
        drop(self.state);
        // The task ends when the sender is dropped, and fails only if a handler panicked.
        let _ = self.task.await;
    }
}

/// Reserves a port while no listener is open: a bound socket that does not listen refuses
/// connections and keeps the port from being assigned to another process.
#[derive(Debug)]
struct Port {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl Port {
    fn reserve(addr: SocketAddr) -> io::Result<Self> {
        let socket = Self::bind(addr)?;
        Ok(Self { addr: socket.local_addr()?, _socket: socket })
    }

    fn listen(&self) -> io::Result<TcpListener> {
        Self::bind(self.addr)?.listen(LISTEN_BACKLOG)
    }

    fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok(socket)
    }
}

/// Connections that the kernel queues before they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Delay after a failed accept or listen, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

struct Acceptor {
    port: Port,
    listener: Option<TcpListener>,
    limits: Limits,
    handler: Handler,
    gate: Gate,
    connections: Arc<ConnectionCounts>,
    tasks: JoinSet<()>,
}

impl Acceptor {
    async fn run(mut self, mut state: watch::Receiver<ListenerState>, applied: watch::Sender<u64>) {
        loop {
            tokio::select! {
                biased;
                changed = state.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let now = *state.borrow_and_update();
                    self.close_connections(now.listening).await;
                    applied.send_replace(now.epoch);
                }
                Some(_) = self.tasks.join_next() => {
                    self.connections.open.store(self.tasks.len(), Relaxed);
                }
                accepted = accept(self.listener.as_ref()) => match accepted {
                    Ok(stream) => self.admit(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
            }
        }
        self.close_connections(false).await;
    }

    async fn close_connections(&mut self, listening: bool) {
        if !listening {
            self.listener = None;
        }
        self.tasks.shutdown().await;
        self.connections.open.store(0, Relaxed);
        while listening && self.listener.is_none() {
            match self.port.listen() {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn admit(&mut self, stream: TcpStream) {
        if self.tasks.len() >= self.limits.connections {
            self.connections.refused.fetch_add(1, Relaxed);
            return;
        }
        let gate = Gate { generation: *self.gate.silenced.borrow(), ..self.gate.clone() };
        let (handler, delay) = (self.handler.clone(), self.limits.delay);
        self.tasks.spawn(async move {
            if delay > Duration::ZERO {
                tokio::time::sleep(delay).await;
            }
            serve_connection(stream, handler, gate).await;
        });
        self.connections.accepted.fetch_add(1, Relaxed);
        self.connections.open.store(self.tasks.len(), Relaxed);
        self.connections.peak.fetch_max(self.tasks.len(), Relaxed);
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => pending().await,
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, gate: Gate) {
    // Nagle's algorithm would delay small answers until earlier ones are acknowledged.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (handler, mut gate) = (handler.clone(), gate.clone());
        async move {
            gate.pass().await;
            let answer = handler(request, gate.clone()).await;
            gate.pass().await;
            answer
        }
    });
    // A broken connection needs no handling here, as the client notices it.
    let _ = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
