use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection fails if the peer does not acknowledge sent data. TCP retransmits a
/// lost packet after about 200 ms, so this tolerates two losses in a row.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without traffic until the first keepalive probe, and between probes; 1 s is the shortest that
/// the system accepts. With `UNACKED_TIMEOUT`, a connection to a dead peer fails within 2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection fail when its peer stops responding without closing it, which nothing else
/// detects after a power loss or a network cut. Also disables Nagle's algorithm.
pub fn detect_dead_peer(stream: &TcpStream) {
    detect_dead_peer_within(stream, UNACKED_TIMEOUT);
}

/// Like `detect_dead_peer`, with another limit for data that is not acknowledged.
pub(crate) fn detect_dead_peer_within(stream: &TcpStream, unacked: Duration) {
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // Errors are ignored: without these options the connection still works, and its requests end at
    // their deadlines.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacked));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
