//! The platform's key-value service as damaskwick uses it: a small trait for reads,
//! compare-and-swap transactions, leases and watches, and an HTTP client for the JSON gateway of
//! etcd v3, with a call budget and backoff. Supporting another store takes one more
//! implementation of the trait.

mod api;
mod backoff;
mod body;
mod budget;
mod client;
mod failure;
mod messages;
mod requests;
mod watch;

pub use api::{Commit, Entry, Event, Guard, LeaseId, Platform, PlatformError, Put, Txn, Watch};
pub use backoff::Backoff;
pub use body::read_body;
pub use budget::{Budget, CallReason};
pub use client::{HttpPlatform, MAX_VALUE_BYTES, Timeouts};
pub use watch::HttpWatch;
