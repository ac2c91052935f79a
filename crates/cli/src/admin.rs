use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use crate::DaemonStatus;

/// How long to wait for a daemon's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest status body that is read. With 467 daemons in each of 9 domains, all of them behind
/// and with names of 64 bytes, a status takes about 300 KB.
const MAX_STATUS_BYTES: usize = 4 * 1024 * 1024;

/// A failure to read a daemon's status.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the status of daemon {addr} cannot be read: {reason}")]
pub struct AdminError {
    /// The admin address of the daemon.
    pub addr: SocketAddr,
    /// Why the status could not be read.
    pub reason: String,
}

/// The admin API of daemons.
pub trait Admin: Send + Sync {
    /// Reads the status of the daemon at the admin address `addr`.
    fn status(
        &self,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<DaemonStatus, AdminError>> + Send;
}

/// The admin API over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpAdmin;

impl Admin for HttpAdmin {
    async fn status(&self, addr: SocketAddr) -> Result<DaemonStatus, AdminError> {
        let reading = timeout(STATUS_TIMEOUT, read_status(addr)).await;
        let result = reading.unwrap_or_else(|_| {
            Err(format!("no answer within {} s", STATUS_TIMEOUT.as_secs()).into())
        });
        result.map_err(|e| AdminError { addr, reason: e.to_string() })
    }
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

async fn read_status(addr: SocketAddr) -> Result<DaemonStatus, AnyError> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The connection closes when the sender is dropped, which ends the task.
    tokio::spawn(connection);
    let request =
        Request::get("/status").header("host", addr.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("the response is {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
