use std::{str::FromStr, time::Duration};

use derive_more::From;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A duration in whole milliseconds, written in tables and settings as `"250ms"`, `"2s"`, `"5m"`.
#[derive(
    Clone, Copy, Debug, Default, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Millis(u64);

/// Why a duration could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "{text:?} is not a duration; write a whole number and one of ms, s, m, h, such as \"250ms\""
)]
pub struct ParseMillisError {
    /// The text that was given.
    pub text: String,
}

impl Millis {
    /// A duration of `ms` milliseconds.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// The number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<Millis> for Duration {
    fn from(ms: Millis) -> Self {
        Self::from_millis(ms.0)
    }
}

impl From<Millis> for String {
    fn from(ms: Millis) -> Self {
        ms.to_string()
    }
}

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            ms if ms > 0 && ms % 3_600_000 == 0 => write!(f, "{}h", ms / 3_600_000),
            ms if ms > 0 && ms % 60_000 == 0 => write!(f, "{}m", ms / 60_000),
            ms if ms > 0 && ms % 1000 == 0 => write!(f, "{}s", ms / 1000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl TryFrom<String> for Millis {
    type Error = ParseMillisError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl FromStr for Millis {
    type Err = ParseMillisError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseMillisError { text: text.to_owned() };
        let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, unit) = text.split_at(end);
        let scale = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        let count: u64 = digits.parse().map_err(|_| error())?;
        count.checked_mul(scale).map(Self).ok_or_else(error)
    }
}
