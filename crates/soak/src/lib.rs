//! A fault-injection soak test: real daemons run as separate processes on loopback, with stand-ins
//! for the store, the targets and the callers. A seed determines a schedule of overlapping faults.
//! After the run, everything that callers and targets observed is checked against the promises
//! that the service mesh makes to them.
//!
//! The header names and paths of the users' platform appear here because the soak simulates its
//! targets and callers.

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
