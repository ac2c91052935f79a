use derive_more::{Display, FromStr};

/// Level and format of the log, which goes to standard output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The format of a line.
    pub format: LogFormat,
}

/// Levels of the log.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Faults that need an operator.
    Error,
    /// Faults that the daemon handles itself.
    Warn,
    /// Decisions and changes of state.
    #[default]
    Info,
    /// Details of the control plane.
    Debug,
}

/// Formats of a log line.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level, event and fields, for people.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}
