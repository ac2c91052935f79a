use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use dw_tables::Name;
use tokio::time::Instant;

use crate::RecordState;

/// What a keeper holds under a key.
#[derive(Clone, Debug)]
pub(crate) enum Slot {
    /// The record.
    Kept(RecordState),
    /// An earlier keeper is being asked.
    Asking {
        /// Daemons asked so far.
        asked: Vec<Name>,
        /// Whether the record may have been lost with another keeper.
        lost: bool,
    },
    /// A newer keeper was told that it may forward the request.
    Ceded {
        /// The newer keeper.
        to: Name,
        /// When its process started; a later process of the same host does not have its records.
        started: Instant,
    },
}

/// The records of a keeper, bounded in number, bytes and age.
#[derive(Debug)]
pub(crate) struct Records {
    slots: HashMap<Name, (Slot, Instant)>,
    ages: BTreeSet<(Instant, Name)>,
    bytes: usize,
    max: usize,
    max_bytes: usize,
}

impl Records {
    pub(crate) fn new(max: usize, max_bytes: usize) -> Self {
        Self { slots: HashMap::new(), ages: BTreeSet::new(), bytes: 0, max, max_bytes }
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn get(&self, key: &Name) -> Option<&Slot> {
        self.slots.get(key).map(|(slot, _)| slot)
    }

    /// Time since a key was first claimed.
    pub(crate) fn age(&self, key: &Name, now: Instant) -> Duration {
        let since = self.slots.get(key).map(|(_, since)| *since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Adds a key first claimed at `since`; `false` if there is no room.
    pub(crate) fn insert(&mut self, key: &Name, slot: Slot, since: Instant) -> bool {
        if self.slots.len() >= self.max && !self.slots.contains_key(key) {
            return false;
        }
        self.remove(key);
        let slot = self.fit(slot);
        self.ages.insert((since, key.clone()));
        self.slots.insert(key.clone(), (slot, since));
        true
    }

    /// Replaces what is held under a key; its age stays.
    pub(crate) fn replace(&mut self, key: &Name, slot: Slot) {
        if let Some((_, since)) = self.slots.get(key) {
            let since = *since;
            self.insert(key, slot, since);
        }
    }

    pub(crate) fn remove(&mut self, key: &Name) {
        if let Some((slot, since)) = self.slots.remove(key) {
            self.bytes -= size(&slot);
            self.ages.remove(&(since, key.clone()));
        }
    }

    /// Removes what was first claimed a window ago or earlier.
    pub(crate) fn expire(&mut self, window: Duration, now: Instant) {
        while let Some((since, key)) = self.ages.first()
            && now.saturating_duration_since(*since) >= window
        {
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// The records with the time since the first claim, the oldest first.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (&Name, &Slot, Duration)> {
        self.ages.iter().filter_map(move |(since, key)| {
            let (slot, _) = self.slots.get(key)?;
            Some((key, slot, now.saturating_duration_since(*since)))
        })
    }

    /// Counts the bytes of the slot; a response that does not fit is not kept.
    fn fit(&mut self, slot: Slot) -> Slot {
        let slot = match self.bytes + size(&slot) > self.max_bytes {
            true => Slot::Kept(RecordState::NotKept),
            false => slot,
        };
        self.bytes += size(&slot);
        slot
    }
}

/// Bytes of the response that a slot holds.
fn size(slot: &Slot) -> usize {
    match slot {
        Slot::Kept(RecordState::Answered(answer)) => answer.size(),
        Slot::Kept(_) | Slot::Asking { .. } | Slot::Ceded { .. } => 0,
    }
}
