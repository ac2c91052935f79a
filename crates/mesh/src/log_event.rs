use std::{net::SocketAddr, time::Duration};

use dw_tables::{Name, VersionMark};

use crate::{MemberState, PlatformCallKind};

/// What a node did or came to believe, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A peer admitted the node.
    Joined {
        /// The peer.
        through: SocketAddr,
    },
    /// No peer was reached; the node acts on its own.
    NoPeers,
    /// The state of a member changed.
    Member {
        /// The member.
        host: Name,
        /// Its domain.
        domain: Name,
        /// The new state.
        state: MemberState,
        /// The incarnation of the record that says so.
        incarnation: u64,
    },
    /// The node begins or ends to distribute versions to its domain.
    Relay(bool),
    /// The lease of the slot has ended.
    LeaseLost(u32),
    /// A call to the platform failed.
    CallFailed {
        /// The call.
        call: PlatformCallKind,
        /// What was reported.
        reason: String,
        /// Calls that failed in a row, this one included.
        count: u32,
    },
    /// The platform answers again.
    PlatformRecovered {
        /// Calls that failed before.
        count: u32,
    },
    /// The platform's head names a version that is newer than any held.
    NewerHead {
        /// The version.
        number: u64,
    },
    /// The rows of a version came from a peer.
    Fetched {
        /// The version.
        number: u64,
        /// The peer.
        from: SocketAddr,
        /// The rows as they were sent, in bytes.
        bytes: usize,
        /// Time since the peer was asked.
        took: Duration,
    },
    /// A peer did not send the rows of a version in time.
    FetchLate {
        /// The peer.
        from: SocketAddr,
        /// Time since it was asked.
        wait: Duration,
    },
    /// The version is served from now on.
    Served(VersionMark),
    /// The version was refused.
    Refused {
        /// The version.
        mark: VersionMark,
        /// Why.
        reason: String,
    },
    /// The version is lower than one that the host served before.
    BelowFloor {
        /// The version.
        number: u64,
        /// The one served before.
        floor: u64,
    },
    /// The version served replaced a lower one at the platform.
    Restored {
        /// The version.
        number: u64,
    },
    /// A detail of the exchange with peers.
    Detail(String),
}
