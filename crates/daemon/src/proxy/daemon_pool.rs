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
    body::{Checked, Payload, Tracked},
    error::SendFault,
};
use crate::{
    socket::{UNACKED_TIMEOUT, detect_dead_peer_within},
    tasks::Tasks,
};

/// The shortest time without a byte from the other daemon, while requests wait for it, after which it is
/// pinged. Failure domains are about 1 ms apart.
pub(crate) const PING_AFTER: Duration = Duration::from_millis(150);

/// The longest such time.
const PING_AFTER_MAX: Duration = Duration::from_millis(600);

/// Time beyond the wait for a ping after which unacknowledged bytes end a connection. The ping says so
/// first where it can; it cannot while the other daemon stands still and its system acknowledges.
const UNACKED_MORE: Duration = Duration::from_secs(1);

/// The longest wait for a connection to another daemon. Domains are about 1 ms apart, and a lost first
/// packet is sent again only after a second, so that longer waits do not help.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed attempt to connect in which no other is made, so that requests for a host
/// that cannot be reached go elsewhere at once.
const CONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Requests in flight on the first connection above which a second one is opened.
const SECOND_AT: usize = 64;

/// The most connections to one daemon.
const CONNECTIONS: usize = 2;

/// A connection that closes between choice and use is replaced this many times for one request.
const STALE_LIMIT: u32 = 3;

/// HTTP/2 connections to the data addresses of other daemons.
#[derive(Clone)]
pub(crate) struct HopPool(Arc<Inner>);

struct Inner {
    // A lock and not a task, for the same reason as in the pool of a target.
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    tasks: Tasks,
    /// The wait for the answer to a ping.
    silence: Duration,
    /// The wait before a ping on connections that are opened from now on, in ms.
    ping_after: AtomicU64,
}

#[derive(Default)]
struct Peer {
    conns: Mutex<Vec<Conn>>,
    // Held while connecting, so that concurrent requests open one connection and not one each.
    opening: tokio::sync::Mutex<()>,
    // When the last attempt to connect failed.
    failed: Mutex<Option<Instant>>,
}

#[derive(Clone)]
struct Conn {
    sender: SendRequest<Payload>,
    usage: Arc<Usage>,
}

/// How a connection is used.
struct Usage {
    /// Requests in flight.
    busy: AtomicUsize,
    /// When the last request began or ended.
    touched: Mutex<Instant>,
}

impl Usage {
    fn new() -> Self {
        Self { busy: AtomicUsize::new(0), touched: Mutex::new(Instant::now()) }
    }

    fn touch(&self) {
        *lock(&self.touched) = Instant::now();
    }

    fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether there was no request since that time.
    fn is_idle_since(&self, since: Instant) -> bool {
        self.busy() == 0 && *lock(&self.touched) <= since
    }
}

impl HopPool {
    /// An empty pool. A connection on which a ping is not answered within `silence` counts as lost.
    pub(crate) fn new(tasks: Tasks, silence: Duration) -> Self {
        let ping_after = AtomicU64::new(millis(PING_AFTER));
        Self(Arc::new(Inner { peers: Mutex::default(), tasks, silence, ping_after }))
    }

    /// Sets how long a response usually takes at the most. A ping before that says nothing about the
    /// connection and costs both daemons as much as a request does.
    pub(crate) fn expect_within(&self, time: Duration) {
        let wait = time.clamp(PING_AFTER, PING_AFTER_MAX);
        self.0.ping_after.store(millis(wait), Ordering::Relaxed);
    }

    /// Sends a request to the daemon at `addr` and returns the response head. Only the wait for a
    /// connection ends at `deadline`, since nothing was sent by then.
    ///
    /// # Errors
    /// Whether the request was sent at all.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Payload>,
        deadline: Instant,
    ) -> Result<Response<Payload>, SendFault> {
        let peer = lock(&self.0.peers).entry(addr).or_default().clone();
        for _ in 0..STALE_LIMIT {
            let conn = timeout_at(deadline, self.checkout(&peer, addr)).await;
            let late = || "no connection before the deadline".to_owned();
            let mut conn = match conn.unwrap_or_else(|_| Err(late())) {
                Ok(conn) => conn,
                Err(reason) => return Err(SendFault::not_sent(&reason, request)),
            };
            let busy = Busy::new(conn.usage.clone());
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok(track(response, busy)),
                Err(mut fault) => match fault.take_message() {
                    Some(message) => request = message,
                    None => return Err(SendFault::unknown(fault.error())),
                },
            }
        }
        Err(SendFault::not_sent(&"every connection was closed", request))
    }

    /// Closes connections without a request for `idle`, and forgets the daemons to which none is open.
    pub(crate) fn prune(&self, idle: Duration) {
        let mut peers = lock(&self.0.peers);
        if let Some(since) = Instant::now().checked_sub(idle) {
            // The sender in the list is the last one then, so the connection closes.
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
        let _opening = peer.opening.lock().await;
        if let Some(conn) = peer.pick() {
            return Ok(conn);
        }
        if lock(&peer.failed).is_some_and(|at| at.elapsed() < CONNECT_PAUSE) {
            return peer.any().ok_or_else(|| "the daemon could not be reached lately".to_owned());
        }
        let connected = timeout(CONNECT_TIMEOUT, self.connect(peer, addr)).await;
        let connected =
            connected.unwrap_or_else(|_| Err("the daemon did not accept in time".to_owned()));
        connected.or_else(|reason| {
            *lock(&peer.failed) = Some(Instant::now());
            peer.any().ok_or(reason)
        })
    }

    async fn connect(&self, peer: &Arc<Peer>, addr: SocketAddr) -> Result<Conn, String> {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        let silence = self.0.silence;
        let ping_after = Duration::from_millis(self.0.ping_after.load(Ordering::Relaxed));
        detect_dead_peer_within(&stream, UNACKED_TIMEOUT.max(silence + UNACKED_MORE));
        let (sender, link) = Builder::new(self.0.tasks.clone())
            .timer(TokioTimer::new())
            .keep_alive_interval(ping_after)
            .keep_alive_timeout(silence)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let conn = Conn { sender, usage: Arc::new(Usage::new()) };
        lock(&peer.conns).push(conn.clone());
        let (peer, usage) = (peer.clone(), conn.usage.clone());
        self.0.tasks.spawn(async move {
            // A failed connection is reported by the requests on it.
            let _ = link.await;
            peer.forget(&usage);
        });
        Ok(conn)
    }
}

impl Peer {
    /// The least busy connection, or `None` if another one is worth opening.
    fn pick(&self) -> Option<Conn> {
        let mut conns = lock(&self.conns);
        conns.retain(|c| !c.sender.is_closed());
        let conn = conns.iter().min_by_key(|c| c.usage.busy())?;
        let full = conns.len() >= CONNECTIONS;
        (full || conn.usage.busy() < SECOND_AT).then(|| conn.clone())
    }

    fn any(&self) -> Option<Conn> {
        lock(&self.conns).iter().find(|c| !c.sender.is_closed()).cloned()
    }

    fn forget(&self, usage: &Arc<Usage>) {
        lock(&self.conns).retain(|c| !Arc::ptr_eq(&c.usage, usage));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts a request on a connection while it exists.
struct Busy(Arc<Usage>);

impl Busy {
    fn new(usage: Arc<Usage>) -> Self {
        usage.busy.fetch_add(1, Ordering::Relaxed);
        usage.touch();
        Self(usage)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.touch();
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

fn track(response: Response<hyper::body::Incoming>, busy: Busy) -> Response<Payload> {
    let version = response.version();
    response.map(|body| {
        let body = Checked::new(body, version).boxed_unsync();
        Tracked::new(body, move |_| drop(busy)).boxed_unsync()
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
