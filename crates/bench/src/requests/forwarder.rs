use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use super::client::{HttpClient, Reply};
use crate::fleet::BoxError;

/// How many times a request is sent at most.
const MAX_ATTEMPTS: usize = 3;
/// Timeout of each attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The baseline: one round-robin proxy that retries a request at the next target after any error.
pub(crate) struct Forwarder {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Forwarder {
    pub(crate) async fn start(targets: Vec<SocketAddr>) -> Result<Self, BoxError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state =
            Arc::new(State { targets, next: AtomicUsize::new(0), client: HttpClient::default() });
        let task = tokio::spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while conns.try_join_next().is_some() {}
                // Without TCP_NODELAY, small responses wait for the acknowledgement of earlier ones.
                let _ = stream.set_nodelay(true);
                let state = state.clone();
                let service = service_fn(move |request| {
                    let state = state.clone();
                    async move { Ok::<_, Infallible>(state.serve(request).await) }
                });
                conns.spawn(async move {
                    // The caller sees connection errors too.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(Self { addr, task })
    }

    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) async fn close(self) {
        self.task.abort();
        // The result is always a cancellation error.
        let _ = self.task.await;
    }
}

struct State {
    targets: Vec<SocketAddr>,
    next: AtomicUsize,
    client: HttpClient,
}

impl State {
    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (mut head, body) = request.into_parts();
        let Ok(body) = body.collect().await else { return empty_response(StatusCode::BAD_REQUEST) };
        let body = body.to_bytes();
        head.headers.remove(header::CONNECTION);
        let mut last = empty_response(StatusCode::BAD_GATEWAY);
        for _ in 0..MAX_ATTEMPTS {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % self.targets.len();
            let request = Request::from_parts(head.clone(), Full::new(body.clone()));
            let sent =
                timeout(ATTEMPT_TIMEOUT, self.client.send(self.targets[index], request)).await;
            match sent {
                Ok(Reply::Complete(response)) => {
                    let good = !response.status().is_server_error();
                    last = response.map(Full::new);
                    if good {
                        break;
                    }
                }
                Ok(Reply::NotSent | Reply::Lost) => last = empty_response(StatusCode::BAD_GATEWAY),
                Err(_) => last = empty_response(StatusCode::GATEWAY_TIMEOUT),
            }
        }
        last
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
