//! Structured logging: events with a fixed set of fields, sampled per request, and written by a thread
//! so that no caller waits for the output.
//!
//! `dw_daemon` and the adapters create the events; this crate decides which requests are sampled under
//! load, and formats the lines.

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
pub use sampler::{DroppedRequests, RequestClass, Sampler};
pub use settings::{LogFormat, LogLevel, LogSettings};
pub use trace::Trace;
