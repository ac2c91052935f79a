use std::fmt::Write;

/// The exit codes of the tool. Only [`Exit::Ok`] means that what the command reported is true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded and what it reported is true.
    Ok,
    /// The command failed and no version was accepted, or the demo found a broken promise.
    Failed,
    /// The command line is invalid.
    Usage,
    /// The tables were refused because they have findings.
    Refused,
    /// The edit is based on a version other than the platform's head.
    Stale,
    /// Whether the edit was accepted could not be determined, or the result could not be written.
    Unknown,
    /// The version was not confirmed to be in force everywhere within the limit.
    NotInForce,
    /// The platform is unreachable; no version was accepted.
    Unreachable,
}

impl Exit {
    /// All exit codes in ascending order.
    pub const ALL: [Self; 8] = [
        Self::Ok,
        Self::Failed,
        Self::Usage,
        Self::Refused,
        Self::Stale,
        Self::Unknown,
        Self::NotInForce,
        Self::Unreachable,
    ];

    /// The code that the process returns.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Stale => 4,
            Self::Unknown => 5,
            Self::NotInForce => 6,
            Self::Unreachable => 7,
        }
    }

    /// The meaning of the code, as shown by `--help`.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "what the command reported is true",
            Self::Failed => "failed; no version was accepted, or the demo saw a broken promise",
            Self::Usage => "usage",
            Self::Refused => "tables refused",
            Self::Stale => "stale base",
            Self::Unknown => {
                "unknown outcome: the edit may or may not be accepted, or the output failed"
            }
            Self::NotInForce => "not known to be in force everywhere within the limit",
            Self::Unreachable => "platform unreachable; no version was accepted",
        }
    }

    /// The list of exit codes shown by `--help`.
    #[must_use]
    pub fn help() -> String {
        let mut text = "Exit codes:\n".to_owned();
        for exit in Self::ALL {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "  {}  {}", exit.code(), exit.meaning());
        }
        text
    }
}
