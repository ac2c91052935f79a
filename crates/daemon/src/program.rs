use std::{
    io::{Write, stderr, stdout},
    process::ExitCode,
};

use derive_more::Display;

/// Why a daemon program ends without having served: the exit code and the message.
#[derive(Debug, Display)]
#[display("{text}")]
pub struct Failure {
    code: u8,
    text: String,
}

impl Failure {
    /// Command line arguments that cannot be used.
    #[must_use]
    pub fn usage(text: &impl ToString) -> Self {
        Self { code: 2, text: text.to_string() }
    }

    /// Settings that are refused.
    #[must_use]
    pub fn settings(text: &impl ToString) -> Self {
        Self { code: 3, text: text.to_string() }
    }

    /// A daemon that could not start.
    #[must_use]
    pub fn start(text: &impl ToString) -> Self {
        Self { code: 4, text: text.to_string() }
    }
}

/// The exit code of a program, whose failure is named on standard error.
pub fn exit_code(program: &str, result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, text }) => {
            // Nothing is left to do if standard error is closed.
            let _ = writeln!(stderr(), "{program}: {text}");
            ExitCode::from(code)
        }
    }
}

/// Prints what the command line asked for.
///
/// # Errors
/// Standard output that does not take it.
pub fn print_text(text: &str) -> Result<(), Failure> {
    stdout().write_all(text.as_bytes()).map_err(|error| Failure::start(&error))
}

/// Reads a settings file.
///
/// # Errors
/// A file that cannot be read.
pub fn read_file(file: &str) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|error| Failure::settings(&format!("cannot read {file}: {error}")))
}
