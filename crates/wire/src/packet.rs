use crate::{Member, PROTOCOL};

/// A datagram between daemons.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Packet {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The sender's host name.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The incarnation at which the sender's process started.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// The version number that the sender serves; 0 for none.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The first four bytes of that version's hash.
    #[prost(fixed32, tag = "5")]
    pub prefix: u32,
    /// Digest of the sender's member table.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Member records that the sender disseminates.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
    /// The message itself.
    #[prost(oneof = "PacketBody", tags = "8, 9, 10")]
    pub body: Option<PacketBody>,
}

/// The kinds of datagrams.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum PacketBody {
    /// Asks for an acknowledgement.
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// Asks another member to probe a third one.
    #[prost(message, tag = "9")]
    PingReq(PingReq),
    /// Answers a probe.
    #[prost(message, tag = "10")]
    Ack(Ack),
}

/// Asks for an acknowledgement.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// The sequence number, repeated in the acknowledgement.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// Asks the receiver to probe `peer` and to pass its acknowledgement on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PingReq {
    /// The sequence number, repeated in the acknowledgement to the sender.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The host to probe.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Its address, as `ip:port`.
    #[prost(string, tag = "3")]
    pub peer: String,
}

/// Answers a probe.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// The sequence number of the probe.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The host that answered; differs from the sender for an indirect probe.
    #[prost(string, tag = "2")]
    pub host: String,
}

impl Packet {
    /// A datagram of this build's protocol version with the given body; all other fields are empty.
    #[must_use]
    pub fn new(body: PacketBody) -> Self {
        Self { protocol: PROTOCOL, body: Some(body), ..Self::default() }
    }

    /// The encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}
