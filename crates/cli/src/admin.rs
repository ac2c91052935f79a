use std::{collections::BTreeSet, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dw_mesh::Member;
use dw_tables::Name;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use crate::DaemonStatus;

/// How long to wait for a daemon's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest body that is read. With 467 daemons in each of 9 domains, all of them behind and with names of 64
/// bytes, a status takes about 300 KB; the list of their members takes about 2 MB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A failure to read from a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the status of daemon {addr} cannot be read: {reason}")]
pub struct AdminError {
    /// The admin address of the daemon.
    pub addr: SocketAddr,
    /// Why it could not be read.
    pub reason: String,
}

/// The admin API of daemons.
pub trait Admin: Send + Sync {
    /// Reads the status of the daemon at the admin address `addr`.
    fn status(
        &self,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<DaemonStatus, AdminError>> + Send;

    /// Reads the versions of the targets of a service that the daemon at the admin address `addr` knows.
    fn versions(
        &self,
        addr: SocketAddr,
        service: &Name,
    ) -> impl Future<Output = Result<BTreeSet<Name>, AdminError>> + Send;
}

/// The admin API over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpAdmin;

impl Admin for HttpAdmin {
    async fn status(&self, addr: SocketAddr) -> Result<DaemonStatus, AdminError> {
        read(addr, "/status").await
    }

    async fn versions(
        &self,
        addr: SocketAddr,
        service: &Name,
    ) -> Result<BTreeSet<Name>, AdminError> {
        let list: MemberList = read(addr, "/members").await?;
        let targets = list.members.into_iter().flat_map(|member| member.targets);
        let own = targets.filter(|target| target.service == *service);
        Ok(own.filter_map(|target| target.version).collect())
    }
}

/// The members that a daemon knows.
#[derive(Deserialize)]
struct MemberList {
    members: Vec<Member>,
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Reads a resource of the daemon at `addr`.
async fn read<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, AdminError> {
    let reading = timeout(ANSWER_TIMEOUT, fetch(addr, path)).await;
    let result = reading
        .unwrap_or_else(|_| Err(format!("no answer within {} s", ANSWER_TIMEOUT.as_secs()).into()));
    result.map_err(|e| AdminError { addr, reason: e.to_string() })
}

async fn fetch<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, AnyError> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The connection closes when the sender is dropped, which ends the task.
    tokio::spawn(connection);
    let request = Request::get(path).header("host", addr.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("the response is {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
