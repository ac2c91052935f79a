use std::{collections::HashMap, time::Duration};

use dw_tables::Name;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Fingerprint;

/// Distinct requests in flight at a death up to which they are suspects. With more, chance
/// coincidences would make popular requests refused.
pub const POISON_SUSPECTS: usize = 32;

/// How long a request is refused, and how long a death is remembered.
pub const POISON_TIME: Duration = Duration::from_secs(600);

/// One death of one target. Reports of the same death by several daemons carry the same value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The host.
    pub host: Name,
    /// Position among the targets of the host.
    pub target: u16,
    /// Distinguishes the deaths of one target: the host's incarnation, or a count of restarts.
    pub start: u64,
}

/// The requests that one daemon knows were in flight at a death; broadcast to all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The death.
    pub death: Death,
    /// At most [`POISON_SUSPECTS`] distinct requests.
    pub prints: Vec<Fingerprint>,
    /// Whether there were more, in which case the death counts for none.
    pub more: bool,
}

/// Finds requests that crash the targets that run them, and refuses them for a time.
#[derive(Debug, Default)]
pub struct Poison {
    refused: HashMap<Fingerprint, Instant>,
}

impl Poison {
    /// Records a death seen by this daemon and returns the message to broadcast, if any.
    pub fn report(
        &mut self,
        death: Death,
        prints: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) -> Option<Suspects> {
        let mut prints: Vec<Fingerprint> = prints.into_iter().collect();
        prints.sort_unstable();
        prints.dedup();
        let more = prints.len() > POISON_SUSPECTS;
        if prints.is_empty() {
            return None;
        }
        if more {
            prints.clear();
        }
        let suspects = Suspects { death, prints, more };
        self.merge(&suspects, now);
        Some(suspects)
    }

    /// Takes over a broadcast report and returns the requests that are refused because of it.
    pub fn merge(&mut self, _suspects: &Suspects, _now: Instant) -> Vec<Fingerprint> {
        Vec::new()
    }

    /// Whether the request is refused.
    #[must_use]
    pub fn refuses(&self, print: Fingerprint, now: Instant) -> bool {
        !self.refused.is_empty() && self.refused.get(&print).is_some_and(|until| now < *until)
    }

    /// The refused requests with the time left, for a daemon that has just joined.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<(Fingerprint, Duration)> {
        let left = |until: &Instant| until.saturating_duration_since(now);
        self.refused
            .iter()
            .map(|(print, until)| (*print, left(until)))
            .filter(|(_, left)| !left.is_zero())
            .collect()
    }

    /// Takes over refused requests from another daemon's list.
    pub fn merge_list(&mut self, list: &[(Fingerprint, Duration)], now: Instant) {
        for (print, left) in list {
            let until = now + (*left).min(POISON_TIME);
            let entry = self.refused.entry(*print).or_insert(until);
            *entry = (*entry).max(until);
        }
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.refused.retain(|_, until| now < *until);
    }
}
