use std::{sync::Arc, time::Duration};

use dw_tables::Name;

use crate::{Endpoint, Rate};

/// What the choice of a target was based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Number of targets that the target was chosen from.
    pub candidates: u32,
    /// Estimated number of requests at the target, including this one.
    pub in_flight: u32,
    /// The age of the target's last report; `None` without one.
    pub load_age: Option<Duration>,
    /// The rate limit that the target advertises, if known.
    pub limit: Option<Rate>,
}

/// A chosen target, and what the choice was based on.
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
    /// It announced that it is leaving.
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

/// Requests of this daemon begin or cease to avoid a target, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// The target's host.
    pub host: Name,
    /// Its index among the targets of the host.
    pub target: u16,
    /// Its service.
    pub service: Name,
    /// Why requests avoid it from now on; `None` if they no longer avoid it.
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
