use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, From};
use dw_tables::{Head, Name, Tombstone, Version};
use dw_wire::{Frame, Packet};
use serde::{Deserialize, Serialize};

use crate::{Counter, LogEvent, MemberTable, RefusedVersion, Target};

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// The node's deadline has passed.
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
        /// The address on which the sender listens, taken from its `Hello`.
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
    /// An event in the daemon itself.
    Local(LocalEvent),
}

/// An answer of the platform, or a change that it reported.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// The head was read, or a watch saw it change.
    HeadRead {
        /// The head.
        head: Head,
        /// The revision of its last change.
        revision: u64,
    },
    /// The head's value could not be parsed as a `Head`.
    HeadMalformed {
        /// The parse error.
        reason: String,
        /// The revision of its last change.
        revision: u64,
    },
    /// The platform has no head.
    HeadAbsent,
    /// All parts of a head were read, in order.
    PartsRead {
        /// The head.
        head: Head,
        /// The parts.
        parts: Vec<Vec<u8>>,
    },
    /// The node's record was written to the slot under a lease held by the daemon.
    SlotClaimed {
        /// The slot.
        slot: u32,
    },
    /// The slot holds the record of another node.
    SlotTaken {
        /// The slot.
        slot: u32,
        /// The record, if it could be parsed.
        holder: Option<RelayRecord>,
    },
    /// The lease of the slot was renewed.
    SlotRenewed {
        /// The slot.
        slot: u32,
    },
    /// The lease of the slot has expired.
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
    /// The head had changed in the meantime, so nothing was written.
    RepublishConflict {
        /// The version number that should have been written.
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

/// A call to the platform for the daemon to execute. Each is answered by a `PlatformEvent`, which
/// is `Failed` if the call failed. `StopWatch` and `ReleaseSlot` need no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the head.
    ReadHead,
    /// Report each change of the head after the revision, until `StopWatch` or failure. Replaces an
    /// earlier watch.
    WatchHead {
        /// The revision; 0 if the head did not exist.
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
    /// Write the parts, then the head and the history by compare-and-swap.
    Republish {
        /// The head to write.
        head: Head,
        /// The version that the head names.
        version: Arc<Version>,
        /// The expected revision of the head; 0 if the head must not exist.
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
    /// Returns the kind of the call.
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

/// The value of the key `damaskwick/relay/<domain>/<slot>`.
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

/// An event in the daemon itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalEvent {
    /// The daemon has started its graceful shutdown.
    StartDrain,
    /// The graceful shutdown is complete.
    DrainComplete,
    /// A target started or stopped draining.
    TargetDraining {
        /// The target's index.
        index: u32,
        /// Whether the target is draining, that is, takes no new work.
        draining: bool,
    },
    /// The targets on the host, which replace the earlier lists.
    Targets {
        /// Those that the daemon serves.
        targets: Vec<Target>,
        /// Those that take no more requests.
        tombstones: Vec<Tombstone>,
    },
    /// A fingerprint to broadcast to the fleet.
    Poison(Fingerprint),
    /// A target answered a request that the fleet refuses as poison.
    PoisonAnswered(Fingerprint),
    /// The status is about to be read. A node that is not a relay fetches it from one within a
    /// round trip and refreshes it every second for 30 s.
    StatusRequested,
}

/// An action that a node requests from the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    SendPacket {
        /// The receiver.
        to: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// Send a frame on the connection to the peer, which is opened if needed.
    SendFrame {
        /// The receiver.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send all later frames to a peer over a new connection, because the open one may no longer
    /// deliver anything.
    Reconnect {
        /// The peer.
        to: SocketAddr,
    },
    /// Call the platform.
    Platform(PlatformCall),
    /// Serve this version from now on.
    Publish(Arc<Version>),
    /// Replace the member table.
    Members(Arc<MemberTable>),
    /// Refuse requests with a fingerprint.
    Poison {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// How long to refuse them.
        left: Duration,
    },
    /// Accept requests with a fingerprint again.
    WithdrawPoison(Fingerprint),
    /// Report a refused version.
    Refused(RefusedVersion),
    /// Ignore reports of these targets on this host. A peer knows them from the earlier process here, and from no
    /// other one.
    FormerTargets(Vec<Tombstone>),
    /// Count an event.
    Count(Counter),
    /// Write a log line.
    Log(LogEvent),
}
