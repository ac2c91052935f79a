use std::{net::SocketAddr, time::Duration};

use dw_mesh::Input;
use dw_wire::{PACKET_LIMIT, Packet, PacketBody, decode_packet, encode_packet};
use tokio::{net::UdpSocket, sync::mpsc, time::sleep};

use crate::{counters::Counters, node::NodeMessage};

/// Delay after a failed receive, so that the task does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A datagram to send.
#[derive(Debug)]
pub(crate) struct OutgoingDatagram {
    /// The address of the receiver.
    pub(crate) to: SocketAddr,
    /// The content.
    pub(crate) packet: Packet,
}

/// The task that owns the UDP socket.
pub(crate) struct Datagrams {
    /// The socket.
    pub(crate) socket: UdpSocket,
    /// The node's task, which receives the datagrams that arrive.
    pub(crate) node: mpsc::Sender<NodeMessage>,
    /// Counts bytes.
    pub(crate) counters: Counters,
}

impl Datagrams {
    /// Sends and receives datagrams.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<OutgoingDatagram>) {
        // One byte more than the limit, so that longer datagrams are detected.
        let mut buf = [0; PACKET_LIMIT + 1];
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.send(message).await,
                    None => return,
                },
                arrived = self.socket.recv_from(&mut buf) => match arrived {
                    Ok((size, from)) => self.receive(&buf[..size], from),
                    // Linux reports here that an earlier datagram was sent to a closed port.
                    Err(_) => sleep(RECEIVE_RETRY_DELAY).await,
                }
            }
        }
    }

    async fn send(&self, message: OutgoingDatagram) {
        let kind = kind_of(&message.packet);
        let Ok(data) = encode_packet(&message.packet) else {
            self.counters.dropped();
            return;
        };
        // Errors are ignored: datagrams may be lost anyway, and the probes detect it.
        if self.socket.send_to(&data, message.to).await.is_ok() {
            self.counters.sent(kind, data.len());
        }
    }

    fn receive(&self, data: &[u8], from: SocketAddr) {
        let Ok(packet) = decode_packet(data) else { return };
        self.counters.received(kind_of(&packet), data.len());
        // The datagram is dropped if the channel is full, as it would be if the socket buffer was.
        if self.node.try_send(NodeMessage::Input(Input::Packet { from, packet })).is_err() {
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
