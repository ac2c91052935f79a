//! Membership and distribution logic of one daemon, as a state machine without I/O: it takes
//! messages, platform answers and the time, and returns actions. The crate opens no socket, starts
//! no task and reads no clock.

mod acks;
mod broadcast;
mod bucket;
mod config;
mod convert;
mod counter;
mod fetch;
mod fleet;
mod gossip;
mod hash;
mod io;
mod join;
mod log_event;
mod member;
mod node;
mod poison;
mod preset;
mod probe;
mod pull;
mod records;
mod relay;
mod report;
mod roster;
mod slot;
mod standby;
mod status;
mod store;
mod table;
mod timer;
mod tree;

pub use config::NodeConfig;
pub use counter::Counter;
pub use io::{
    Action, Fingerprint, Input, LocalEvent, PlatformCall, PlatformCallKind, PlatformEvent,
    RelayRecord,
};
pub use log_event::LogEvent;
pub use member::{Member, MemberState, Target};
pub use node::Node;
pub use preset::{Preset, PresetName};
pub use status::{DomainStatus, RefusedVersion, RolloutState, Status};
pub use table::{DomainMembers, MemberTable};

use std::time::Duration;

/// Relays of each failure domain: one distributes while the other is replaced.
pub const RELAY_SLOTS: u32 = 2;

/// Time to live of the lease on a relay slot.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Interval between renewals of a lease, which outlives two lost renewals.
pub const LEASE_RENEWAL: Duration = Duration::from_secs(2);

/// Members of each domain that may claim a relay slot and call the platform: those that rank first,
/// see `roster::relay_rank`. Two more than there are slots, so that a slot can be taken over while
/// a candidate is being replaced.
pub(crate) const RELAY_CANDIDATES: usize = 4;
