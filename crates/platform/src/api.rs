use std::{future::Future, time::Duration};

use bytes::Bytes;
use derive_more::{Display, From};
use thiserror::Error;

/// Identifies a lease granted by the platform.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, at most 1 MiB.
    pub value: Bytes,
    /// The revision of the last change to this key.
    pub revision: u64,
    /// The lease the key is bound to, if any.
    pub lease: Option<LeaseId>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guard {
    /// The key to compare.
    pub key: String,
    /// The revision it must have; 0 means that the key must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value, at most 1 MiB.
    pub value: Bytes,
    /// Binds the key to a lease.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together if all guards hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions that must all hold.
    pub guards: Vec<Guard>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub deletes: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The writes took effect at this revision.
    Done {
        /// The revision of the store after the writes.
        revision: u64,
    },
    /// A guard did not hold; nothing was written.
    Conflict {
        /// The guarded keys that exist, as they are now.
        present: Vec<Entry>,
    },
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Entry),
    /// The key was removed or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// No connection could be established; nothing was done.
    #[error("the platform at {addr} cannot be reached")]
    Unreachable {
        /// The address tried last.
        addr: String,
    },
    /// No response arrived in time, or the connection broke; a write may have taken effect.
    #[error("the platform did not answer; a write may have taken effect")]
    Unanswered,
    /// The platform refused the call because its rate limit is exceeded; nothing was done.
    #[error("the platform's rate limit is exceeded")]
    Overloaded,
    /// The daemon's own call budget is exhausted; nothing was sent.
    #[error("the daemon's budget of calls to the platform is exhausted")]
    BudgetExhausted,
    /// The value is larger than the platform accepts; nothing was done.
    #[error("a value of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// The platform does not have the history from the start of the watch: it was compacted, or
    /// the platform was restored from a backup. Read the key again and watch from its revision.
    #[error("the platform no longer has the revision at which the watch starts")]
    Compacted,
    /// The response does not follow the protocol; a write may have taken effect.
    #[error("the platform's response cannot be read: {0}")]
    Protocol(String),
}

/// The platform's key-value service.
pub trait Platform: Clone + Send + Sync + 'static {
    /// An open watch.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, PlatformError>> + Send;

    /// Reads all keys that start with `prefix`, in key order.
    fn range(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<Entry>, PlatformError>> + Send;

    /// Runs a compare-and-swap transaction.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<Commit, PlatformError>> + Send;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, PlatformError>> + Send;

    /// Renews a lease; fails with `LeaseGone` if it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Watches one key for changes after `revision`.
    fn watch(
        &self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<Self::Watch, PlatformError>> + Send;

    /// Reads all keys that start with `prefix`, in key order, and watches them for later changes. A change
    /// while the keys are read may be both in the list and reported.
    fn watch_prefix(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Entry>, Self::Watch), PlatformError>> + Send;
}

/// An open watch on one key or on all keys with a prefix.
pub trait Watch: Send + 'static {
    /// Waits for the next change. Dropping the future loses no event.
    fn next(&mut self) -> impl Future<Output = Result<Event, PlatformError>> + Send;
}
