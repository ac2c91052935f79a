//! The platform's key-value service as damaskwick uses it: one narrow trait for reads,
//! compare-and-swap transactions, leases and watches, and an HTTP client that speaks the JSON
//! gateway of etcd v3. Another store costs one more implementation of the trait.

mod api;

pub use api::{Commit, Entry, Event, Guard, LeaseId, Platform, PlatformError, Put, Txn, Watch};
