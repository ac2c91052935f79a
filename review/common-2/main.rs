//! Runs the case that the first argument names; the second is the path of its record.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod record;
mod store;
mod upstream;

mod cases;

use std::{env, process::ExitCode, sync::Arc};

use record::Record;

/// What a case found.
pub struct Outcome {
    pub broken: bool,
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    fleet::limit_time();
    record
        .line(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let kept = record.clone();
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::run(&name, trouble, record)
    }));
    match result {
        Ok(Ok(Outcome { broken: true })) => {
            kept.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Ok(Outcome { broken: false })) => {
            kept.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Err(error)) => {
            kept.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
        Err(_) => {
            kept.say("the case could not run: a check of its own failed");
            ExitCode::from(2)
        }
    }
}
