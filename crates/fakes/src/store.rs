use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use thiserror::Error;
use tokio::time::Instant;

/// Largest value in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1 << 20;

/// Most operations in a transaction, which is etcd's default.
const MAX_OPS: usize = 128;

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) value: Bytes,
    pub(crate) created: i64,
    pub(crate) revision: i64,
    pub(crate) version: i64,
    pub(crate) lease: i64,
}

/// A change of a key: a put, or a removal if `record` is `None`.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) key: Bytes,
    pub(crate) revision: i64,
    pub(crate) record: Option<Record>,
}

/// One key, or all keys from `key` up to but not including `end`.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    pub(crate) key: Bytes,
    pub(crate) end: Bytes,
}

impl Span {
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_ref() {
            [] => key == self.key,
            [0] => key >= self.key.as_ref(),
            end => (self.key.as_ref()..end).contains(&key),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Range(Span),
    Put { key: Bytes, value: Bytes, lease: i64 },
    Delete(Span),
}

#[derive(Clone, Debug)]
pub(crate) enum OpResult {
    Range(Vec<(Bytes, Record)>),
    Put,
    Delete(usize),
}

#[derive(Clone, Debug, Error)]
pub(crate) enum StoreError {
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted(i64),
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    #[error("etcdserver: request is too large")]
    TooLarge,
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    #[error("etcdserver: too many operations in txn request")]
    TooManyOps,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// An in-memory key-value store with leases and a history of recent changes.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    pub(crate) revision: i64,
    keys: BTreeMap<Bytes, Record>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    changes: VecDeque<Change>,
    compacted: i64,
    history: usize,
}

impl Store {
    /// Creates an empty store that keeps at most `history` changes for watches.
    pub(crate) fn new(history: usize) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            changes: VecDeque::new(),
            compacted: 0,
            history,
        }
    }

    pub(crate) fn range(&self, span: &Span) -> Vec<(Bytes, Record)> {
        if span.end.is_empty() {
            return self.keys.get_key_value(&span.key).map(cloned).into_iter().collect();
        }
        self.keys
            .range(span.key.clone()..)
            .take_while(|(k, _)| span.contains(k))
            .map(cloned)
            .collect()
    }

    /// The revision of the key, or 0 if it does not exist.
    pub(crate) fn revision_of(&self, key: &Bytes) -> i64 {
        self.keys.get(key).map_or(0, |record| record.revision)
    }

    /// Applies all operations at one revision, or none of them.
    pub(crate) fn run(&mut self, ops: Vec<Op>) -> Result<Vec<OpResult>, StoreError> {
        self.check(&ops)?;
        let revision = self.revision + 1;
        let before = self.changes.len();
        let mut results = Vec::with_capacity(ops.len());
        for op in ops {
            results.push(self.apply(op, revision));
        }
        if self.changes.len() > before {
            self.revision = revision;
            self.trim();
        }
        Ok(results)
    }

    fn check(&self, ops: &[Op]) -> Result<(), StoreError> {
        if ops.len() > MAX_OPS {
            return Err(StoreError::TooManyOps);
        }
        let mut written = HashSet::new();
        for op in ops {
            if let Op::Put { key, value, lease } = op {
                if value.len() > MAX_VALUE_BYTES {
                    return Err(StoreError::TooLarge);
                }
                if !written.insert(key) {
                    return Err(StoreError::DuplicateKey);
                }
                if *lease != 0 && !self.leases.contains_key(lease) {
                    return Err(StoreError::LeaseNotFound);
                }
            }
        }
        let deletes = |op: &Op, key: &Bytes| matches!(op, Op::Delete(span) if span.contains(key));
        if written.iter().any(|key| ops.iter().any(|op| deletes(op, key))) {
            return Err(StoreError::DuplicateKey);
        }
        Ok(())
    }

    fn apply(&mut self, op: Op, revision: i64) -> OpResult {
        match op {
            Op::Range(span) => OpResult::Range(self.range(&span)),
            Op::Put { key, value, lease } => {
                let (created, version) =
                    self.keys.get(&key).map_or((revision, 1), |r| (r.created, r.version + 1));
                let record = Record { value, created, revision, version, lease };
                self.keys.insert(key.clone(), record.clone());
                self.changes.push_back(Change { key, revision, record: Some(record) });
                OpResult::Put
            }
            Op::Delete(span) => {
                let gone = self.range(&span);
                let count = gone.len();
                for (key, _) in gone {
                    self.keys.remove(&key);
                    self.changes.push_back(Change { key, revision, record: None });
                }
                OpResult::Delete(count)
            }
        }
    }

    /// Grants a lease; `id` 0 lets the store choose one.
    pub(crate) fn grant(
        &mut self,
        id: i64,
        ttl: Duration,
        now: Instant,
    ) -> Result<i64, StoreError> {
        let id = if id == 0 { self.next_lease } else { id };
        if self.leases.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        self.next_lease = self.next_lease.max(id) + 1;
        self.leases.insert(id, Lease { ttl, expires: now + ttl });
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or `None` if it has ended.
    pub(crate) fn renew(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys.
    pub(crate) fn revoke(&mut self, id: i64) -> Result<(), StoreError> {
        self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let bound: Vec<_> =
            self.keys.iter().filter(|(_, r)| r.lease == id).map(|(k, _)| k.clone()).collect();
        if bound.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        for key in bound {
            self.keys.remove(&key);
            self.changes.push_back(Change { key, revision: self.revision, record: None });
        }
        self.trim();
        Ok(())
    }

    /// Ends the leases that are due and returns their number.
    pub(crate) fn expire(&mut self, now: Instant) -> u64 {
        let due: Vec<_> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        due.into_iter().filter(|id| self.revoke(*id).is_ok()).map(|_| 1).sum()
    }

    pub(crate) fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// The time at which the next lease ends.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }

    /// Restarts the time to live of every lease at `now`, as a restarted store does.
    pub(crate) fn renew_all(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
    }

    /// The changes in `span` since revision `from`, inclusive.
    pub(crate) fn changes(&self, span: &Span, from: i64) -> Result<Vec<Change>, StoreError> {
        if from < self.compacted {
            return Err(StoreError::Compacted(self.compacted));
        }
        let start = self.changes.partition_point(|change| change.revision < from);
        Ok(self.changes.range(start..).filter(|c| span.contains(&c.key)).cloned().collect())
    }

    /// Discards all changes before the current revision.
    pub(crate) fn compact(&mut self) {
        self.compact_to(self.revision);
    }

    fn compact_to(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision);
        let kept = self.changes.partition_point(|change| change.revision < self.compacted);
        self.changes.drain(..kept);
    }

    /// Removes whole revisions until at most `history` changes are left.
    fn trim(&mut self) {
        let excess = self.changes.len().saturating_sub(self.history);
        if excess > 0 {
            let last = self.changes[excess - 1].revision;
            self.compact_to(last + 1);
        }
    }
}

fn cloned((key, record): (&Bytes, &Record)) -> (Bytes, Record) {
    (key.clone(), record.clone())
}
