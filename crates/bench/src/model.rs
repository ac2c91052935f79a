//! A load model: simulates hosts, callers and faults without sockets, around the real decisions of
//! `dw_request`. A simulated minute takes moments, so that policies can be compared over several seeds.

mod bound;
mod faults;
mod fleet;
mod limits;
mod report;
mod result;
mod scenario;
mod simulation;
mod switches;

use std::fs;

use gumdrop::Options;

use self::{
    report::Row,
    scenario::Scenario,
    simulation::Simulation,
    switches::{Policies, Switch},
};
use crate::fleet::BoxError;

/// Options of `model`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    /// Scenario files.
    #[options(free, required, help = "scenario files")]
    files: Vec<String>,
    /// Number of seeds, which count from 1.
    #[options(default = "5", help = "number of seeds")]
    seeds: u64,
    /// Policies to switch off, each in a row of its own. If none is named, each policy gets a row.
    #[options(
        no_short,
        help = "policy to switch off in a row of its own: short, waits, goals, moves, returns, domain, choice, capacity, speed, queue",
        meta = "NAME"
    )]
    without: Vec<String>,
    /// File for the figures as JSON.
    #[options(help = "file for the figures as JSON", meta = "FILE")]
    json: Option<String>,
}

/// Simulates each scenario with all policies, without each policy of `--without`, and with only the queue
/// left, that is with round-robin balancing and a first-come-first-served queue.
pub(crate) fn run(args: &Args) -> Result<bool, BoxError> {
    let off: Vec<Switch> = match args.without.as_slice() {
        [] => Switch::ALL.to_vec(),
        names => names.iter().map(|name| name.parse()).collect::<Result<_, _>>()?,
    };
    let mut figures = Vec::new();
    for file in &args.files {
        let scenario = Scenario::read(file)?;
        let mut rows = vec![row("damaskwick", &scenario, &[], args.seeds)?];
        for switch in &off {
            rows.push(row(&format!("without {switch}"), &scenario, &[*switch], args.seeds)?);
        }
        let queue_only: Vec<_> =
            Switch::ALL.into_iter().filter(|switch| *switch != Switch::Queue).collect();
        rows.push(row("round robin, fifo", &scenario, &queue_only, args.seeds)?);
        report::print(&scenario, &rows);
        figures.push((scenario.name.clone(), rows));
    }
    if let Some(file) = &args.json {
        fs::write(file, serde_json::to_string_pretty(&figures)?)?;
    }
    Ok(true)
}

fn row(name: &str, scenario: &Scenario, off: &[Switch], seeds: u64) -> Result<Row, BoxError> {
    let policies = Policies::without(off);
    let runs: Vec<_> =
        (1..=seeds).map(|seed| Simulation::new(scenario, &policies, seed).run()).collect();
    let bounds =
        runs.iter().map(|run| bound::upper_bound(scenario, run)).collect::<Result<_, _>>()?;
    Ok(Row { name: name.to_owned(), runs, bounds })
}
