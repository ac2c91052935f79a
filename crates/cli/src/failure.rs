use dw_platform::PlatformError;
use dw_tables::Findings;
use serde_json::{Value as Json, json};
use thiserror::Error;

use crate::{Exit, show::counted};

/// The error of a command.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{message}")]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// The human-readable message.
    pub message: String,
    /// Details for `--json`; a JSON object.
    pub data: Json,
}

impl Failure {
    /// Creates a failure without details.
    #[must_use]
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into(), data: json!({}) }
    }

    /// Sets the details for `--json`, which must be a JSON object.
    #[must_use]
    pub fn with_data(mut self, data: Json) -> Self {
        self.data = data;
        self
    }
}

impl From<PlatformError> for Failure {
    /// Converts an error after which no version can have been accepted, such as that of a read or of
    /// a write that does not touch the head.
    fn from(error: PlatformError) -> Self {
        let exit = match error {
            PlatformError::Unreachable { .. }
            | PlatformError::Unanswered
            | PlatformError::Overloaded
            | PlatformError::BudgetExhausted => Exit::Unreachable,
            PlatformError::TooLarge { .. }
            | PlatformError::LeaseGone
            | PlatformError::Compacted
            | PlatformError::Protocol(_) => Exit::Failed,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        let message =
            format!("{findings}\ntables refused: {}", counted(findings.list.len(), "finding"));
        Self::new(Exit::Refused, message).with_data(json!({ "findings": findings.list }))
    }
}
