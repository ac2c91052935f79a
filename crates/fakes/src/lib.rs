//! Stand-ins for tests, demo and benches, served over real sockets: the platform's key-value
//! service (the JSON gateway of etcd v3, in the subset that damaskwick uses, and the calls of the
//! users' platform, on one store) with fault injection and call counts, and small targets with slots, cold start, load shedding, crashes and a ledger
//! of executed requests. A clock that moves only on request keeps tests independent of real time.

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
