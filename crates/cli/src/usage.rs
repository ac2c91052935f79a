use gumdrop::Options;

use crate::{Args, Exit};

/// What the command line asks for.
#[derive(Debug)]
pub enum Asked {
    /// Run the command.
    Run(Args),
    /// Print the text and exit with 0.
    Show(String),
    /// Print the text and exit with 2.
    Refuse(String),
}

/// Reads the command line without the name of the program.
#[must_use]
pub fn parse_args(words: &[String]) -> Asked {
    let args = match Args::parse_args_default(words) {
        Ok(args) => args,
        Err(e) => return Asked::Refuse(format!("damaskwick: {e}; see damaskwick --help")),
    };
    if args.help_requested() {
        return Asked::Show(help(&args));
    }
    if args.version {
        return Asked::Show(format!("damaskwick {}", env!("CARGO_PKG_VERSION")));
    }
    if args.command.is_none() {
        return Asked::Refuse(format!("damaskwick: a command is missing\n\n{}", help(&args)));
    }
    Asked::Run(args)
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
