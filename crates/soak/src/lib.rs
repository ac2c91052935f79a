//! A fault soak: real daemons as processes of their own on loopback, with stand-ins for the store, the targets and
//! the callers. A seed gives one schedule of overlapping faults; what callers and targets saw is checked against
//! the promises afterwards.
//!
//! The names of the users' platform appear here because the soak plays its targets and callers.

mod caller;
mod check;
mod history;
mod host;
mod link;
mod net;
mod recorder;
mod run;
mod schedule;
mod target;

pub use check::{Finding, Promise, check};
pub use history::{Answer, History, Named, Sent, Trouble, Visit};
pub use run::{Error, LimitUsage, Report, SoakRun};
pub use schedule::{Fault, Plan, Schedule};
