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
    body::{BodyEnd, Payload, TrackedBody, VerifiedBody},
    error::SendError,
    meter::{Meter, MeteredStream},
};
use crate::{detect_dead_peer, tasks::Tasks};

/// Timeout for a connection to a target on this host, which takes about 1 ms to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of connections tried for one request; an idle one may turn out to be closed.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// HTTP/1.1 connections to one target on this host, at most as many as it accepts.
#[derive(Clone)]
pub(crate) struct TargetPool(Arc<Inner>);

struct Inner {
    addr: SocketAddr,
    // A mutex rather than a task: it is held for one push or pop, and a message to a task would add
    // two task switches to each request.
    idle: Mutex<Vec<Conn>>,
    permits: Arc<Semaphore>,
    tasks: Tasks,
}

/// An open connection.
struct Conn {
    sender: SendRequest<Payload>,
    meter: Meter,
    /// The id of the last request. Another attempt with this id doesn't use the connection, because a
    /// late duplicate of the first response would carry the same id.
    last_id: Option<HeaderValue>,
}

impl TargetPool {
    /// Creates a pool of at most `connections` connections to `addr`.
    pub(crate) fn new(addr: SocketAddr, connections: u32, tasks: Tasks) -> Self {
        let permits = Arc::new(Semaphore::new(connections as usize));
        Self(Arc::new(Inner { addr, idle: Mutex::default(), permits, tasks }))
    }

    /// Sends a request with the given id and returns the response head. The connection is reused once the
    /// response body has been read to its end, and closed if the response is dropped earlier.
    ///
    /// # Errors
    /// States whether anything of the request may have been sent.
    pub(crate) async fn send(
        &self,
        mut request: Request<Payload>,
        request_id: Option<&HeaderValue>,
        deadline: Instant,
    ) -> Result<Response<Payload>, SendError> {
        for _ in 0..MAX_SEND_ATTEMPTS {
            let mut conn = match self.checkout(request_id, deadline).await {
                Ok(conn) => conn,
                Err(reason) => return Err(SendError::not_sent(&reason, request)),
            };
            conn.last_id = request_id.cloned();
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.keep(conn, response)),
                Err(mut err) => match err.take_message() {
                    Some(message) => request = message,
                    None => return Err(SendError::unknown(err.error())),
                },
            }
        }
        Err(SendError::not_sent(
            &"every idle connection was closed before the request was sent",
            request,
        ))
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Conn>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection whose last request had another id.
    fn take_idle(&self, request_id: Option<&HeaderValue>) -> Option<Conn> {
        let mut idle = self.idle();
        let fits = |conn: &Conn| request_id.is_none() || conn.last_id.as_ref() != request_id;
        let Some(at) = idle.iter().rposition(fits) else {
            // Close the other idle connections, because the target may not accept any more.
            idle.clear();
            return None;
        };
        Some(idle.remove(at))
    }

    async fn checkout(
        &self,
        request_id: Option<&HeaderValue>,
        deadline: Instant,
    ) -> Result<Conn, String> {
        while let Some(mut conn) = self.take_idle(request_id) {
            if !conn.sender.is_closed() && conn.sender.ready().await.is_ok() {
                return Ok(conn);
            }
        }
        let permits = timeout_at(deadline, self.0.permits.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permits else {
            return Err("no connection to the target became available in time".to_owned());
        };
        timeout(CONNECT_TIMEOUT, self.connect(permit))
            .await
            .unwrap_or_else(|_| Err("the target did not accept a connection in time".to_owned()))
    }

    async fn connect(&self, permit: OwnedSemaphorePermit) -> Result<Conn, String> {
        let stream = TcpStream::connect(self.0.addr).await.map_err(|e| e.to_string())?;
        detect_dead_peer(&stream);
        let meter = Meter::default();
        let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
        let (sender, connection) = handshake(stream).await.map_err(|e| e.to_string())?;
        self.0.tasks.spawn(async move {
            // A failed connection is reported by the request on it.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Conn { sender, meter, last_id: None })
    }

    fn keep(&self, conn: Conn, response: Response<hyper::body::Incoming>) -> Response<Payload> {
        let version = response.version();
        let pool = self.clone();
        conn.meter.reset();
        let meter = conn.meter.clone();
        response.map(|body| {
            let body = VerifiedBody::new(body, version).with_meter(meter).boxed_unsync();
            let tracked = TrackedBody::new(body, move |ended| {
                if ended == BodyEnd::Complete {
                    pool.idle().push(conn);
                }
            });
            tracked.boxed_unsync()
        })
    }
}
