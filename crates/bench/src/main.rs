//! The benches: `distribution` measures how a version reaches a fleet and what that costs, and
//! `requests` what the request path costs and what becomes of requests under load and faults; `log`
//! what the log costs, `model` what callers get under a modelled load. Each of the first two prints a table and, with `--json FILE`, writes the same
//! figures as JSON.

mod distribution;
mod fit;
mod fleet;
mod logs;
mod model;
mod publish;
mod requests;
mod usage;

use gumdrop::Options;

/// Command line of the benches.
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
    /// Convergence and control cost by the size of the fleet, with baselines and faults.
    #[options(help = "convergence and control cost by fleet size")]
    Distribution(distribution::Args),
    /// Cost of the request path, and the fate of requests, with a baseline.
    #[options(help = "cost of the request path, and the fate of requests under faults")]
    Requests(requests::Args),
    /// What callers get under a modelled load, by policy.
    #[options(help = "what callers get under a modelled load, by policy, without sockets")]
    Model(model::Args),
    /// Price of the log.
    #[options(help = "processor time of a request with the log and without")]
    Log(logs::Args),
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
        None => Err("name a bench: distribution, requests, model or log".into()),
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
