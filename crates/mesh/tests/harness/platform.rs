//! A simulation of the platform's store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dw_mesh::{LEASE_TTL, PlatformCall, PlatformCallKind, PlatformEvent, RelayRecord};
use dw_tables::{Hash, Head, MAX_PART_BYTES, Version, split_parts};
use tokio::time::Instant;

/// A backup of the store's head, revision and slots.
#[derive(Clone)]
pub(crate) struct Backup {
    head: Option<Head>,
    revision: u64,
    slots: BTreeMap<(String, u32), Slot>,
}

#[derive(Clone)]
struct Slot {
    record: RelayRecord,
    owner: (usize, u64),
    ends: Instant,
}

/// The keys of the platform, its faults and its call counts.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) head: Option<Head>,
    revision: u64,
    parts: BTreeMap<Hash, Vec<u8>>,
    slots: BTreeMap<(String, u32), Slot>,
    /// The hosts with an open watch, each with the process that opened it.
    pub(crate) watches: BTreeSet<(usize, u64)>,
    pub(crate) down: bool,
    pub(crate) cut: BTreeSet<usize>,
    /// Bytes of table parts that the platform sends along with each head. Other answers are small.
    pub(crate) head_size: u64,
    pub(crate) calls: BTreeMap<PlatformCallKind, u64>,
    host_calls: BTreeMap<(usize, PlatformCallKind), u64>,
}

impl Store {
    /// Writes the parts of a version and its head. Returns the event for all watches.
    pub(crate) fn write(&mut self, version: &Version, parent: Hash) -> PlatformEvent {
        let parts = split_parts(&version.tables.canonical(), MAX_PART_BYTES);
        let head = Head {
            number: version.number,
            hash: version.hash,
            parent,
            change: "edit".into(),
            parts: parts.iter().map(|(hash, _)| *hash).collect(),
            author: "operator".into(),
            time: 0,
        };
        self.parts.extend(parts);
        self.set_head(head)
    }

    pub(crate) fn set_head(&mut self, head: Head) -> PlatformEvent {
        self.revision += 1;
        self.head = Some(head.clone());
        PlatformEvent::HeadRead { head, revision: self.revision }
    }

    /// The head and its revision.
    pub(crate) fn latest(&self) -> Option<(Head, u64)> {
        self.head.clone().map(|head| (head, self.revision))
    }

    /// Creates a backup of the store.
    pub(crate) fn backup(&self) -> Backup {
        Backup { head: self.head.clone(), revision: self.revision, slots: self.slots.clone() }
    }

    /// Restores a backup. Later writes are lost and their revisions are assigned again. The leases
    /// in the backup have continued to run, or all of them are lost.
    pub(crate) fn restore(&mut self, backup: Backup, leases: bool) {
        let Backup { head, revision, slots } = backup;
        (self.head, self.revision) = (head, revision);
        self.slots = if leases { slots } else { BTreeMap::new() };
        self.watches.clear();
    }

    /// Returns the number of calls of a kind that a host has made so far.
    pub(crate) fn count(&self, host: usize, kind: PlatformCallKind) -> u64 {
        self.host_calls.get(&(host, kind)).copied().unwrap_or(0)
    }

    pub(crate) fn reachable(&self, host: usize) -> bool {
        !self.down && !self.cut.contains(&host)
    }

    /// Executes a call. Returns the answer to the caller and the event for all watches.
    pub(crate) fn execute(
        &mut self,
        owner: (usize, u64),
        call: &PlatformCall,
        now: Instant,
    ) -> (Option<PlatformEvent>, Option<PlatformEvent>) {
        let kind = call.kind();
        *self.calls.entry(kind).or_default() += 1;
        *self.host_calls.entry((owner.0, kind)).or_default() += 1;
        if !self.reachable(owner.0) {
            let reason = "unreachable".to_owned();
            return (Some(PlatformEvent::Failed { call: kind, reason }), None);
        }
        let answer = match call {
            PlatformCall::ReadHead => match &self.head {
                Some(head) => {
                    PlatformEvent::HeadRead { head: head.clone(), revision: self.revision }
                }
                None => PlatformEvent::HeadAbsent,
            },
            PlatformCall::WatchHead { revision } => {
                self.watches.insert(owner);
                let Some(head) = self.head.clone().filter(|_| self.revision > *revision) else {
                    return (None, None);
                };
                PlatformEvent::HeadRead { head, revision: self.revision }
            }
            PlatformCall::StopWatch => {
                self.watches.remove(&owner);
                return (None, None);
            }
            PlatformCall::ReadParts(head) => {
                let parts = head.parts.iter().filter_map(|hash| self.parts.get(hash)).cloned();
                PlatformEvent::PartsRead { head: head.clone(), parts: parts.collect() }
            }
            PlatformCall::ClaimSlot { slot, record } => self.claim(owner, *slot, record, now),
            PlatformCall::RenewSlot { slot } => {
                let held = self.slots.values_mut().find(|s| s.owner == owner && s.ends > now);
                match held {
                    Some(held) => {
                        held.ends = now + LEASE_TTL;
                        PlatformEvent::SlotRenewed { slot: *slot }
                    }
                    None => PlatformEvent::SlotLost { slot: *slot },
                }
            }
            PlatformCall::ReleaseSlot { .. } => {
                self.slots.retain(|_, held| held.owner != owner);
                return (None, None);
            }
            PlatformCall::ReadRelays => PlatformEvent::RelaysRead {
                records: self
                    .slots
                    .values()
                    .filter(|held| held.ends > now)
                    .map(|held| held.record.clone())
                    .collect(),
            },
            PlatformCall::Republish { head, version, revision } => {
                let current = if self.head.is_some() { self.revision } else { 0 };
                if current != *revision {
                    return (
                        Some(PlatformEvent::RepublishConflict { number: version.number }),
                        None,
                    );
                }
                let event = self.write(version, head.parent);
                let written = self.head.as_ref().map(|head| &head.parts);
                assert_eq!(Some(&head.parts), written, "a head names the parts that are written");
                let number = version.number;
                return (
                    Some(PlatformEvent::Republished { number, revision: self.revision }),
                    Some(event),
                );
            }
        };
        (Some(answer), None)
    }

    fn claim(
        &mut self,
        owner: (usize, u64),
        slot: u32,
        record: &RelayRecord,
        now: Instant,
    ) -> PlatformEvent {
        let key = (record.domain.to_string(), slot);
        if let Some(held) = self.slots.get(&key).filter(|held| held.ends > now) {
            return PlatformEvent::SlotTaken { slot, holder: Some(held.record.clone()) };
        }
        let ends = now + LEASE_TTL;
        self.slots.insert(key, Slot { record: record.clone(), owner, ends });
        PlatformEvent::SlotClaimed { slot }
    }

    /// Returns the holder of each slot whose lease has not expired.
    pub(crate) fn holders(&self, now: Instant) -> Vec<usize> {
        self.slots.values().filter(|held| held.ends > now).map(|held| held.owner.0).collect()
    }

    /// Returns the time until an answer arrives.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_millis(if self.down { 50 } else { 2 })
    }
}
