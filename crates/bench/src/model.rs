//! A load model: the real decisions of `dw_request` with modelled hosts, callers and faults, without
//! sockets. A run of a minute takes a moment, so policies are compared over several seeds.

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
    /// The scenarios.
    #[options(free, required, help = "scenario files")]
    files: Vec<String>,
    /// Seeds from 1.
    #[options(default = "5", help = "number of seeds")]
    seeds: u64,
    /// Policies that are switched off, each in a row of its own; all if none is named.
    #[options(
        no_short,
        help = "policy to switch off in a row of its own: short, waits, goals, moves, returns, domain, choice, queue",
        meta = "NAME"
    )]
    without: Vec<String>,
    /// Where to write JSON.
    #[options(help = "file for the figures as JSON", meta = "FILE")]
    json: Option<String>,
}

/// Plays each scenario with all policies, without each one that is named, and with targets in turn and
/// first come, first served.
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
        let plain: Vec<_> =
            Switch::ALL.into_iter().filter(|switch| *switch != Switch::Queue).collect();
        rows.push(row("round robin, fifo", &scenario, &plain, args.seeds)?);
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
