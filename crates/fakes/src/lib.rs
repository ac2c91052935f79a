//! Stand-ins for tests, demo and benches, served over real sockets: the platform's key-value
//! service (the JSON gateway of etcd v3, in the subset that damaskwick uses) with fault injection
//! and call counts, and small targets with slots, cold start, load shedding, crashes and a ledger
//! of executed requests. A clock that moves only on request keeps tests independent of real time.

mod bucket;
mod clock;
mod control;
mod counts;
mod gateway;
mod messages;
mod serve;
mod standin;
mod store;
mod watching;

pub use clock::ManualClock;
pub use counts::Counts;
pub use standin::{RunningStandin, Snapshot, Standin};
