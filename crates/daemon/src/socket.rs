use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection fails if the other side does not acknowledge what was sent. After
/// a lost packet it is sent again after about 200 ms, so this allows for two losses in a row.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without traffic after which the system asks the other side for a sign of life, and between two
/// such probes; the shortest that the system takes. With `UNACKED_TIMEOUT` a silent connection fails after
/// 2 s at most.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Has a connection send without delay, and fail when the other side falls silent without closing it:
/// after a loss of power or behind a cut link nothing else would show it.
pub fn detect_dead_peer(stream: &TcpStream) {
    detect_dead_peer_within(stream, UNACKED_TIMEOUT);
}

/// The same with another limit for bytes that are not acknowledged.
pub(crate) fn detect_dead_peer_within(stream: &TcpStream, unacked: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    // Without these options a connection still works, and its requests end at their deadlines.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacked));
    let _ = socket.set_tcp_keepalive(&probes);
}
