//! The log of a process: events with a fixed set of fields, kept or left out a request at a time, and
//! written by a thread that nothing waits for.
//!
//! Decisions are logged where they are made, in `dw_daemon` and in the adapters; this crate decides
//! what is kept under load and how a line looks.

mod event;
mod field;
mod line;
mod log;
mod output;
mod sampler;
mod settings;
mod trace;

pub use event::{Event, Kind};
pub use field::{Field, Value};
pub use log::{Log, LogError, LogLosses};
pub use sampler::{Class, Dropped, Sampler};
pub use settings::{LogFormat, LogLevel, LogSettings};
pub use trace::Trace;
