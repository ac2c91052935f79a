use crate::{Member, PROTOCOL, Tombstone, VersionId};

/// A message on a connection between daemons.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Frame {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The message itself.
    #[prost(oneof = "FrameBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<FrameBody>,
}

/// The kinds of frames.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum FrameBody {
    /// The first frame on each connection; identifies the sender.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A new member asks for member records and its floor.
    #[prost(message, tag = "3")]
    Join(Join),
    /// Answers `Join`.
    #[prost(message, tag = "4")]
    JoinReply(JoinReply),
    /// Announces a version along the distribution tree.
    #[prost(message, tag = "5")]
    Offer(Offer),
    /// Asks for a version.
    #[prost(message, tag = "6")]
    Pull(Pull),
    /// Changed rows.
    #[prost(message, tag = "7")]
    Delta(Delta),
    /// All rows.
    #[prost(message, tag = "8")]
    Snapshot(Snapshot),
    /// Reports which members of a subtree hold a version.
    #[prost(message, tag = "9")]
    Applied(Applied),
    /// Urgent member records and fingerprints of poison requests.
    #[prost(message, tag = "10")]
    Broadcast(Broadcast),
    /// The state of a domain, sent between relays.
    #[prost(message, tag = "11")]
    Summary(Summary),
    /// Digests of the sender's member table.
    #[prost(message, tag = "12")]
    SyncMembers(SyncMembers),
    /// The records in which the member tables differ.
    #[prost(message, tag = "13")]
    SyncReply(SyncReply),
    /// Defers a request.
    #[prost(message, tag = "14")]
    Busy(Busy),
    /// Asks a relay for the state of all domains.
    #[prost(message, tag = "15")]
    StatusPull(StatusPull),
    /// Answers `StatusPull`.
    #[prost(message, tag = "16")]
    StatusReply(StatusReply),
}

/// The first frame on each connection; identifies the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// The sender's host name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The address on which the sender listens, as `ip:port`.
    #[prost(string, tag = "2")]
    pub peer: String,
}

/// A new member asks for member records and for its floor, the lowest version number that it may
/// serve.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Join {
    /// The record of the new member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// Whether only the floor is asked for.
    #[prost(bool, tag = "2")]
    pub floor_only: bool,
}

/// Answers `Join`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JoinReply {
    /// Whether the new member was admitted; if not, `members` holds a few peers to try instead.
    #[prost(bool, tag = "1")]
    pub admitted: bool,
    /// Milliseconds after which to try again, if not admitted.
    #[prost(uint32, tag = "2")]
    pub retry_ms: u32,
    /// The highest version number that the new member's host is known to have served, or that the
    /// sender serves.
    #[prost(uint64, tag = "3")]
    pub floor: u64,
    /// The version that the sender serves.
    #[prost(message, optional, tag = "4")]
    pub version_id: Option<VersionId>,
    /// Member records.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// The value of `Join::floor_only`.
    #[prost(bool, tag = "6")]
    pub floor_only: bool,
    /// The highest incarnation of the new member's host that the sender knows.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Whether the sender serves a version; if not, the floor is not conclusive.
    #[prost(bool, tag = "8")]
    pub has_version: bool,
    /// Whether `tombstones` are those of the earlier process on the new member's host, as far as the sender knows.
    #[prost(bool, tag = "9")]
    pub knows_former: bool,
    /// Targets of the new member's host that take no more requests.
    #[prost(message, repeated, tag = "10")]
    pub tombstones: Vec<Tombstone>,
    /// Poison requests that the sender knows of.
    #[prost(message, repeated, tag = "11")]
    pub poison: Vec<PoisonLeft>,
}

/// Announces a version along the distribution tree, to the members whose rank lies in `lo..=hi`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Offer {
    /// The host at the root of the tree.
    #[prost(string, tag = "1")]
    pub root: String,
    /// Orders the trees that one root starts.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The version.
    #[prost(message, optional, tag = "3")]
    pub version_id: Option<VersionId>,
    /// The lowest rank that the receiver is responsible for.
    #[prost(fixed64, tag = "4")]
    pub lo: u64,
    /// The highest rank that the receiver is responsible for.
    #[prost(fixed64, tag = "5")]
    pub hi: u64,
}

/// Asks for the newest version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Pull {
    /// The version that the sender holds, if any.
    #[prost(message, optional, tag = "1")]
    pub have: Option<VersionId>,
    /// Whether the sender accepts compressed rows; earlier releases do not.
    #[prost(bool, tag = "2")]
    pub compressed: bool,
}

/// Who made the edit and when it was accepted, so that a relay can restore the platform's head
/// record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Origin {
    /// The hash of the previous version.
    #[prost(bytes = "vec", tag = "1")]
    pub parent: Vec<u8>,
    /// The id of the edit.
    #[prost(string, tag = "2")]
    pub change: String,
    /// Who made the edit.
    #[prost(string, tag = "3")]
    pub author: String,
    /// When it was accepted, in ms since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub time: u64,
}

/// Changed rows from the receiver's version to `version_id`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Delta {
    /// The version that results.
    #[prost(message, optional, tag = "1")]
    pub version_id: Option<VersionId>,
    /// The rows as canonical text.
    #[prost(bytes = "bytes", tag = "2")]
    pub rows: bytes::Bytes,
    /// Who made the version, and when.
    #[prost(message, optional, tag = "3")]
    pub origin: Option<Origin>,
    /// Whether the rows are compressed; see [`compress`](crate::compress()).
    #[prost(bool, tag = "4")]
    pub compressed: bool,
}

/// All rows of a version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// The version.
    #[prost(message, optional, tag = "1")]
    pub version_id: Option<VersionId>,
    /// The rows as canonical text.
    #[prost(bytes = "bytes", tag = "2")]
    pub rows: bytes::Bytes,
    /// Who made the version, and when.
    #[prost(message, optional, tag = "3")]
    pub origin: Option<Origin>,
    /// Whether the rows are compressed; see [`compress`](crate::compress()).
    #[prost(bool, tag = "4")]
    pub compressed: bool,
}

/// The state of the sender's subtree. Each report replaces the sender's earlier one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Applied {
    /// The sender's host name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The root of the tree.
    #[prost(string, tag = "2")]
    pub root: String,
    /// The tree's epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The version that the sender holds.
    #[prost(message, optional, tag = "4")]
    pub version_id: Option<VersionId>,
    /// Members of the subtree that hold the offered version.
    #[prost(uint32, tag = "5")]
    pub count: u32,
    /// The wrapping sum of the process hashes of those members.
    #[prost(fixed64, tag = "6")]
    pub sum: u64,
    /// Whether the report is final, with no further change expected.
    #[prost(bool, tag = "7")]
    pub done: bool,
    /// Whether the sender declines the version, so that its parent has to serve the subtree instead.
    #[prost(bool, tag = "8")]
    pub declined: bool,
    /// Hosts that answered but hold an older version.
    #[prost(string, repeated, tag = "9")]
    pub behind: Vec<String>,
    /// Hosts that did not answer.
    #[prost(string, repeated, tag = "10")]
    pub unreachable: Vec<String>,
}

/// Urgent member records and fingerprints of poison requests, to the members whose rank lies in
/// `lo..=hi`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Broadcast {
    /// Random id, by which receivers drop duplicates.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The host at the root of this domain's tree.
    #[prost(string, tag = "2")]
    pub root: String,
    /// The domain in which the broadcast started.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The lowest rank that the receiver is responsible for.
    #[prost(fixed64, tag = "4")]
    pub lo: u64,
    /// The highest rank that the receiver is responsible for.
    #[prost(fixed64, tag = "5")]
    pub hi: u64,
    /// Member records.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<Member>,
    /// Fingerprints of poison requests that were found now.
    #[prost(fixed64, repeated, tag = "7")]
    pub poison: Vec<u64>,
    /// Poison requests that were found where the sender was cut off from.
    #[prost(message, repeated, tag = "8")]
    pub earlier_poison: Vec<PoisonLeft>,
    /// Requests that were taken for poison and that a target has answered.
    #[prost(fixed64, repeated, tag = "9")]
    pub withdrawn_poison: Vec<u64>,
}

/// A version that was refused.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refusal {
    /// The version.
    #[prost(message, optional, tag = "1")]
    pub version_id: Option<VersionId>,
    /// Why, in one sentence.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Whether the platform's head still names this version.
    #[prost(bool, tag = "3")]
    pub is_head: bool,
}

/// The state of one domain, as its relay sees it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DomainState {
    /// The domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The version that the totals refer to.
    #[prost(message, optional, tag = "2")]
    pub version_id: Option<VersionId>,
    /// The number of members that may be serving.
    #[prost(uint32, tag = "3")]
    pub members: u32,
    /// The number of members that hold the version.
    #[prost(uint32, tag = "4")]
    pub applied: u32,
    /// The first few members that hold an older version.
    #[prost(string, repeated, tag = "5")]
    pub behind: Vec<String>,
    /// The first few members that do not answer.
    #[prost(string, repeated, tag = "6")]
    pub unreachable: Vec<String>,
    /// The age of the totals in ms when they are sent.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
    /// Time since the version reached the relay, in ms.
    #[prost(uint32, tag = "8")]
    pub spread_ms: u32,
    /// The versions that the relay refused.
    #[prost(message, repeated, tag = "9")]
    pub refused: Vec<Refusal>,
    /// Digest of the processes that are live members of the domain.
    #[prost(fixed64, tag = "10")]
    pub processes: u64,
    /// Whether the relay may not know all members yet.
    #[prost(bool, tag = "11")]
    pub partial: bool,
}

/// The state of the sender's domain, sent between relays.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Summary {
    /// The sender's host name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The domain's totals.
    #[prost(message, optional, tag = "2")]
    pub totals: Option<DomainState>,
    /// Digest of the domain's members.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Records of the domain that changed in the last seconds.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Poison requests that the sender knows of.
    #[prost(message, repeated, tag = "5")]
    pub poison: Vec<PoisonLeft>,
}

/// Bucket digests of one domain's members.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DomainDigest {
    /// The domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// One digest for each bucket of hosts.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
}

/// Digests of the sender's member table, by domain.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SyncMembers {
    /// The domains.
    #[prost(message, repeated, tag = "1")]
    pub domains: Vec<DomainDigest>,
    /// Whether `domains` holds all domains that the sender knows.
    #[prost(bool, tag = "2")]
    pub full: bool,
    /// Whether this answers another `SyncMembers`. An answer is not answered in turn.
    #[prost(bool, tag = "3")]
    pub answer: bool,
}

/// A poison request, and how long it is still refused.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PoisonLeft {
    /// The fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Milliseconds for which it is still refused.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// The records of the buckets in which two member tables differ.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SyncReply {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
    /// Poison requests that the sender knows of.
    #[prost(message, repeated, tag = "2")]
    pub poison: Vec<PoisonLeft>,
}

/// Defers a request: the sender is busy, and the receiver is to try again later.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Busy {
    /// Milliseconds after which to try again.
    #[prost(uint32, tag = "1")]
    pub retry_ms: u32,
}

/// Asks a relay for the state of all domains.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatusPull {}

/// Answers `StatusPull`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatusReply {
    /// The totals of each domain from which the relay has heard.
    #[prost(message, repeated, tag = "1")]
    pub domains: Vec<DomainState>,
}

impl Frame {
    /// A frame of this build's protocol version.
    #[must_use]
    pub const fn new(body: FrameBody) -> Self {
        Self { protocol: PROTOCOL, body: Some(body) }
    }

    /// The size in bytes on a connection, including the length that precedes the frame.
    #[must_use]
    pub fn size(&self) -> usize {
        4 + prost::Message::encoded_len(self)
    }
}
