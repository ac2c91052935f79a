use derive_more::{Display, FromStr};

/// The level and format of the log, which is written to standard output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The lowest severity that is written.
    pub level: LogLevel,
    /// The format of a line.
    pub format: LogFormat,
}

/// Log levels.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Faults that need the attention of an operator.
    Error,
    /// Faults that the daemon handles itself.
    Warn,
    /// Decisions and changes of state.
    #[default]
    Info,
    /// Details of the control plane.
    Debug,
}

/// Formats of log lines.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable: time, level, host, event and fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
