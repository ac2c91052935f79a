use dw_tables::{Name, Prefer};
use rand::Rng;

use crate::Endpoint;

/// Distances that are told apart.
pub(crate) const TIERS: usize = 3;

/// Utilization of the local slots above which requests spill over. Bytes between failure domains are
/// paid for, and the gate beside a full target sends a request on, so local slots are filled first.
const SPILL_FROM: f64 = 0.9;

/// Utilization at which every request spills over; above 1, because requests that wait a moment for
/// a local slot still end within their objective.
const SPILL_ALL: f64 = 1.2;

/// Difference of utilization for which a request leaves: at a full target it stands for a wait of about
/// a fifth of a service time.
const SPILL_GAIN: f64 = 0.2;

/// Where the caller's daemon is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Locality {
    pub(crate) domain: Name,
    pub(crate) region: Name,
}

impl Locality {
    /// The tier of a target: 0 is the nearest.
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
    /// Their positions.
    pub(crate) list: Vec<usize>,
    /// Requests at them.
    pub(crate) busy: f64,
    /// Their slots, fewer for cold targets.
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

    /// Share of requests that leave this tier, 0 to 1; it grows linearly between the two bounds, so
    /// that load moves gradually.
    pub(crate) fn spill(&self) -> f64 {
        ((self.utilization() - SPILL_FROM) / (SPILL_ALL - SPILL_FROM)).clamp(0.0, 1.0)
    }
}

/// Chooses the distance: the nearest tier unless the request spills over. It does so only to a tier that
/// is used less: where all are full, going further serves nobody more.
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
