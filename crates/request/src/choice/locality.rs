use dw_tables::{Name, Prefer};
use rand::Rng;

use crate::Endpoint;

/// Number of tiers into which targets are divided by their distance.
pub(crate) const TIERS: usize = 3;

/// Utilization of the local slots above which requests spill over to the next tier. Traffic between
/// failure domains is billed by the byte, and a request that the gate beside a full target refuses is
/// rerouted, so local slots are filled first.
const SPILL_FROM: f64 = 0.9;

/// Utilization from which all requests may spill over. It is above 1 because requests that wait
/// briefly for a local slot still end within their objective.
const SPILL_ALL: f64 = 1.2;

/// Minimum difference of utilization for a request to spill over. At a full target it corresponds to
/// a wait of about a fifth of a service time.
const SPILL_GAIN: f64 = 0.2;

/// Location of the caller's daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Locality {
    pub(crate) domain: Name,
    pub(crate) region: Name,
}

impl Locality {
    /// The tier of a target; 0 is the nearest.
    pub(crate) fn tier(&self, prefer: Prefer, endpoint: &Endpoint) -> usize {
        match prefer {
            Prefer::Domain if endpoint.domain == self.domain => 0,
            Prefer::Domain | Prefer::Region if endpoint.region == self.region => 1,
            Prefer::Domain | Prefer::Region => 2,
            Prefer::Any => 0,
        }
    }
}

/// The usable targets at one distance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tier {
    /// Indices of the targets in the balancer.
    pub(crate) list: Vec<usize>,
    /// Requests at the targets.
    pub(crate) busy: f64,
    /// Slots of the targets; those of cold targets count in part.
    pub(crate) slots: f64,
}

impl Tier {
    pub(crate) fn clear(&mut self) {
        self.list.clear();
        self.busy = 0.0;
        self.slots = 0.0;
    }

    fn utilization(&self) -> f64 {
        self.busy / self.slots.max(f64::MIN_POSITIVE)
    }

    /// Share of requests that spill over from this tier, 0 to 1. It grows linearly between
    /// [`SPILL_FROM`] and [`SPILL_ALL`], so that load shifts gradually.
    pub(crate) fn spill(&self) -> f64 {
        ((self.utilization() - SPILL_FROM) / (SPILL_ALL - SPILL_FROM)).clamp(0.0, 1.0)
    }
}

/// Chooses the nearest tier that has targets, unless the request spills over to a farther one. It spills
/// over only to a tier with lower utilization: if all tiers are full, sending requests farther away does
/// not get more of them served.
pub(crate) fn choose_tier(tiers: &[Tier; TIERS], rng: &mut impl Rng) -> Option<usize> {
    let mut present = (0..TIERS).filter(|t| !tiers[*t].list.is_empty());
    let mut best = present.next()?;
    for further in present {
        let spill = tiers[best].spill();
        let gain = tiers[best].utilization() - tiers[further].utilization();
        if gain > SPILL_GAIN && spill > 0.0 && rng.random::<f64>() < spill {
            best = further;
        }
    }
    Some(best)
}
