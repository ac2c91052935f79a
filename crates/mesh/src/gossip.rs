use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use dw_tables::Name;

use tokio::time::Instant;

use crate::roster::Roster;

/// The most bytes of member records in one datagram. A daemon exchanges about four datagrams per
/// probe period, so a burst of updates stays below 5 KB/s at a period of 1 s.
pub(crate) const PIGGYBACK_BYTES: usize = 800;

/// The hosts whose records are piggybacked on probes, each a limited number of times.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    queue: BTreeSet<(u32, Reverse<u64>, Name)>,
    keys: BTreeMap<Name, (u32, Reverse<u64>)>,
    sequence: u64,
}

impl Gossip {
    /// Queues the current record of a host.
    pub(crate) fn push(&mut self, host: &Name) {
        self.remove(host);
        self.sequence += 1;
        let key = (0, Reverse(self.sequence));
        self.keys.insert(host.clone(), key);
        self.queue.insert((key.0, key.1, host.clone()));
    }

    /// Returns the records for one datagram: the least often sent first, among equals the most
    /// recently queued.
    pub(crate) fn take(
        &mut self,
        roster: &Roster,
        room: usize,
        members: usize,
        now: Instant,
    ) -> Vec<dw_wire::Member> {
        let limit = send_limit(members);
        let (mut left, mut out, mut sent) = (room, Vec::new(), Vec::new());
        for (_, _, host) in &self.queue {
            let Some(member) = roster.get(host) else {
                sent.push((host.clone(), true));
                continue;
            };
            let wire = roster.record(member, now);
            let size = wire.size();
            if size > PIGGYBACK_BYTES {
                // Too large for a datagram: broadcasts and table syncs carry this record.
                sent.push((host.clone(), true));
            } else if size <= left {
                left -= size;
                out.push(wire);
                sent.push((host.clone(), false));
            } else if left < 64 {
                break;
            }
        }
        for (host, drop) in sent {
            self.mark_sent(&host, drop, limit);
        }
        out
    }

    fn mark_sent(&mut self, host: &Name, drop: bool, limit: u32) {
        let Some((count, age)) = self.remove(host) else { return };
        if !drop && count + 1 < limit {
            self.keys.insert(host.clone(), (count + 1, age));
            self.queue.insert((count + 1, age, host.clone()));
        }
    }

    /// Removes a host from the queue.
    pub(crate) fn withdraw(&mut self, host: &Name) {
        self.remove(host);
    }

    fn remove(&mut self, host: &Name) -> Option<(u32, Reverse<u64>)> {
        let key = self.keys.remove(host)?;
        self.queue.remove(&(key.0, key.1, host.clone()));
        Some(key)
    }
}

/// How many times an update is sent: about 3·log2(n), after which nearly every member has it.
fn send_limit(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros()).max(1)
}
