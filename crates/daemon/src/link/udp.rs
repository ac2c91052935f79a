use std::{net::SocketAddr, time::Duration};

use dw_mesh::Input;
use dw_wire::{MAX_PACKET_BYTES, Packet, PacketBody, decode_packet, encode_packet};
use tokio::{net::UdpSocket, sync::mpsc, time::sleep};

use crate::{counters::Counters, node::ToNode};

/// The wait after a failed receive; without it the task could spin.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// A datagram to send.
#[derive(Debug)]
pub(crate) struct ToDatagrams {
    /// The receiver.
    pub(crate) to: SocketAddr,
    /// The datagram.
    pub(crate) packet: Packet,
}

/// The task that owns the UDP socket.
pub(crate) struct Datagrams {
    /// The socket.
    pub(crate) socket: UdpSocket,
    /// The task that receives what arrives.
    pub(crate) node: mpsc::Sender<ToNode>,
    /// Counts bytes.
    pub(crate) counters: Counters,
}

impl Datagrams {
    /// Sends and receives datagrams.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<ToDatagrams>) {
        // One byte more than the limit, so that a longer datagram is seen as such.
        let mut buf = [0; MAX_PACKET_BYTES + 1];
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.send(message).await,
                    None => return,
                },
                arrived = self.socket.recv_from(&mut buf) => match arrived {
                    Ok((size, from)) => self.receive(&buf[..size], from),
                    // Linux reports that an earlier datagram met a closed port.
                    Err(_) => sleep(RECEIVE_PAUSE).await,
                }
            }
        }
    }

    async fn send(&self, message: ToDatagrams) {
        let kind = kind_of(&message.packet);
        let Ok(data) = encode_packet(&message.packet) else {
            self.counters.dropped();
            return;
        };
        // Datagrams may be lost anywhere; the probes notice it.
        if self.socket.send_to(&data, message.to).await.is_ok() {
            self.counters.sent(kind, data.len());
        }
    }

    fn receive(&self, data: &[u8], from: SocketAddr) {
        let Ok(packet) = decode_packet(data) else { return };
        self.counters.received(kind_of(&packet), data.len());
        // A full queue loses the datagram, as a full socket buffer would.
        if self.node.try_send(ToNode::Input(Input::Packet { from, packet })).is_err() {
            self.counters.dropped();
        }
    }
}

const fn kind_of(packet: &Packet) -> &'static str {
    match &packet.body {
        Some(PacketBody::PingReq(_)) => "ping-req",
        Some(PacketBody::Ack(_)) => "ack",
        Some(PacketBody::Ping(_)) | None => "ping",
    }
}
