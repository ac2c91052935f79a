use std::collections::BTreeSet;

use dw_tables::Name;

use crate::rollout::{EvidenceReport, RolloutOrder, RolloutState, VersionShare};

/// Something that the leader of a rollout learns.
#[derive(Clone, Debug)]
pub enum RolloutInput {
    /// The operator's current order was read.
    Order(RolloutOrder),
    /// The state was read from the store, at this revision; `None` and 0 if there is none.
    State {
        /// The state.
        state: Option<RolloutState>,
        /// The revision of its key.
        revision: u64,
    },
    /// The store may have lost what it acknowledged, as when a watch has to start over.
    StoreReset,
    /// The share that a daemon follows.
    Followed(VersionShare),
    /// The write took effect, at this revision.
    Stored {
        /// The revision of the key.
        revision: u64,
    },
    /// The store call failed. A write may have taken effect.
    StoreFailed,
    /// The write was refused, because the state changed in between.
    Conflict,
    /// The hosts that hold a relay slot were read from the store.
    Relays(BTreeSet<Name>),
    /// A daemon reported what it observed.
    Report(EvidenceReport),
    /// The live daemons, and the versions of the service's live targets.
    Members {
        /// The hosts of the live daemons.
        hosts: BTreeSet<Name>,
        /// The versions.
        versions: BTreeSet<Option<Name>>,
        /// The versions that are live or were in the last seconds; `None` if that is not known.
        recent: Option<BTreeSet<Option<Name>>>,
    },
    /// Time has passed.
    Tick,
}

/// Something that the leader has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send the share to all daemons.
    Announce(VersionShare),
    /// Read the state.
    Read,
    /// Read which hosts hold a relay slot.
    ReadRelays,
    /// Write the state if its key still has this revision.
    Write {
        /// The state.
        state: RolloutState,
        /// The revision; 0 if the key must not exist.
        revision: u64,
    },
}
