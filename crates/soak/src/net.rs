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

/// The longest wait for a connection on loopback.
const CONNECT: Duration = Duration::from_secs(1);

/// The addresses of one host; each has an address of loopback of its own, as daemons use the same ports
/// everywhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostAddrs {
    /// Position among the hosts.
    pub(crate) idx: usize,
    fleet_id: u8,
}

impl HostAddrs {
    /// The host at this position of the fleet number `fleet_id`, 0 to 100.
    pub(crate) const fn new(idx: usize, fleet_id: u8) -> Self {
        Self { idx, fleet_id }
    }

    /// An address of the host.
    pub(crate) fn addr(self, port: u16) -> SocketAddr {
        let idx = u8::try_from(self.idx).unwrap_or(u8::MAX);
        SocketAddr::from(([127, 77, self.fleet_id, idx.saturating_add(1)], port))
    }

    /// Where callers connect.
    pub(crate) fn caller_addr(self) -> SocketAddr {
        self.addr(8629)
    }

    /// Where the target reports.
    pub(crate) fn control_addr(self) -> SocketAddr {
        self.addr(8620)
    }

    /// Where the daemon says whether it is ready.
    pub(crate) fn ready_addr(self) -> SocketAddr {
        self.addr(8625)
    }

    /// Where the daemon reaches the target, over a link.
    pub(crate) fn link_addr(self) -> SocketAddr {
        self.addr(8628)
    }

    /// Where the target serves.
    pub(crate) fn target_addr(self) -> SocketAddr {
        self.addr(8638)
    }
}

/// A connection for requests, one after the other.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // Its failure is seen by the request on it.
    tokio::spawn(async move { conn.await.is_ok() });
    Ok(sender)
}

/// Sends one request on a connection of its own.
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
    timeout(CONNECT, sender.send_request(request)).await?.map_err(io::Error::other)
}
