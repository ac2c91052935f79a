use std::fmt::Write;

/// The exit codes of the tool. Only [`Exit::Ok`] says that what the command reported is true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// What was reported is true.
    Ok,
    /// The command failed and nothing was accepted, or the demo saw a broken promise.
    Failed,
    /// The command line cannot be used.
    Usage,
    /// The tables have findings.
    Refused,
    /// The edit was made on another version than the platform's head.
    Stale,
    /// It could not be found out whether the edit was accepted, or the result not be written.
    Unknown,
    /// The version is not known to be in force everywhere within the limit.
    NotInForce,
    /// The platform cannot be reached; nothing was accepted.
    Unreachable,
}

impl Exit {
    /// All codes, in their order.
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

    /// What the code says, for `--help`.
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

    /// The list of codes for `--help`.
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
