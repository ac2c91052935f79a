use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use dw_tables::Name;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Fingerprint;

/// Distinct requests in flight at a death up to which they are suspects. With more, chance
/// coincidences would make popular requests refused.
pub const MAX_POISON_SUSPECTS: usize = 32;

/// How long a request is refused, and how long a death is remembered.
pub const POISON_DURATION: Duration = Duration::from_secs(600);

/// Deaths that are remembered at most. At target scale about 280 hosts die or are replaced a day.
const DEATHS: usize = 1024;

/// Requests that are refused at most.
const REFUSED: usize = 4096;

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
    /// At most [`MAX_POISON_SUSPECTS`] distinct requests.
    pub prints: Vec<Fingerprint>,
    /// Whether there were more, in which case the death counts for none.
    pub more: bool,
}

/// Finds requests that crash the targets that run them, and refuses them for a time.
#[derive(Debug, Default)]
pub struct PoisonList {
    deaths: VecDeque<(Instant, Suspects)>,
    refused: HashMap<Fingerprint, Instant>,
}

impl PoisonList {
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
        let more = prints.len() > MAX_POISON_SUSPECTS;
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
    ///
    /// Reports of one death by several daemons are combined. If they name too many requests
    /// together, the death counts for none, also not for those refused because of it before.
    pub fn merge(&mut self, suspects: &Suspects, now: Instant) -> Vec<Fingerprint> {
        self.expire(now);
        let known = self.deaths.iter().position(|(_, s)| s.death == suspects.death);
        let at = known.unwrap_or_else(|| {
            if self.deaths.len() >= DEATHS {
                self.deaths.pop_front();
            }
            let death = suspects.death.clone();
            self.deaths.push_back((now, Suspects { death, prints: Vec::new(), more: false }));
            self.deaths.len() - 1
        });
        let old = self.deaths[at].1.prints.clone();
        let entry = &mut self.deaths[at].1;
        entry.prints.extend(suspects.prints.iter().take(MAX_POISON_SUSPECTS + 1));
        entry.prints.sort_unstable();
        entry.prints.dedup();
        entry.more |= suspects.more || entry.prints.len() > MAX_POISON_SUSPECTS;
        if entry.more {
            entry.prints.clear();
            for print in &old {
                if !self.is_convicted(*print) {
                    self.refused.remove(print);
                }
            }
            return Vec::new();
        }
        let new: Vec<Fingerprint> = self.deaths[at].1.prints.clone();
        let new: Vec<Fingerprint> =
            new.into_iter().filter(|p| !old.contains(p) && self.is_convicted(*p)).collect();
        for print in &new {
            self.refuse(*print, now + POISON_DURATION);
        }
        new
    }

    /// A target answered the request, so it is not what crashes those that run it: the deaths before count
    /// no more against it. Otherwise two crashes within ten minutes would have a popular request refused.
    pub fn clear_suspicion(&mut self, print: Fingerprint) {
        for (_, suspects) in &mut self.deaths {
            suspects.prints.retain(|suspect| *suspect != print);
        }
    }

    /// Whether the request was in flight at the deaths of two different targets.
    fn is_convicted(&self, print: Fingerprint) -> bool {
        let mut deaths = self.deaths.iter().filter(|(_, s)| s.prints.contains(&print));
        let Some((_, first)) = deaths.next() else { return false };
        let first = (&first.death.host, first.death.target);
        deaths.any(|(_, s)| (&s.death.host, s.death.target) != first)
    }

    fn refuse(&mut self, print: Fingerprint, until: Instant) {
        if self.refused.len() >= REFUSED && !self.refused.contains_key(&print) {
            let first = self.refused.iter().min_by_key(|(_, until)| **until).map(|(p, _)| *p);
            first.map(|print| self.refused.remove(&print));
        }
        let entry = self.refused.entry(print).or_insert(until);
        *entry = (*entry).max(until);
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
            self.refuse(*print, now + (*left).min(POISON_DURATION));
        }
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.refused.retain(|_, until| now < *until);
        self.deaths.retain(|(at, _)| now.saturating_duration_since(*at) < POISON_DURATION);
    }
}
