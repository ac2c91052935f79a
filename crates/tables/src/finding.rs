use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The location to which a finding refers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Place {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1; 0 if the rows were not read from a file.
    pub line: usize,
    /// The number of the row in its table, from 1; 0 if the finding does not concern a row.
    pub row: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if self.row > 0 {
            write!(f, ": row {}", self.row)?;
        }
        Ok(())
    }
}

/// One reason why a table or a settings file is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {name:?}: {message}; accepted: {accepted}")]
pub struct Finding {
    /// The location of the error.
    pub place: Place,
    /// The name of the row, or of the field if the finding does not concern a row.
    pub name: String,
    /// What is wrong, in one sentence.
    pub message: String,
    /// What would be accepted instead.
    pub accepted: String,
}

/// All findings of one check, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(transparent)]
pub struct Findings {
    /// The findings, sorted by place once returned by [`Self::into_result`].
    pub list: Vec<Finding>,
}

impl Findings {
    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds one finding.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// The findings, sorted by place, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by(|a, b| a.place.cmp(&b.place));
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, finding) in self.list.iter().enumerate() {
            if idx > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
