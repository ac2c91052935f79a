//! Benchmarks. `distribution` measures how a version of the tables reaches a fleet and what that costs.
//! `requests` measures the cost of the request path and the outcome of requests under load and faults.
//! `log` measures the cost of logging, `memory` the resident memory of a daemon, and `model` simulates
//! the load of callers without sockets.
//!
//! Each but `log` prints a table and, with `--json FILE`, writes the same figures as JSON.

mod distribution;
mod fit;
mod fleet;
mod logs;
mod memory;
mod model;
mod publish;
mod requests;
mod usage;

use gumdrop::Options;

/// Command line of the benchmarks.
#[derive(Debug, Options)]
struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Convergence and cost of control traffic by fleet size, with baselines and faults.
    #[options(help = "convergence and control cost by fleet size")]
    Distribution(distribution::Args),
    /// Cost of the request path and outcomes of requests under faults, with a baseline.
    #[options(help = "cost of the request path, and the fate of requests under faults")]
    Requests(requests::Args),
    /// Outcomes of requests in a simulation, by policy.
    #[options(help = "what callers get under a modelled load, by policy, without sockets")]
    Model(model::Args),
    /// Processor time of a request with and without logging.
    #[options(help = "processor time of a request with the log and without")]
    Log(logs::Args),
    /// Resident memory of one daemon among peers, by phase.
    #[options(help = "resident memory of one daemon among peers, by phase")]
    Memory(memory::Args),
}

#[allow(clippy::print_stderr)]
#[tokio::main]
async fn main() -> std::process::ExitCode {
    let args = Args::parse_args_default_or_exit();
    let outcome = match args.command {
        Some(Command::Distribution(args)) => distribution::run(args).await,
        Some(Command::Requests(args)) => requests::run(args).await,
        Some(Command::Model(args)) => model::run(&args),
        Some(Command::Log(args)) => logs::run(args).await,
        Some(Command::Memory(args)) => memory::run(args).await,
        None => {
            Err("no benchmark named; expected distribution, requests, model, log or memory".into())
        }
    };
    match outcome {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::from(1),
        Err(error) => {
            eprintln!("dw_bench: {error}");
            std::process::ExitCode::from(2)
        }
    }
}
