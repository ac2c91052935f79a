use std::collections::BTreeMap;

use dw_request::{EvidenceReport, VersionShare};
use dw_tables::Name;
use serde::{Deserialize, Serialize};

/// What the leader of rollouts sends to a daemon. The reply carries what the daemon observed, so that one
/// exchange per period serves both directions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RolloutPoll {
    /// The host of the leader.
    pub(crate) from: Name,
    /// The shares that it announces.
    pub(crate) shares: Vec<VersionShare>,
}

/// A daemon's reply to a [`RolloutPoll`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RolloutReply {
    /// Whether the daemon watches the orders and its latest call to the store succeeded.
    #[serde(default)]
    pub(crate) reaches_store: bool,
    /// The epoch that the daemon follows for each service.
    pub(crate) epochs: BTreeMap<Name, u64>,
    /// The shares that it follows in place of announced ones with a lower epoch.
    #[serde(default)]
    pub(crate) newer: Vec<VersionShare>,
    /// What it observed of the rollouts that run.
    pub(crate) reports: Vec<EvidenceReport>,
}
