use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Longest wait for a connection on loopback, and for the answer to a single request.
const IO_TIMEOUT: Duration = Duration::from_secs(1);

/// The addresses of one host. Each host has its own loopback address, because daemons use the same
/// ports on every host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostAddrs {
    /// Position of the host in the fleet.
    pub(crate) idx: usize,
    fleet_id: u8,
}

impl HostAddrs {
    /// The addresses of the host at position `idx` of the fleet `fleet_id`, 0 to 100.
    pub(crate) const fn new(idx: usize, fleet_id: u8) -> Self {
        Self { idx, fleet_id }
    }

    /// The host's address with this port.
    pub(crate) fn addr(self, port: u16) -> SocketAddr {
        let idx = u8::try_from(self.idx).unwrap_or(u8::MAX);
        SocketAddr::from(([127, 77, self.fleet_id, idx.saturating_add(1)], port))
    }

    /// The daemon's address for callers.
    pub(crate) fn caller_addr(self) -> SocketAddr {
        self.addr(8629)
    }

    /// The daemon's address for the target's reports.
    pub(crate) fn control_addr(self) -> SocketAddr {
        self.addr(8620)
    }

    /// The daemon's address for readiness checks.
    pub(crate) fn ready_addr(self) -> SocketAddr {
        self.addr(8625)
    }

    /// The address at which the daemon reaches the target, through a link.
    pub(crate) fn link_addr(self) -> SocketAddr {
        self.addr(8628)
    }

    /// The address at which the target itself serves, behind the link.
    pub(crate) fn target_addr(self) -> SocketAddr {
        self.addr(8638)
    }
}

/// Opens a connection for consecutive requests.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // A failure of the connection is reported by the request on it.
    tokio::spawn(async move { conn.await.is_ok() });
    Ok(sender)
}

/// Sends one request over a new connection.
pub(crate) async fn send(
    addr: SocketAddr,
    request: http::request::Builder,
    body: String,
) -> io::Result<Response<Incoming>> {
    let mut sender = connect(addr).await?;
    let request: Request<_> = request
        .header(header::HOST, "soak")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .map_err(io::Error::other)?;
    timeout(IO_TIMEOUT, sender.send_request(request)).await?.map_err(io::Error::other)
}
