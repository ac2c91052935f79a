use bytes::Bytes;
use prost::Message;

use crate::{MAX_PACKET_BYTES, PROTOCOL, WireError};

/// Requests for credit and replies to them, in one datagram on the quota port.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditPacket {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Credit requests to the owner of the workspaces.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<CreditRequest>,
    /// The owner's replies.
    #[prost(message, repeated, tag = "3")]
    pub replies: Vec<CreditReply>,
}

/// Asks the owner of a workspace for tokens. It takes about 40 bytes with names of 10 characters.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CreditRequest {
    /// Repeated in the reply; grows over restarts of the sender. A second attempt has the same id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The sender's host name.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The name of the workspace.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Tokens that the sender expects to need in the next 400 ms.
    #[prost(uint32, tag = "4")]
    pub want: u32,
    /// Requests of the workspace that the sender has admitted since its start, without those refunded.
    #[prost(uint64, tag = "5")]
    pub spent: u64,
}

/// Answers a credit request. Without tokens and without a time to wait, the sender does not lease credit
/// of this workspace now. It takes about 35 bytes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditReply {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Tokens granted.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Time in ms after the first attempt of the request in which the tokens may be spent.
    #[prost(uint32, tag = "4")]
    pub ttl_ms: u32,
    /// Without tokens, the time in ms after which there will be some.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// The receiver's share of the rate in requests per second.
    #[prost(float, tag = "6")]
    pub share: f32,
}

impl CreditPacket {
    /// Packs messages into datagrams of at most [`MAX_PACKET_BYTES`]. A message that fits into none is left
    /// out; the names of hosts and workspaces have at most 64 bytes.
    #[must_use]
    pub fn pack(requests: Vec<CreditRequest>, replies: Vec<CreditReply>) -> Vec<Bytes> {
        let mut packets = Vec::new();
        let mut packet = Self::empty();
        let mut used = packet.encoded_len();
        let mut add = |size: usize, put: &mut dyn FnMut(&mut Self)| {
            // The tag and the length of a message take at most 3 bytes.
            let size = size + 3;
            if used + size > MAX_PACKET_BYTES && !packet.is_empty() {
                packets.push(Bytes::from(packet.encode_to_vec()));
                packet = Self::empty();
                used = packet.encoded_len();
            }
            if used + size <= MAX_PACKET_BYTES {
                put(&mut packet);
                used += size;
            }
        };
        for request in requests {
            add(request.encoded_len(), &mut |packet| packet.requests.push(request.clone()));
        }
        for reply in replies {
            add(reply.encoded_len(), &mut |packet| packet.replies.push(reply.clone()));
        }
        if !packet.is_empty() {
            packets.push(Bytes::from(packet.encode_to_vec()));
        }
        packets
    }

    /// Decodes a datagram of the quota port.
    ///
    /// # Errors
    /// The datagram is too large or malformed, or has no protocol version.
    pub fn parse(bytes: &[u8]) -> Result<Self, WireError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(WireError::TooLarge { size: bytes.len(), limit: MAX_PACKET_BYTES });
        }
        let packet = Self::decode(bytes)?;
        if packet.protocol == 0 {
            return Err(WireError::Protocol(packet.protocol));
        }
        Ok(packet)
    }

    fn empty() -> Self {
        Self { protocol: PROTOCOL, ..Self::default() }
    }

    const fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.replies.is_empty()
    }
}
