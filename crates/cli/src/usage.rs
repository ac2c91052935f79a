use gumdrop::Options;

use crate::{Args, Exit};

/// What to do for a command line.
#[derive(Debug)]
pub enum Invocation {
    /// Run the command.
    Run(Args),
    /// Print the text and exit with code 0.
    Print(String),
    /// Report the error and exit with code 2.
    UsageError(String),
}

/// Parses the command line; `raw_args` does not include the program name.
#[must_use]
pub fn parse_args(raw_args: &[String]) -> Invocation {
    let args = match Args::parse_args_default(raw_args) {
        Ok(args) => args,
        Err(e) => return Invocation::UsageError(format!("damaskwick: {e}; see damaskwick --help")),
    };
    if args.help_requested() {
        return Invocation::Print(help(&args));
    }
    if args.version {
        return Invocation::Print(format!("damaskwick {}", env!("CARGO_PKG_VERSION")));
    }
    if args.command.is_none() {
        return Invocation::UsageError(format!(
            "damaskwick: a command is missing\n\n{}",
            help(&args)
        ));
    }
    Invocation::Run(args)
}

fn help(args: &Args) -> String {
    let mut innermost: &dyn Options = args;
    let mut names = "damaskwick".to_owned();
    while let Some(command) = innermost.command() {
        if let Some(name) = innermost.command_name() {
            names = format!("{names} {name}");
        }
        innermost = command;
    }
    let mut text = format!("Usage: {names} [OPTIONS]\n\n{}\n", innermost.self_usage());
    if let Some(list) = innermost.self_command_list() {
        text = format!("{text}\nCommands:\n{list}\n");
    }
    format!("{text}\n{}", Exit::help())
}
