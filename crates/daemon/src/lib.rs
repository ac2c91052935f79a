//! The daemon `damaskwickd` as a library: settings, the tasks that own sockets, the proxy, the admin
//! API, logs and metrics. `dw_mesh` and `dw_request` make the decisions; this crate does the I/O.
//! Several daemons can run in one process, because a daemon has no global state, and no threads but
//! those of the runtimes that it is given.

mod admin;
mod clock;
mod control_thread;
mod counters;
mod daemon;
mod departures;
mod dialect;
mod link;
mod log_events;
mod node;
mod platform;
mod program;
mod proxy;
mod quota;
mod rollout;
mod running;
mod scheduling;
mod settings;
mod socket;
mod tasks;
mod tombstones;

pub use clock::unix_ms;
pub use control_thread::ControlThread;
pub use counters::{CounterValues, IgnoreReason};
pub use daemon::{Daemon, StartError};
pub use departures::Departures;
pub use dialect::Dialect;
pub use dw_log::{LogFormat, LogLevel, LogSettings};
pub use program::{Failure, exit_code, print_text, read_file};
pub use rollout::{ORDER_PREFIX, STATE_PREFIX};
pub use running::{Addrs, Running};
pub use settings::{PresetName, ProcessLimits, Settings, TargetSettings, parse_settings};
pub use socket::detect_dead_peer;
