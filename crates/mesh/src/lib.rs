//! Membership and distribution decisions of one daemon: messages, platform answers and time come
//! in, actions go out. The crate opens no socket, starts no task and reads no clock.

mod config;
mod counter;
mod io;
mod member;
mod node;
mod preset;
mod status;
mod table;

pub use config::NodeConfig;
pub use counter::Counter;
pub use io::{
    Action, Fingerprint, Input, Level, LocalEvent, PlatformCall, PlatformCallKind, PlatformEvent,
    RelayRecord,
};
pub use member::{Member, MemberState, Target};
pub use node::Node;
pub use preset::{Preset, PresetName};
pub use status::{DomainStatus, Force, Refused, Status};
pub use table::{DomainMembers, MemberTable};

use std::time::Duration;

/// Relays of each failure domain: one distributes while the other is replaced.
pub const RELAY_SLOTS: u32 = 2;

/// Lease of a relay slot.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between two renewals of a lease; two may be lost before it ends.
pub const LEASE_RENEWAL: Duration = Duration::from_secs(2);

/// The size of a part in bytes, below the platform's 1 MB with room for the JSON encoding.
pub const PART_BYTES: usize = 900_000;
