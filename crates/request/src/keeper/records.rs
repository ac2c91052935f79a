use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use dw_tables::Name;
use tokio::time::Instant;

use crate::RecordState;

/// What a keeper holds for a key.
#[derive(Clone, Debug)]
pub(crate) enum KeyEntry {
    /// A record.
    Kept(RecordState),
    /// An earlier keeper is being asked for the record.
    Asking {
        /// The daemons that were asked so far.
        asked: Vec<Name>,
        /// Whether the record may have been lost with another keeper.
        lost: bool,
    },
    /// A newer keeper was allowed to forward the request.
    Ceded {
        /// The newer keeper.
        to: Name,
        /// When its process started; a later process on the same host does not have its records.
        started: Instant,
    },
}

/// The entries of a keeper, bounded in number, bytes and age.
#[derive(Debug)]
pub(crate) struct Records {
    entries: HashMap<Name, (KeyEntry, Instant)>,
    by_age: BTreeSet<(Instant, Name)>,
    bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Records {
    pub(crate) fn new(max_records: usize, max_bytes: usize) -> Self {
        Self { entries: HashMap::new(), by_age: BTreeSet::new(), bytes: 0, max_records, max_bytes }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, key: &Name) -> Option<&KeyEntry> {
        self.entries.get(key).map(|(entry, _)| entry)
    }

    /// Time since a key was first claimed.
    pub(crate) fn age(&self, key: &Name, now: Instant) -> Duration {
        let claimed_at = self.entries.get(key).map(|(_, claimed_at)| *claimed_at);
        claimed_at.map_or(Duration::ZERO, |claimed_at| now.saturating_duration_since(claimed_at))
    }

    /// Adds a key that was first claimed at `claimed_at`; returns `false` if there is no room.
    pub(crate) fn insert(&mut self, key: &Name, entry: KeyEntry, claimed_at: Instant) -> bool {
        if self.entries.len() >= self.max_records && !self.entries.contains_key(key) {
            return false;
        }
        self.remove(key);
        let entry = self.count_bytes(entry);
        self.by_age.insert((claimed_at, key.clone()));
        self.entries.insert(key.clone(), (entry, claimed_at));
        true
    }

    /// Replaces the entry of a key and keeps its age.
    pub(crate) fn replace(&mut self, key: &Name, entry: KeyEntry) {
        if let Some((_, claimed_at)) = self.entries.get(key) {
            let claimed_at = *claimed_at;
            self.insert(key, entry, claimed_at);
        }
    }

    pub(crate) fn remove(&mut self, key: &Name) {
        if let Some((entry, claimed_at)) = self.entries.remove(key) {
            self.bytes -= size(&entry);
            self.by_age.remove(&(claimed_at, key.clone()));
        }
    }

    /// Removes the keys that were first claimed at least `window` ago.
    pub(crate) fn expire(&mut self, window: Duration, now: Instant) {
        while let Some((claimed_at, key)) = self.by_age.first()
            && now.saturating_duration_since(*claimed_at) >= window
        {
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// All entries with the time since the key was first claimed, oldest first.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (&Name, &KeyEntry, Duration)> {
        self.by_age.iter().filter_map(move |(claimed_at, key)| {
            let (entry, _) = self.entries.get(key)?;
            Some((key, entry, now.saturating_duration_since(*claimed_at)))
        })
    }

    /// Counts the bytes of an entry, without its response if that exceeds the byte limit.
    fn count_bytes(&mut self, entry: KeyEntry) -> KeyEntry {
        let entry = match self.bytes + size(&entry) > self.max_bytes {
            true => KeyEntry::Kept(RecordState::NotKept),
            false => entry,
        };
        self.bytes += size(&entry);
        entry
    }
}

/// Size of the response in an entry.
fn size(entry: &KeyEntry) -> usize {
    match entry {
        KeyEntry::Kept(RecordState::Answered(answer)) => answer.size(),
        KeyEntry::Kept(_) | KeyEntry::Asking { .. } | KeyEntry::Ceded { .. } => 0,
    }
}
