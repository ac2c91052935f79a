//! Runs the platform's stand-in or a simulated target as a separate process.

use std::{
    error::Error,
    io::{Write, stderr, stdout},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use dw_fakes::{Standin, Target};
use gumdrop::Options;

/// Small stand-ins for trying damaskwick on one machine.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "serve the platform's key-value service")]
    Platform(PlatformOptions),
    #[options(help = "serve a target")]
    Target(TargetOptions),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to serve at, a free port on loopback without it", meta = "ADDR")]
    addr: Option<SocketAddr>,
    #[options(help = "address of the control endpoint", meta = "ADDR")]
    control: Option<SocketAddr>,
    #[options(help = "reads a second, no limit without it", meta = "RATE")]
    reads: Option<f64>,
    #[options(help = "writes a second, no limit without it", meta = "RATE")]
    writes: Option<f64>,
}

#[derive(Debug, Options)]
struct TargetOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to serve at, a free port on loopback without it", meta = "ADDR")]
    addr: Option<SocketAddr>,
    #[options(help = "address of the control endpoint", meta = "ADDR")]
    control: Option<SocketAddr>,
    #[options(help = "name of the service", required, meta = "NAME")]
    service: String,
    #[options(help = "requests worked on at a time", default = "12", meta = "COUNT")]
    slots: usize,
    #[options(help = "connections open at a time", default = "120", meta = "COUNT")]
    connections: usize,
    #[options(help = "service time in milliseconds", default = "1", meta = "MS")]
    work: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // A failed write is ignored because there is nowhere else to report it.
            let _ = writeln!(stderr(), "dw-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Platform(options)) => platform(options).await,
        Some(Command::Target(options)) => target(options).await,
        None => {
            writeln!(stdout(), "{}", Arguments::usage())?;
            let commands = Arguments::command_list().unwrap_or_default();
            writeln!(stdout(), "Commands:\n{commands}")?;
            std::process::exit(2);
        }
    }
}

async fn platform(options: PlatformOptions) -> Result<(), Box<dyn Error>> {
    let mut standin = Standin::new();
    if let Some(addr) = options.addr {
        standin = standin.with_addr(addr);
    }
    if let Some(control) = options.control {
        standin = standin.with_control(control);
    }
    standin = standin.with_rates(options.reads, options.writes);
    let running =
        standin.start().await.map_err(|e| listen_error(options.addr, options.control, &e))?;
    print_addresses("platform", running.addr(), running.control_addr())?;
    wait_for_signal().await?;
    running.close().await;
    Ok(())
}

async fn target(options: TargetOptions) -> Result<(), Box<dyn Error>> {
    let mut target = Target::new(&options.service)
        .with_slots(options.slots)
        .with_connections(options.connections)
        .with_service_time(Duration::from_millis(options.work));
    if let Some(addr) = options.addr {
        target = target.with_addr(addr);
    }
    if let Some(control) = options.control {
        target = target.with_control(control);
    }
    let running =
        target.start().await.map_err(|e| listen_error(options.addr, options.control, &e))?;
    print_addresses(&options.service, running.addr(), running.control_addr())?;
    wait_for_signal().await?;
    running.close().await;
    Ok(())
}

/// Adds the requested addresses, which the I/O error does not contain, to the message.
fn listen_error(
    addr: Option<SocketAddr>,
    control: Option<SocketAddr>,
    error: &std::io::Error,
) -> String {
    let name = |addr: Option<SocketAddr>| addr.map_or("a free port".to_owned(), |a| a.to_string());
    format!("cannot listen on {} with control {}: {error}", name(addr), name(control))
}

/// Prints one line from which scripts read the ports.
fn print_addresses(name: &str, addr: SocketAddr, control: SocketAddr) -> std::io::Result<()> {
    let mut out = stdout();
    writeln!(out, "{name} {addr} control {control}")?;
    out.flush()
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut interrupt) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
