use std::{net::SocketAddr, sync::Arc};

use derive_more::{Display, From};
use dw_tables::{Head, Name, Version};
use dw_wire::{Frame, Packet};
use serde::{Deserialize, Serialize};

use crate::{Counter, LogEvent, MemberTable, RefusedVersion, Target};

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The deadline has passed.
    Tick,
    /// A datagram arrived.
    Packet {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// A frame arrived.
    Frame {
        /// The address on which the sender listens, as told in its `Hello`.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A frame could not be sent.
    SendFailed {
        /// The receiver.
        to: SocketAddr,
        /// Whether the receiver's host refused the connection, which proves that no process
        /// listens there. False for a timeout or a broken connection.
        refused: bool,
    },
    /// The platform answered.
    Platform(PlatformEvent),
    /// Something happened in the daemon itself.
    Local(LocalEvent),
}

/// What the platform answered.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// The head was read, or a watch saw it change.
    HeadRead {
        /// The head.
        head: Head,
        /// The revision of its last change.
        revision: u64,
    },
    /// The head's value is not a `Head`.
    HeadMalformed {
        /// What the reader found.
        reason: String,
        /// The revision of its last change.
        revision: u64,
    },
    /// There is no head.
    HeadAbsent,
    /// All parts of a head were read, in order.
    PartsRead {
        /// The head.
        head: Head,
        /// The parts.
        parts: Vec<Vec<u8>>,
    },
    /// The node's record was written to the slot, under a lease that the daemon keeps.
    SlotClaimed {
        /// The slot.
        slot: u32,
    },
    /// Another record is in the slot.
    SlotTaken {
        /// The slot.
        slot: u32,
        /// The record, if it could be read.
        holder: Option<RelayRecord>,
    },
    /// The lease of the slot was renewed.
    SlotRenewed {
        /// The slot.
        slot: u32,
    },
    /// The lease of the slot has ended.
    SlotLost {
        /// The slot.
        slot: u32,
    },
    /// All relay records were read.
    RelaysRead {
        /// The records.
        records: Vec<RelayRecord>,
    },
    /// The head was republished.
    Republished {
        /// The version number.
        number: u64,
        /// The head's new revision.
        revision: u64,
    },
    /// The head had changed; nothing was written.
    RepublishConflict {
        /// The version number that was to be written.
        number: u64,
    },
    /// A call failed, or an open watch ended.
    Failed {
        /// The call.
        call: PlatformCallKind,
        /// The error, for the log.
        reason: String,
    },
}

/// A call to the platform for the daemon to execute. Each is answered by a `PlatformEvent`; `Failed`
/// answers any of them. `StopWatch` and `ReleaseSlot` need no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the head.
    ReadHead,
    /// Report each change of the head after the revision, until `StopWatch` or failure. Replaces an
    /// earlier watch.
    WatchHead {
        /// The revision; 0 for a head that did not exist.
        revision: u64,
    },
    /// End the watch.
    StopWatch,
    /// Read the parts of the head.
    ReadParts(Head),
    /// Create the slot's record under a lease of `LEASE_TTL`, if the slot is free.
    ClaimSlot {
        /// The slot.
        slot: u32,
        /// The record.
        record: RelayRecord,
    },
    /// Renew the lease of the slot.
    RenewSlot {
        /// The slot.
        slot: u32,
    },
    /// End the lease of the slot.
    ReleaseSlot {
        /// The slot.
        slot: u32,
    },
    /// Read all relay records.
    ReadRelays,
    /// Write the parts, then head and history by compare-and-swap.
    Republish {
        /// The head to write.
        head: Head,
        /// Its version.
        version: Arc<Version>,
        /// The revision that the head must have; 0 if it must not exist.
        revision: u64,
    },
}

/// The kinds of `PlatformCall`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformCallKind {
    /// `ReadHead`.
    ReadHead,
    /// `WatchHead`.
    WatchHead,
    /// `StopWatch`.
    StopWatch,
    /// `ReadParts`.
    ReadParts,
    /// `ClaimSlot`.
    ClaimSlot,
    /// `RenewSlot`.
    RenewSlot,
    /// `ReleaseSlot`.
    ReleaseSlot,
    /// `ReadRelays`.
    ReadRelays,
    /// `Republish`.
    Republish,
}

impl PlatformCall {
    /// The kind of the call.
    #[must_use]
    pub const fn kind(&self) -> PlatformCallKind {
        match self {
            Self::ReadHead => PlatformCallKind::ReadHead,
            Self::WatchHead { .. } => PlatformCallKind::WatchHead,
            Self::StopWatch => PlatformCallKind::StopWatch,
            Self::ReadParts(_) => PlatformCallKind::ReadParts,
            Self::ClaimSlot { .. } => PlatformCallKind::ClaimSlot,
            Self::RenewSlot { .. } => PlatformCallKind::RenewSlot,
            Self::ReleaseSlot { .. } => PlatformCallKind::ReleaseSlot,
            Self::ReadRelays => PlatformCallKind::ReadRelays,
            Self::Republish { .. } => PlatformCallKind::Republish,
        }
    }
}

/// The value of `damaskwick/relay/<domain>/<slot>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRecord {
    /// The failure domain.
    pub domain: Name,
    /// The host that holds the slot.
    pub host: Name,
    /// Its address for datagrams and frames.
    pub peer: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Identifies a request that may crash targets.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// What happened in the daemon itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalEvent {
    /// The daemon starts its graceful shutdown.
    StartDrain,
    /// The graceful shutdown is complete.
    DrainComplete,
    /// A target takes no new work, or takes it again.
    TargetDraining {
        /// The target's index.
        index: u32,
        /// Whether it takes no new work.
        draining: bool,
    },
    /// The targets beside the daemon, in place of those known before.
    Targets(Vec<Target>),
    /// A fingerprint to tell the fleet.
    Poison(Fingerprint),
    /// The status will be read. A node that is no relay then fetches it from one; it is at hand
    /// within one round trip, and refreshed every second for 30 s.
    StatusRequested,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    SendPacket {
        /// The receiver.
        to: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// Send a frame on the connection to the peer, opened if needed.
    SendFrame {
        /// The receiver.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send what follows to a peer over a new connection, because the open one may have fallen silent.
    Reconnect {
        /// The peer.
        to: SocketAddr,
    },
    /// Call the platform.
    Platform(PlatformCall),
    /// Serve this version from now on.
    Publish(Arc<Version>),
    /// The members changed.
    Members(Arc<MemberTable>),
    /// Refuse requests with this fingerprint.
    Poison(Fingerprint),
    /// A version was refused.
    Refused(RefusedVersion),
    /// Count an event.
    Count(Counter),
    /// Tell the log.
    Log(LogEvent),
}
