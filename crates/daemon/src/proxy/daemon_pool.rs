use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::{
    body::{Payload, TrackedBody, VerifiedBody},
    error::SendError,
};
use crate::{
    socket::{UNACKED_TIMEOUT, detect_dead_peer_within},
    tasks::Tasks,
};

/// Minimum time without a byte from the other daemon, while requests wait for it, before it is
/// pinged. Failure domains are about 1 ms apart.
pub(crate) const MIN_PING_WAIT: Duration = Duration::from_millis(150);

/// Maximum time without a byte from the other daemon, while requests wait for it, before it is
/// pinged.
const MAX_PING_WAIT: Duration = Duration::from_millis(600);

/// Time beyond the ping timeout after which unacknowledged bytes fail a connection. The ping normally
/// fails first, and only the ping detects a stalled daemon whose kernel still acknowledges.
const UNACKED_MARGIN: Duration = Duration::from_secs(1);

/// Timeout for a connection to another daemon. Failure domains are about 1 ms apart, and a lost SYN is
/// sent again only after a second, so a longer timeout doesn't help.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed attempt to connect during which no other is made, so that requests for an
/// unreachable host go to another one immediately.
const CONNECT_BACKOFF: Duration = Duration::from_millis(300);

/// Number of requests in flight on the first connection at which a second one is opened.
const SECOND_CONNECTION_AT: usize = 64;

/// Maximum number of connections to one daemon.
const MAX_CONNECTIONS: usize = 2;

/// Maximum number of connections tried for one request; one may close before the request is sent.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// HTTP/2 connections to the data addresses of other daemons.
#[derive(Clone)]
pub(crate) struct DaemonPool(Arc<Inner>);

struct Inner {
    // A mutex rather than a task: it is held only briefly, and a message to a task would add two task
    // switches to each request.
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    tasks: Tasks,
    /// Timeout for the answer to a ping.
    ping_timeout: Duration,
    /// Time without a byte before a ping, in ms, for connections opened from now on.
    ping_after: AtomicU64,
}

#[derive(Default)]
struct Peer {
    conns: Mutex<Vec<Conn>>,
    // Held while connecting, so that concurrent requests open one connection rather than one each.
    connecting: tokio::sync::Mutex<()>,
    // When the last attempt to connect failed.
    failed: Mutex<Option<Instant>>,
}

#[derive(Clone)]
struct Conn {
    sender: SendRequest<Payload>,
    usage: Arc<Usage>,
}

/// Usage of a connection.
struct Usage {
    /// Requests in flight.
    busy: AtomicUsize,
    /// When the last request began or ended.
    last_used: Mutex<Instant>,
}

impl Usage {
    fn new() -> Self {
        Self { busy: AtomicUsize::new(0), last_used: Mutex::new(Instant::now()) }
    }

    fn touch(&self) {
        *lock(&self.last_used) = Instant::now();
    }

    fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether there has been no request since that time.
    fn is_idle_since(&self, since: Instant) -> bool {
        self.busy() == 0 && *lock(&self.last_used) <= since
    }
}

impl DaemonPool {
    /// Creates an empty pool. A connection fails if a ping is not answered within `ping_timeout`.
    pub(crate) fn new(tasks: Tasks, ping_timeout: Duration) -> Self {
        let ping_after = AtomicU64::new(millis(MIN_PING_WAIT));
        Self(Arc::new(Inner { peers: Mutex::default(), tasks, ping_timeout, ping_after }))
    }

    /// Sets the time within which responses normally arrive. An earlier ping says nothing about the
    /// connection and costs both daemons as much as a request.
    pub(crate) fn set_expected_time(&self, time: Duration) {
        let wait = time.clamp(MIN_PING_WAIT, MAX_PING_WAIT);
        self.0.ping_after.store(millis(wait), Ordering::Relaxed);
    }

    /// Sends a request to the daemon at `addr` and returns the response head. `deadline` limits only
    /// the wait for a connection, during which nothing has been sent.
    ///
    /// # Errors
    /// States whether anything of the request may have been sent.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Payload>,
        deadline: Instant,
    ) -> Result<Response<Payload>, SendError> {
        let peer = lock(&self.0.peers).entry(addr).or_default().clone();
        for _ in 0..MAX_SEND_ATTEMPTS {
            let conn = timeout_at(deadline, self.checkout(&peer, addr)).await;
            let late = || "no connection before the deadline".to_owned();
            let mut conn = match conn.unwrap_or_else(|_| Err(late())) {
                Ok(conn) => conn,
                Err(reason) => return Err(SendError::not_sent(&reason, request)),
            };
            let busy = BusyGuard::new(conn.usage.clone());
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok(track(response, busy)),
                Err(mut err) => match err.take_message() {
                    Some(message) => request = message,
                    None => return Err(SendError::unknown(err.error())),
                },
            }
        }
        Err(SendError::not_sent(
            &"every connection was closed before the request was sent",
            request,
        ))
    }

    /// Closes connections without a request for `idle`, and removes daemons without a connection.
    pub(crate) fn prune(&self, idle: Duration) {
        let mut peers = lock(&self.0.peers);
        if let Some(since) = Instant::now().checked_sub(idle) {
            // An idle connection has no other sender than the one in the list, so removing it closes it.
            let close = |peer: &Arc<Peer>| {
                lock(&peer.conns).retain(|conn| !conn.usage.is_idle_since(since));
            };
            peers.values().for_each(close);
        }
        // A request that is being sent holds a second reference.
        let unused =
            |peer: &Arc<Peer>| Arc::strong_count(peer) == 1 && lock(&peer.conns).is_empty();
        peers.retain(|_, peer| !unused(peer));
    }

    async fn checkout(&self, peer: &Arc<Peer>, addr: SocketAddr) -> Result<Conn, String> {
        if let Some(conn) = peer.pick() {
            return Ok(conn);
        }
        let _connecting = peer.connecting.lock().await;
        if let Some(conn) = peer.pick() {
            return Ok(conn);
        }
        if lock(&peer.failed).is_some_and(|at| at.elapsed() < CONNECT_BACKOFF) {
            return peer
                .any_open()
                .ok_or_else(|| "recent attempts to connect to the daemon failed".to_owned());
        }
        let connected = timeout(CONNECT_TIMEOUT, self.connect(peer, addr)).await;
        let connected = connected
            .unwrap_or_else(|_| Err("the daemon did not accept a connection in time".to_owned()));
        connected.or_else(|reason| {
            *lock(&peer.failed) = Some(Instant::now());
            peer.any_open().ok_or(reason)
        })
    }

    async fn connect(&self, peer: &Arc<Peer>, addr: SocketAddr) -> Result<Conn, String> {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        let ping_timeout = self.0.ping_timeout;
        let ping_after = Duration::from_millis(self.0.ping_after.load(Ordering::Relaxed));
        detect_dead_peer_within(&stream, UNACKED_TIMEOUT.max(ping_timeout + UNACKED_MARGIN));
        let (sender, connection) = Builder::new(self.0.tasks.clone())
            .timer(TokioTimer::new())
            .keep_alive_interval(ping_after)
            .keep_alive_timeout(ping_timeout)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let conn = Conn { sender, usage: Arc::new(Usage::new()) };
        lock(&peer.conns).push(conn.clone());
        let (peer, usage) = (peer.clone(), conn.usage.clone());
        self.0.tasks.spawn(async move {
            // A failed connection is reported by the requests on it.
            let _ = connection.await;
            peer.remove(&usage);
        });
        Ok(conn)
    }
}

impl Peer {
    /// The least busy connection, or `None` if another one should be opened.
    fn pick(&self) -> Option<Conn> {
        let mut conns = lock(&self.conns);
        conns.retain(|c| !c.sender.is_closed());
        let conn = conns.iter().min_by_key(|c| c.usage.busy())?;
        let full = conns.len() >= MAX_CONNECTIONS;
        (full || conn.usage.busy() < SECOND_CONNECTION_AT).then(|| conn.clone())
    }

    fn any_open(&self) -> Option<Conn> {
        lock(&self.conns).iter().find(|c| !c.sender.is_closed()).cloned()
    }

    fn remove(&self, usage: &Arc<Usage>) {
        lock(&self.conns).retain(|c| !Arc::ptr_eq(&c.usage, usage));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts as one request in flight on a connection until it is dropped.
struct BusyGuard(Arc<Usage>);

impl BusyGuard {
    fn new(usage: Arc<Usage>) -> Self {
        usage.busy.fetch_add(1, Ordering::Relaxed);
        usage.touch();
        Self(usage)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.touch();
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

fn track(response: Response<hyper::body::Incoming>, busy: BusyGuard) -> Response<Payload> {
    let version = response.version();
    response.map(|body| {
        let body = VerifiedBody::new(body, version).boxed_unsync();
        TrackedBody::new(body, move |_| drop(busy)).boxed_unsync()
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
