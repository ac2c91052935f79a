use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Result of sending a request.
pub(crate) enum Reply {
    /// A response with its complete body.
    Complete(Response<Bytes>),
    /// The request was not sent, for example because no connection was made.
    NotSent,
    /// The connection or the response body ended early.
    Lost,
}

type IdleConnections = HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>;

/// An HTTP/1.1 client that reuses idle connections.
#[derive(Clone, Default)]
pub(crate) struct HttpClient(Arc<Mutex<IdleConnections>>);

impl HttpClient {
    /// Sends a request over an idle or a new connection, and reads the whole response.
    pub(crate) async fn send(&self, addr: SocketAddr, mut request: Request<Full<Bytes>>) -> Reply {
        loop {
            let (mut sender, is_new) = match self.take_idle(addr) {
                Some(sender) => (sender, false),
                None => match connect(addr).await {
                    Some(sender) => (sender, true),
                    None => return Reply::NotSent,
                },
            };
            if sender.ready().await.is_err() {
                if is_new {
                    return Reply::NotSent;
                }
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let Ok(body) = body.collect().await else { return Reply::Lost };
                    self.put_idle(addr, sender);
                    return Reply::Complete(Response::from_parts(head, body.to_bytes()));
                }
                Err(mut error) => match error.take_message() {
                    // Nothing was sent over this connection, so the request may use another one.
                    Some(message) if !is_new => request = message,
                    Some(_) => return Reply::NotSent,
                    None => return Reply::Lost,
                },
            }
        }
    }

    /// Number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).values().map(Vec::len).sum()
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&addr)?;
        std::iter::from_fn(|| senders.pop()).find(|sender| !sender.is_closed())
    }

    fn put_idle(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push(sender);
    }
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, conn) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(conn);
    Some(sender)
}
