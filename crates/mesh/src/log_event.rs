use std::{net::SocketAddr, time::Duration};

use dw_tables::{Name, VersionId};

use crate::{MemberState, PlatformCallKind};

/// An event of a node for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A peer admitted the node.
    Joined {
        /// The peer.
        through: SocketAddr,
    },
    /// No peer could be reached; the node proceeds alone.
    NoPeers,
    /// The state of a member changed.
    Member {
        /// The host of the member.
        host: Name,
        /// Its domain.
        domain: Name,
        /// The new state.
        state: MemberState,
        /// The incarnation of the record with this state.
        incarnation: u64,
    },
    /// The node became a relay of its domain, or stopped being one.
    Relay(bool),
    /// The lease of the slot has expired.
    LeaseLost(u32),
    /// A call to the platform failed.
    CallFailed {
        /// The call.
        call: PlatformCallKind,
        /// The error.
        reason: String,
        /// The number of consecutive failures, this one included.
        count: u32,
    },
    /// The platform answers again.
    PlatformRecovered {
        /// The number of consecutive failures before.
        count: u32,
    },
    /// The platform's head names a version that is newer than any that the node holds.
    NewerHead {
        /// The version.
        number: u64,
    },
    /// A peer sent the rows of a version.
    Fetched {
        /// The version.
        number: u64,
        /// The peer.
        from: SocketAddr,
        /// The size of the rows as sent, in bytes.
        bytes: usize,
        /// The time since the request.
        took: Duration,
    },
    /// A peer did not send the rows of a version in time.
    FetchLate {
        /// The peer.
        from: SocketAddr,
        /// The time since the request.
        wait: Duration,
    },
    /// The node now serves this version.
    Served(VersionId),
    /// A version was refused.
    Refused {
        /// The version.
        version_id: VersionId,
        /// The reason.
        reason: String,
    },
    /// A version is not served because the host has served a higher one before.
    BelowFloor {
        /// The version.
        number: u64,
        /// The lowest version number that the host may serve.
        floor: u64,
    },
    /// The version served has replaced a lower one on the platform.
    Restored {
        /// The version.
        number: u64,
    },
    /// A detail of the exchange with peers.
    Detail(String),
}
