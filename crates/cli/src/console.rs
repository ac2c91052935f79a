use std::io::Write;

use serde_json::{Value as Json, json};

use crate::{Exit, Failure};

/// The output of a command: human-readable lines or one JSON object.
pub struct Console {
    json: bool,
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    write_failed: bool,
}

impl Console {
    /// Creates a console that writes results to `out` and failure messages to `err`. With `json`,
    /// only one JSON object is written, to `out`.
    #[must_use]
    pub fn new(json: bool, out: Box<dyn Write + Send>, err: Box<dyn Write + Send>) -> Self {
        Self { json, out, err, write_failed: false }
    }

    /// Writes a human-readable line and flushes it; does nothing in JSON mode.
    pub fn print_line(&mut self, line: &str) {
        if !self.json {
            let written = writeln!(self.out, "{line}").and_then(|()| self.out.flush());
            self.write_failed |= written.is_err();
        }
    }

    /// Writes the result of a command and returns its exit code.
    pub fn finish(&mut self, result: Result<Json, Failure>) -> Exit {
        let (exit, message, mut data) = match result {
            Ok(data) => (Exit::Ok, String::new(), data),
            Err(failure) => (failure.exit, failure.message, failure.data),
        };
        if self.json {
            data["exit"] = json!(exit.code());
            if exit != Exit::Ok {
                data["message"] = json!(message);
            }
            let written = writeln!(self.out, "{data}").and_then(|()| self.out.flush());
            self.write_failed |= written.is_err();
        } else if exit != Exit::Ok {
            let written = writeln!(self.err, "{message}");
            self.write_failed |= written.is_err();
        }
        // Exit code 1 would mean that no version was accepted.
        if self.write_failed && exit == Exit::Ok { Exit::Unknown } else { exit }
    }
}
