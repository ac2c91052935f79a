//! The daemon program: reads its settings, runs until SIGTERM or SIGINT, and leaves in order.

use std::{
    io::{Write, stderr, stdout},
    process::ExitCode,
};

use dw_daemon::{Daemon, Settings, parse_settings};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

/// Command line arguments that cannot be used.
const USAGE: u8 = 2;
/// Settings that are refused.
const SETTINGS: u8 = 3;
/// A daemon that could not start.
const START: u8 = 4;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(no_short, help = "settings file, JSON with comments", meta = "FILE")]
    config: Option<String>,

    #[options(no_short, help = "check the settings and exit")]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            // Nothing is left to do if standard error is closed.
            let _ = writeln!(stderr(), "damaskwickd: {text}");
            ExitCode::from(code)
        }
    }
}

async fn run() -> Result<(), (u8, String)> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&words).map_err(|e| (USAGE, e.to_string()))?;
    if args.help {
        return print(&format!("damaskwickd --config FILE [--check]\n\n{}\n", Args::usage()));
    }
    if args.version {
        return print(&format!("damaskwickd {}\n", env!("CARGO_PKG_VERSION")));
    }
    let file = args.config.ok_or((USAGE, "--config FILE is missing; see --help".to_owned()))?;
    let text = std::fs::read_to_string(&file)
        .map_err(|error| (SETTINGS, format!("cannot read {file}: {error}")))?;
    let settings = parse_settings(&file, &text)
        .map_err(|found| (SETTINGS, format!("the settings are refused:\n{found}")))?;
    if args.check {
        return print(&format!("{file}: ok\n"));
    }
    serve(settings).await
}

async fn serve(settings: Settings) -> Result<(), (u8, String)> {
    let fail = |error: std::io::Error| (START, format!("cannot wait for signals: {error}"));
    // The handlers stay in place, so a second signal changes nothing.
    let mut term = signal(SignalKind::terminate()).map_err(fail)?;
    let mut int = signal(SignalKind::interrupt()).map_err(fail)?;
    let running = Daemon::new(settings).start().await.map_err(|e| (START, e.to_string()))?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    running.close().await;
    Ok(())
}

fn print(text: &str) -> Result<(), (u8, String)> {
    stdout().write_all(text.as_bytes()).map_err(|e| (START, e.to_string()))
}
