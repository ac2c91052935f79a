use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::config::HOST;
use crate::requests::{HttpClient, Reply};

/// Bytes of a target's response.
const RESPONSE_BYTES: usize = 5_000;

/// Largest request body; half of the requests have none.
const MAX_REQUEST_BYTES: usize = 24_000;

/// Time that a target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Number of requests sent, and of failed ones by what the caller saw.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub sent: AtomicU64,
    pub failed: Mutex<BTreeMap<String, u64>>,
}

/// Serves as the target of every host.
pub(crate) async fn serve_target(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
        // A failed connection is reported by the request on it.
        tokio::spawn(async move { conn.await.is_ok() });
    }
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let whole = body.collect().await.is_ok();
    sleep(SERVICE_TIME).await;
    let mut response = Response::new(Full::from(vec![b'x'; RESPONSE_BYTES]));
    if let (true, Some(id)) = (whole, head.headers.get("x-damaskwick-request-id")) {
        response.headers_mut().insert("x-damaskwick-request-id", id.clone());
    }
    Ok(response)
}

/// Sends requests for one of the services to a daemon, `pause` after one another on average. Every fifth
/// request uses a new connection.
pub(crate) async fn call(
    addr: SocketAddr,
    services: std::ops::Range<usize>,
    pause: Duration,
    counts: Arc<Counts>,
) {
    let client = HttpClient::default();
    loop {
        let wait = pause.mul_f64(rand::random_range(0.0..2.0));
        sleep(wait).await;
        let number = counts.sent.fetch_add(1, Ordering::Relaxed);
        let body = match number % 2 {
            0 => Vec::new(),
            _ => vec![b'y'; rand::random_range(0..MAX_REQUEST_BYTES)],
        };
        let service = rand::random_range(services.clone());
        let request = Request::post(format!("/used{service}/{number}"))
            .header("host", HOST)
            .header("x-damaskwick-request-id", format!("{number:x}-{}", addr.port()))
            .header("x-damaskwick-deadline-ms", "2000")
            .body(Full::from(body));
        let Ok(request) = request else { return };
        let fresh = HttpClient::default();
        let client = if number.is_multiple_of(5) { &fresh } else { &client };
        let failure = match client.send(addr, request).await {
            Reply::Complete(response) if response.status() != 200 => {
                String::from_utf8_lossy(response.body()).into_owned()
            }
            Reply::Complete(response) if response.body().len() == RESPONSE_BYTES => continue,
            Reply::Complete(_) | Reply::Lost => "lost".to_owned(),
            Reply::NotSent => "not sent".to_owned(),
        };
        *counts
            .failed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(failure)
            .or_default() += 1;
    }
}

/// Reports the target of the measured daemon until the task is aborted.
pub(crate) async fn report(
    control: SocketAddr,
    target: SocketAddr,
    service: String,
    period: Duration,
) {
    let client = HttpClient::default();
    for sequence in 1_u64.. {
        let body = serde_json::json!({
            "address": target, "born": 100, "info": {"service": service, "slots": 12},
            "status": {"state": "ready", "seq": sequence, "cold_left_ms": 0},
        });
        let request = Request::put("/-/instances/i-1")
            .header("host", "control")
            .body(Full::from(body.to_string()));
        if let Ok(request) = request {
            // The next report replaces a lost one.
            let _ = client.send(control, request).await;
        }
        sleep(period).await;
    }
}

/// Whether the daemon reports that it is ready for callers.
pub(crate) async fn is_ready(addr: SocketAddr) -> bool {
    if TcpStream::connect(addr).await.is_err() {
        return false;
    }
    let Ok(request) = Request::get("/-/ready").header("host", "ready").body(Full::default()) else {
        return false;
    };
    let reply = HttpClient::default().send(addr, request).await;
    matches!(reply, Reply::Complete(response) if response.status() == 200)
}
