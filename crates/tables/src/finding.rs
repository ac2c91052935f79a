use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Where a finding was made.
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{file}:{line}")]
#[serde(default)]
pub struct Place {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The row in its table, from 1; 0 where the finding belongs to no row.
    pub row: usize,
}

/// One reason why a table or a settings file is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: row {}: {name:?}: {message}; accepted: {accepted}", place.row)]
pub struct Finding {
    /// Where it was found.
    pub place: Place,
    /// The name at fault: of a row, a field or a reference.
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
    /// The findings, in the order of their places.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds one finding.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    /// The findings, sorted by place, if there are any.
    pub fn or_else<T>(mut self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by(|a, b| a.place.cmp(&b.place));
        Err(self)
    }
}

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (idx, finding) in self.list.iter().enumerate() {
            if idx > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
