use prost::Message;

/// Identifies a version by its number and hash.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VersionId {
    /// The version number; 0 stands for no version.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The content hash, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub hash: Vec<u8>,
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// Answers probes.
    Alive = 0,
    /// Announced that it is leaving; gets no new requests.
    Leaving = 1,
    /// Did not answer a probe and has not refuted the suspicion.
    Suspect = 2,
    /// Did not refute a suspicion in time.
    Dead = 3,
    /// Left, or its process is known to have ended.
    Left = 4,
}

/// One member of the fleet.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// The host name, unique in the fleet.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Orders the records of the host; only the host itself increments it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The incarnation at which the process started.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// The failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// The region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// The address for datagrams and frames, as `ip:port`.
    #[prost(string, tag = "6")]
    pub peer: String,
    /// The address for requests, as `ip:port`.
    #[prost(string, tag = "7")]
    pub data: String,
    /// The state.
    #[prost(enumeration = "State", tag = "8")]
    pub state: i32,
    /// Whether the member acts as a relay of its domain.
    #[prost(bool, tag = "9")]
    pub relay: bool,
    /// The targets on the member's host.
    #[prost(message, repeated, tag = "10")]
    pub targets: Vec<Target>,
    /// Time since the member was declared dead or left, in ms; 0 for a live member.
    #[prost(uint64, tag = "11")]
    pub dead_ms: u64,
    /// The speed of the host's link in Mbit/s; 0 if it is not known.
    #[prost(uint32, tag = "12")]
    pub link: u32,
    /// Targets of the host that take no more requests.
    #[prost(message, repeated, tag = "13")]
    pub tombstones: Vec<Tombstone>,
}

/// A target that takes no more requests.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Tombstone {
    /// The name of its incarnation.
    #[prost(string, tag = "1")]
    pub name: String,
    /// When the incarnation started, in ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// The sequence number of its last report that is void.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// A target on the host of a member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Target {
    /// The index among the host's targets.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The number of requests that the target runs at once.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// The number of connections that the target accepts.
    #[prost(uint32, tag = "4")]
    pub connections: u32,
    /// Whether the target gets no new requests.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// When the target started, in ms since the Unix epoch; 0 stands for the start of its daemon.
    #[prost(uint64, tag = "6")]
    pub started: u64,
    /// The version; absent unless rollouts are enabled.
    #[prost(string, optional, tag = "7")]
    pub version: Option<String>,
    /// When the target will be warm, in ms since the Unix epoch; absent without a version or once it is warm.
    #[prost(uint64, optional, tag = "8")]
    pub warm: Option<u64>,
}

impl Member {
    /// The encoded size in bytes as part of a message, including its tag and length.
    #[must_use]
    pub fn size(&self) -> usize {
        let len = self.encoded_len();
        1 + prost::length_delimiter_len(len) + len
    }
}
