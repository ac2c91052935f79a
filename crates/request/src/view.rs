use std::{sync::Arc, time::Duration};

use dw_tables::Name;

use crate::{Endpoint, Rate};

/// What the choice of a target was based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Targets among which it was chosen.
    pub candidates: u32,
    /// Requests at the target as far as was known, this one included.
    pub in_flight: u32,
    /// The age of the target's last report; `None` without one.
    pub load_age: Option<Duration>,
    /// The limit that the target names, as far as is known.
    pub limit: Option<Rate>,
}

/// A target with what led to its choice.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) uid: u64,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) basis: Basis,
}

/// Why requests avoid a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Avoidance {
    /// It failed several times in a row and was ejected.
    Failing,
    /// It refused because it is leaving.
    Leaving,
    /// No connection reached it.
    Unreachable,
}

impl Avoidance {
    /// The text for the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }
}

/// A change of what this daemon thinks of a target, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// The target's host.
    pub host: Name,
    /// Its index there.
    pub target: u16,
    /// Its service.
    pub service: Name,
    /// Why requests avoid it from now on; `None` if they do so no longer.
    pub avoided: Option<Avoidance>,
}

impl TargetChange {
    pub(crate) fn new(endpoint: &Endpoint, avoided: Option<Avoidance>) -> Self {
        Self {
            host: endpoint.host.clone(),
            target: endpoint.target,
            service: endpoint.service.clone(),
            avoided,
        }
    }
}
