//! The daemon program: reads its settings, runs until SIGTERM or SIGINT, and shuts down gracefully.

use std::process::ExitCode;

use dw_daemon::{
    ControlThread, Daemon, Failure, Settings, exit_code, parse_settings, print_text, read_file,
};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

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
    exit_code("damaskwickd", run().await)
}

async fn run() -> Result<(), Failure> {
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&raw_args).map_err(|error| Failure::usage(&error))?;
    if args.help {
        return print_text(&format!("damaskwickd --config FILE [--check]\n\n{}\n", Args::usage()));
    }
    if args.version {
        return print_text(&format!("damaskwickd {}\n", env!("CARGO_PKG_VERSION")));
    }
    let file =
        args.config.ok_or_else(|| Failure::usage(&"--config FILE is missing; see --help"))?;
    let text = read_file(&file)?;
    let settings = parse_settings(&file, &text)
        .map_err(|findings| Failure::settings(&format!("the settings are refused:\n{findings}")))?;
    if args.check {
        return print_text(&format!("{file}: ok\n"));
    }
    serve(settings).await
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let signal_error =
        |error: std::io::Error| Failure::start(&format!("cannot wait for signals: {error}"));
    // The handlers stay installed, so a second signal does not interrupt the graceful shutdown.
    let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let control = ControlThread::new().map_err(|error| Failure::start(&error))?;
    let daemon = Daemon::new(settings).with_control(control.handle().clone());
    let running = daemon.start().await.map_err(|error| Failure::start(&error))?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    running.close().await;
    control.close();
    Ok(())
}
