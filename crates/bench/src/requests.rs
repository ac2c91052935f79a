mod account;
mod caller;
mod chain;
mod client;
mod forwarder;
mod latency;
mod load;
mod report;
mod scenario;
mod testbed;

use std::{fs, time::Duration};

use gumdrop::Options;
use serde::Serialize;

pub(crate) use self::client::{HttpClient, Reply};
use self::{account::Account, latency::Cost, scenario::Scenario, testbed::Side};
use crate::fleet::BoxError;

/// Options of `requests`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    /// Runs only this scenario.
    #[options(help = "run only this scenario", meta = "NAME")]
    only: Option<String>,
    /// Seconds of each scenario.
    #[options(default = "5", help = "seconds of each scenario")]
    seconds: u64,
    /// File for the figures as JSON.
    #[options(help = "file for the figures as JSON", meta = "FILE")]
    json: Option<String>,
}

/// All figures of one run.
#[derive(Debug, Default, Serialize)]
struct Run {
    costs: Vec<Cost>,
    accounts: Vec<Account>,
}

/// Runs the benchmark. Returns false if a figure that must be 0 is not.
pub(crate) async fn run(args: Args) -> Result<bool, BoxError> {
    let time = Duration::from_secs(args.seconds);
    let wanted = |name: &str| args.only.as_deref().is_none_or(|only| only == name);
    let mut run = Run::default();
    report::print_header();
    if wanted("latency") {
        (run.costs, run.accounts) = latency::measure(time).await?;
        run.accounts.iter().for_each(report::print_account);
        report::print_costs(&run.costs);
    }
    for scenario in Scenario::ALL.into_iter().filter(|scenario| wanted(scenario.name)) {
        for side in [Side::Forwarder, Side::Damaskwick] {
            let account = scenario.run(side, time).await?;
            report::print_account(&account);
            run.accounts.push(account);
        }
    }
    if wanted("call-chain") {
        for side in [Side::Forwarder, Side::Damaskwick] {
            let account = chain::run(side, time).await?;
            report::print_account(&account);
            run.accounts.push(account);
        }
    }
    if run.accounts.is_empty() {
        return Err("no scenario has the name given with --only".into());
    }
    let good = report::print_missed_goals(&run.accounts, &run.costs);
    if let Some(file) = args.json {
        fs::write(file, serde_json::to_string_pretty(&run)?)?;
    }
    Ok(good)
}
