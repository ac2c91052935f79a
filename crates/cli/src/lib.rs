//! The operators' tool `damaskwick`: it checks the tables, publishes them as the next version by
//! compare-and-swap in the platform, and shows where versions are in force. Each command is written
//! against the traits [`dw_platform::Platform`] and [`Admin`], so that tests can run it without
//! sockets.

mod admin;
mod apply;
mod args;
mod check;
mod console;
mod daemon_status;
mod demo;
mod diff;
mod exit;
mod explain;
mod failure;
mod files;
mod get;
mod hash_key;
mod history;
mod rollout;
mod run;
mod show;
mod stale;
mod status;
mod store;
mod swap;
mod usage;
mod watch;

pub use admin::{Admin, AdminError, HttpAdmin};
pub use apply::{Edit, apply};
pub use args::{
    ApplyArgs, Args, CheckArgs, Command, DemoArgs, DiffArgs, ExplainArgs, GetArgs, HashKeyArgs,
    HistoryArgs, RolloutArgs, RolloutCommand, RolloutServiceArgs, RolloutStartArgs, StatusArgs,
    WatchArgs,
};
pub use check::check;
pub use console::Console;
pub use daemon_status::{DaemonStatus, DomainStatus, RefusedHead, ServedVersion, State};
pub use demo::{
    Attempt, CallStats, Check, ControlTraffic, Convergence, Deployment, Reply, Report, Schedule,
    UnknownDeployment, Window, check_calls, check_idle, check_interruptions, demo, run_demo,
};
pub use diff::diff;
pub use exit::Exit;
pub use explain::explain;
pub use failure::Failure;
pub use get::get;
pub use hash_key::hash_key;
pub use history::history;
pub use rollout::rollout;
pub use run::run;
pub use status::status;
pub use usage::{Invocation, parse_args};
pub use watch::watch;
