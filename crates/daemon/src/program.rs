use std::{
    io::{Write, stderr, stdout},
    process::ExitCode,
};

use derive_more::Display;

/// Why a daemon program exits without having served: its exit code and message.
#[derive(Debug, Display)]
#[display("{text}")]
pub struct Failure {
    code: u8,
    text: String,
}

impl Failure {
    /// Invalid command line arguments.
    #[must_use]
    pub fn usage(text: &impl ToString) -> Self {
        Self { code: 2, text: text.to_string() }
    }

    /// Settings that cannot be read or are invalid.
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

/// The exit code for a program's result; a failure is printed to standard error.
pub fn exit_code(program: &str, result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, text }) => {
            // The failure cannot be reported elsewhere if standard error is closed.
            let _ = writeln!(stderr(), "{program}: {text}");
            ExitCode::from(code)
        }
    }
}

/// Prints `text` to standard output.
///
/// # Errors
/// Standard output cannot be written.
pub fn print_text(text: &str) -> Result<(), Failure> {
    stdout().write_all(text.as_bytes()).map_err(|error| Failure::start(&error))
}

/// Reads a settings file.
///
/// # Errors
/// The file cannot be read.
pub fn read_file(file: &str) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|error| Failure::settings(&format!("cannot read {file}: {error}")))
}
