//! Messages between daemons: protobuf types, the datagram and frame encodings, and their size
//! limits. Every decoder refuses malformed or oversized input with an error and bounds the memory
//! that one message can take.

mod codec;
mod compress;
mod frame;
mod member;
mod packet;
mod quota;
mod scan;

pub use codec::{FrameCodec, WireError, decode_packet, encode_packet};
pub use compress::{compress, decompress};
pub use frame::{
    Applied, Broadcast, Busy, Delta, DomainDigest, DomainState, Frame, FrameBody, Hello, Join,
    JoinReply, Offer, Origin, PoisonLeft, Pull, Refusal, Snapshot, StatusPull, StatusReply,
    Summary, SyncMembers, SyncReply,
};
pub use member::{Member, State, Target, Tombstone, VersionId};
pub use packet::{Ack, Packet, PacketBody, Ping, PingReq};
pub use quota::{CreditPacket, CreditReply, CreditRequest};

/// The protocol version that this build speaks. Peers ignore fields that they do not know.
pub const PROTOCOL: u32 = 1;

/// The largest UDP payload in bytes, below the usual path MTU of 1,500 with room for tunnels.
pub const MAX_PACKET_BYTES: usize = 1_200;

/// The largest TCP frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The largest body in bytes of a frame that carries member records.
pub const MAX_MEMBERS_BYTES: usize = 1 << 20;

/// The largest body in bytes of a frame that carries neither rows nor member records.
pub const MAX_CONTROL_BYTES: usize = 64 << 10;

/// The most fields that one frame body may hold. A two-byte empty record takes about 200 bytes
/// decoded, so the frame length alone does not bound memory.
pub const MAX_BODY_FIELDS: usize = 16_384;
