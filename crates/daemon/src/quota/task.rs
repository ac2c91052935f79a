use std::{future::pending, io, net::SocketAddr, time::Duration};

use dw_log::{Event, Field, Kind, Log};
use dw_wire::{CreditPacket, CreditReply, MAX_PACKET_BYTES};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, sleep_until},
};

use super::QuotaHandle;
use crate::counters::Counters;

/// Delay after a failed receive, so that the task does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Delay before the port is opened again after a failure.
const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The task that owns the UDP socket for credit.
pub(crate) struct Quota {
    /// The credit and the buckets.
    pub(crate) handle: QuotaHandle,
    /// The address of this host; other hosts use the same port. Without it, each daemon admits its part
    /// of the rate.
    pub(crate) addr: Option<SocketAddr>,
    /// Counts messages.
    pub(crate) counters: Counters,
    /// The log.
    pub(crate) log: Log,
}

impl Quota {
    /// Runs until the daemon is closed. The socket is opened once a version has a workspace with a limit.
    pub(crate) async fn run(self) {
        let mut socket = None;
        let mut deadline = None;
        let mut retry = None;
        // One byte more than the limit, so that longer datagrams are detected.
        let mut buf = [0; MAX_PACKET_BYTES + 1];
        loop {
            let wakes_at = [deadline, retry].into_iter().flatten().min();
            tokio::select! {
                () = self.handle.0.wake.notified() => {}
                () = wait_until(wakes_at) => {}
                arrived = receive(socket.as_ref(), &mut buf) => match arrived {
                    Ok((size, from)) => {
                        let replies = self.receive(&buf[..size]);
                        self.send(socket.as_ref(), CreditPacket::pack(Vec::new(), replies), from).await;
                    }
                    // Linux reports here that an earlier datagram was sent to a closed port.
                    Err(_) => sleep(RECEIVE_RETRY_DELAY).await,
                }
            }
            let is_due = retry.is_none_or(|at| at <= Instant::now());
            if socket.is_none() && is_due && self.handle.state().is_limiting() {
                socket = self.listen().await;
                let failed = socket.is_none() && self.addr.is_some();
                retry = failed.then(|| Instant::now() + LISTEN_RETRY_DELAY);
            }
            deadline = self.poll(socket.as_ref()).await;
        }
    }

    async fn listen(&self) -> Option<UdpSocket> {
        let addr = self.addr?;
        match UdpSocket::bind(addr).await {
            Ok(socket) => Some(socket),
            Err(error) => {
                let failed = Event::new(Kind::QuotaUnavailable)
                    .with(Field::Address, addr.to_string())
                    .with(Field::Detail, error.to_string());
                self.log.write(&failed);
                None
            }
        }
    }

    /// Sends the credit requests that are due; returns when to do so again.
    async fn poll(&self, socket: Option<&UdpSocket>) -> Option<Instant> {
        let polled = self.handle.state().poll(socket.is_some(), Instant::now());
        for _ in 0..polled.alone {
            self.counters.quota().fallback();
        }
        let port = self.addr.map_or(0, |addr| addr.port());
        for (ip, requests) in polled.requests {
            self.counters.quota().asked(requests.len());
            let packets = CreditPacket::pack(requests, Vec::new());
            self.send(socket, packets, SocketAddr::new(ip, port)).await;
        }
        polled.deadline
    }

    /// Applies a datagram; returns the replies to send.
    fn receive(&self, data: &[u8]) -> Vec<CreditReply> {
        let Ok(packet) = CreditPacket::parse(data) else { return Vec::new() };
        self.counters.received("credit", data.len());
        let now = Instant::now();
        let mut state = self.handle.state();
        for reply in &packet.replies {
            if let Some(took) = state.receive(reply, now) {
                self.counters.quota().answered(took);
            }
        }
        packet.requests.into_iter().filter_map(|request| state.answer(request, now)).collect()
    }

    async fn send(&self, socket: Option<&UdpSocket>, packets: Vec<bytes::Bytes>, to: SocketAddr) {
        let Some(socket) = socket else { return };
        for data in packets {
            // Errors are ignored: datagrams may be lost anyway, and credit requests are repeated.
            if socket.send_to(&data, to).await.is_ok() {
                self.counters.sent("credit", data.len());
            }
        }
    }
}

async fn receive(socket: Option<&UdpSocket>, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
    match socket {
        Some(socket) => socket.recv_from(buf).await,
        None => pending().await,
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
