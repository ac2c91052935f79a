use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use dw_tables::Name;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{Fingerprint, answered::AnsweredRequests};

/// Maximum number of distinct requests in flight at the death of a target for which all of them become
/// suspects. With more, coincidences would cause popular requests to be refused.
pub const MAX_POISON_SUSPECTS: usize = 32;

/// How long a poison request is refused, and how long the death of a target is remembered.
pub const POISON_DURATION: Duration = Duration::from_secs(600);

/// Maximum number of remembered deaths. At the target scale about 280 hosts die or are replaced per day.
const MAX_DEATHS: usize = 1024;

/// Maximum number of refused requests.
const MAX_REFUSED: usize = 4096;

/// Identifies one death of one target. Reports of the same death by several daemons carry the same value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The host of the target.
    pub host: Name,
    /// Index of the target on its host.
    pub target: u16,
    /// Distinguishes the deaths of one target: the host's incarnation, or a restart counter.
    pub start: u64,
}

/// The requests that one daemon knows were in flight at a target's death; broadcast to all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The death that this report is about.
    pub death: Death,
    /// At most [`MAX_POISON_SUSPECTS`] distinct requests.
    #[serde(rename = "prints")]
    pub fingerprints: Vec<Fingerprint>,
    /// Whether there were more, in which case none of them becomes a suspect.
    #[serde(rename = "more")]
    pub too_many: bool,
}

/// Detects poison requests, which crash the targets that run them, and refuses them for some time.
///
/// A request is refused if it was in flight at the deaths of two targets and no target has answered it, which a poison
/// request never lets one do. An answer that comes later withdraws the refusal.
#[derive(Debug, Default)]
pub struct PoisonList {
    answered: AnsweredRequests,
    deaths: VecDeque<(Instant, Suspects)>,
    refused: HashMap<Fingerprint, Instant>,
}

impl PoisonList {
    /// Records a death observed by this daemon and returns the report to broadcast, if any.
    pub fn report(
        &mut self,
        death: Death,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) -> Option<Suspects> {
        let mut fingerprints: Vec<Fingerprint> = fingerprints.into_iter().collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let too_many = fingerprints.len() > MAX_POISON_SUSPECTS;
        if fingerprints.is_empty() {
            return None;
        }
        if too_many {
            fingerprints.clear();
        }
        let suspects = Suspects { death, fingerprints, too_many };
        self.merge(&suspects, now);
        Some(suspects)
    }

    /// Merges a broadcast report and returns the requests that are refused because of it.
    ///
    /// Reports of one death by several daemons are combined. If together they contain too many requests,
    /// the death is not counted against any, and requests refused because of it are allowed again.
    pub fn merge(&mut self, suspects: &Suspects, now: Instant) -> Vec<Fingerprint> {
        self.expire(now);
        let known = self.deaths.iter().position(|(_, s)| s.death == suspects.death);
        let at = known.unwrap_or_else(|| {
            if self.deaths.len() >= MAX_DEATHS {
                self.deaths.pop_front();
            }
            let death = suspects.death.clone();
            self.deaths
                .push_back((now, Suspects { death, fingerprints: Vec::new(), too_many: false }));
            self.deaths.len() - 1
        });
        let old = self.deaths[at].1.fingerprints.clone();
        let reported = suspects.fingerprints.iter().take(MAX_POISON_SUSPECTS + 1);
        let unanswered = reported.filter(|fingerprint| !self.answered.contains(**fingerprint, now));
        let entry = &mut self.deaths[at].1;
        entry.fingerprints.extend(unanswered);
        entry.fingerprints.sort_unstable();
        entry.fingerprints.dedup();
        entry.too_many |= suspects.too_many || entry.fingerprints.len() > MAX_POISON_SUSPECTS;
        if entry.too_many {
            entry.fingerprints.clear();
            for fingerprint in &old {
                if !self.is_poison(*fingerprint) {
                    self.refused.remove(fingerprint);
                }
            }
            return Vec::new();
        }
        let new: Vec<Fingerprint> = self.deaths[at].1.fingerprints.clone();
        let new: Vec<Fingerprint> =
            new.into_iter().filter(|p| !old.contains(p) && self.is_poison(*p)).collect();
        for fingerprint in &new {
            self.refuse(*fingerprint, now + POISON_DURATION);
        }
        new
    }

    /// Records that a target answered the request: earlier deaths, and those of the next seconds, don't count against
    /// it. Otherwise targets that crash at once, or two unrelated crashes within ten minutes, would cause a popular
    /// request to be refused.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.withdraw(fingerprint.short(), now);
    }

    /// Allows a request of which another daemon told, by the short form of its fingerprint, that a target answered it.
    pub fn withdraw(&mut self, fingerprint: u64, now: Instant) {
        self.answered.record(fingerprint, now);
        for (_, suspects) in &mut self.deaths {
            suspects.fingerprints.retain(|suspect| suspect.short() != fingerprint);
        }
        if !self.refused.is_empty() {
            self.refused.retain(|refused, _| refused.short() != fingerprint);
        }
    }

    /// Whether a target has answered the request in the last seconds, by the short form of its fingerprint.
    #[must_use]
    pub fn was_answered(&self, fingerprint: u64, now: Instant) -> bool {
        self.answered.contains_short(fingerprint, now)
    }

    /// Whether the request was in flight at the deaths of two different targets.
    fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        let mut deaths = self.deaths.iter().filter(|(_, s)| s.fingerprints.contains(&fingerprint));
        let Some((_, first)) = deaths.next() else { return false };
        let first = (&first.death.host, first.death.target);
        deaths.any(|(_, s)| (&s.death.host, s.death.target) != first)
    }

    fn refuse(&mut self, fingerprint: Fingerprint, until: Instant) {
        if self.refused.len() >= MAX_REFUSED && !self.refused.contains_key(&fingerprint) {
            let first = self.refused.iter().min_by_key(|(_, until)| **until).map(|(p, _)| *p);
            first.map(|fingerprint| self.refused.remove(&fingerprint));
        }
        let entry = self.refused.entry(fingerprint).or_insert(until);
        *entry = (*entry).max(until);
    }

    /// Whether the request is refused.
    #[must_use]
    pub fn refuses(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        !self.refused.is_empty() && self.refused.get(&fingerprint).is_some_and(|until| now < *until)
    }

    /// The refused requests and their remaining time, for a daemon that has just joined.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<(Fingerprint, Duration)> {
        let left = |until: &Instant| until.saturating_duration_since(now);
        self.refused
            .iter()
            .map(|(fingerprint, until)| (*fingerprint, left(until)))
            .filter(|(_, left)| !left.is_zero())
            .collect()
    }

    /// Merges the list of refused requests of another daemon.
    pub fn merge_list(&mut self, list: &[(Fingerprint, Duration)], now: Instant) {
        for (fingerprint, left) in list {
            self.refuse(*fingerprint, now + (*left).min(POISON_DURATION));
        }
    }

    /// Removes expired deaths and refusals.
    pub fn expire(&mut self, now: Instant) {
        self.refused.retain(|_, until| now < *until);
        self.deaths.retain(|(at, _)| now.saturating_duration_since(*at) < POISON_DURATION);
    }
}
