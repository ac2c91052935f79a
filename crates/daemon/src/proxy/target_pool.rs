use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout, timeout_at},
};

use super::{
    body::{Checked, Ended, Payload, Tracked},
    error::SendFault,
    meter::{Meter, Metered},
};
use crate::{detect_dead_peer, tasks::Tasks};

/// The longest wait for a connection to a target on the same host; one takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Kept connections that turn out to be closed are replaced this many times for one request.
const STALE_LIMIT: u32 = 3;

/// HTTP/1.1 connections to one target on this host, bounded by the connections it accepts.
#[derive(Clone)]
pub(crate) struct TargetPool(Arc<Inner>);

struct Inner {
    addr: SocketAddr,
    // A lock and not a task: it is held for one push or pop, and a message for each request would
    // add two task switches to the path.
    idle: Mutex<Vec<Conn>>,
    room: Arc<Semaphore>,
    tasks: Tasks,
}

/// An open connection.
struct Conn {
    sender: SendRequest<Payload>,
    meter: Meter,
    /// The name of the last request. It is not sent again on this connection, because a late second copy of
    /// the first response would bear the same name.
    last: Option<HeaderValue>,
}

impl TargetPool {
    /// A pool of at most `connections` connections to `addr`.
    pub(crate) fn new(addr: SocketAddr, connections: u32, tasks: Tasks) -> Self {
        let room = Arc::new(Semaphore::new(connections as usize));
        Self(Arc::new(Inner { addr, idle: Mutex::default(), room, tasks }))
    }

    /// Sends a request of a name and returns the response head; the connection is kept when the body of the
    /// response was read to its end, and closed when the response is dropped before.
    ///
    /// # Errors
    /// Whether the request was sent at all.
    pub(crate) async fn send(
        &self,
        mut request: Request<Payload>,
        name: Option<&HeaderValue>,
        deadline: Instant,
    ) -> Result<Response<Payload>, SendFault> {
        for _ in 0..STALE_LIMIT {
            let mut conn = match self.checkout(name, deadline).await {
                Ok(conn) => conn,
                Err(reason) => return Err(SendFault::not_sent(&reason, request)),
            };
            conn.last = name.cloned();
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.keep(conn, response)),
                Err(mut fault) => match fault.take_message() {
                    Some(message) => request = message,
                    None => return Err(SendFault::unknown(fault.error())),
                },
            }
        }
        Err(SendFault::not_sent(&"every kept connection was closed", request))
    }

    /// Closes the connections that are idle.
    pub(crate) fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Conn>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the idle connection that was used last and did not carry a request of this name.
    fn take_idle(&self, name: Option<&HeaderValue>) -> Option<Conn> {
        let mut idle = self.idle();
        let fits = |conn: &Conn| name.is_none() || conn.last.as_ref() != name;
        let Some(at) = idle.iter().rposition(fits) else {
            // They make room for a new connection, of which the target may accept no more.
            idle.clear();
            return None;
        };
        Some(idle.remove(at))
    }

    async fn checkout(
        &self,
        name: Option<&HeaderValue>,
        deadline: Instant,
    ) -> Result<Conn, String> {
        while let Some(mut conn) = self.take_idle(name) {
            if !conn.sender.is_closed() && conn.sender.ready().await.is_ok() {
                return Ok(conn);
            }
        }
        let room = timeout_at(deadline, self.0.room.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = room else {
            return Err("no connection to the target became free".to_owned());
        };
        timeout(CONNECT_TIMEOUT, self.connect(permit))
            .await
            .unwrap_or_else(|_| Err("the target did not accept a connection".to_owned()))
    }

    async fn connect(&self, permit: OwnedSemaphorePermit) -> Result<Conn, String> {
        let stream = TcpStream::connect(self.0.addr).await.map_err(|e| e.to_string())?;
        detect_dead_peer(&stream);
        let meter = Meter::default();
        let stream = TokioIo::new(Metered::new(stream, meter.clone()));
        let (sender, link) = handshake(stream).await.map_err(|e| e.to_string())?;
        self.0.tasks.spawn(async move {
            // A failed connection is reported by the request on it.
            let _ = link.await;
            drop(permit);
        });
        Ok(Conn { sender, meter, last: None })
    }

    fn keep(&self, conn: Conn, response: Response<hyper::body::Incoming>) -> Response<Payload> {
        let version = response.version();
        let pool = self.clone();
        conn.meter.reset();
        let meter = conn.meter.clone();
        response.map(|body| {
            let body = Checked::new(body, version).with_meter(meter).boxed_unsync();
            let tracked = Tracked::new(body, move |ended| {
                if ended == Ended::Complete {
                    pool.idle().push(conn);
                }
            });
            tracked.boxed_unsync()
        })
    }
}
