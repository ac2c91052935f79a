//! Stand-ins for the platform and for targets, served over real sockets to tests, the demo and
//! benchmarks.
//!
//! The platform's key-value service offers two APIs on one store: the subset of the etcd v3 JSON
//! gateway that damaskwick uses, and the users' platform's own API. It injects faults and counts
//! calls. Targets have a limited number of slots, a cold start, load shedding, crashes and a
//! ledger of executed requests. A manually advanced clock keeps tests independent of real time.

mod answer;
mod bucket;
mod clock;
mod control;
mod counts;
mod gateway;
mod kv;
mod ledger;
mod messages;
mod server;
mod service_time;
mod standin;
mod store;
mod target;
mod target_control;
mod wall_clock;
mod watch_stream;
mod worker;

pub use answer::{AnswerError, answer_body, check_answer};
pub use clock::ManualClock;
pub use counts::PlatformCounts;
pub use ledger::{Ledger, Run, RunEnd};
pub use service_time::ServiceTime;
pub use standin::{RunningStandin, Snapshot, Standin};
pub use target::{RunningTarget, Target};
pub use wall_clock::unix_ms;
pub use worker::{Report, TargetCounts};
