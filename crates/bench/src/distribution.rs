mod faults;
mod measure;
mod report;
mod watchers;

use std::{fs, time::Duration};

use gumdrop::Options;
use serde::Serialize;

use self::measure::Mode;
use crate::fleet::BoxError;

/// Options of `distribution`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    /// Fleet sizes, separated by commas.
    #[options(default = "25,50,100,200,400", help = "fleet sizes, separated by commas")]
    sizes: String,
    /// Number of failure domains.
    #[options(default = "9", help = "failure domains")]
    domains: usize,
    /// Seconds of each measured period.
    #[options(default = "10", help = "seconds of each measured period")]
    seconds: u64,
    /// Rows added to the example tables.
    #[options(default = "200", help = "rows added to the example tables")]
    rows: usize,
    /// Fleet size for the faults; 0 skips them.
    #[options(default = "100", help = "fleet size for the faults, 0 for none")]
    faults: usize,
    /// File for the figures as JSON.
    #[options(help = "file for the figures as JSON", meta = "FILE")]
    json: Option<String>,
}

/// All figures of one run.
#[derive(Debug, Serialize)]
struct Run {
    scale: Vec<measure::Scale>,
    fits: Vec<report::Fit>,
    watchers: Vec<watchers::Watchers>,
    faults: Vec<faults::Fault>,
}

/// Runs the benchmark. Returns false if a goal was missed.
pub(crate) async fn run(args: Args) -> Result<bool, BoxError> {
    let sizes: Vec<usize> = args.sizes.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let period = Duration::from_secs(args.seconds);
    let mut scale = Vec::new();
    // The outer loop is that over the sizes, which should ascend: the memory of an earlier fleet is not
    // returned to the system and would count for a later, smaller one.
    for &size in &sizes {
        for mode in [Mode::Cooperative, Mode::Verband, Mode::Gossip] {
            let row = measure::measure_scale(size, args.domains, mode, args.rows, period).await?;
            report::print_scale(&row);
            report::print_kinds(&row);
            scale.push(row);
        }
    }
    let mut watchers = Vec::new();
    for &size in &sizes {
        let row = watchers::run(size, args.rows, period).await?;
        report::print_watchers(&row);
        watchers.push(row);
    }
    let mut faults = Vec::new();
    if args.faults > 0 {
        for kind in faults::Kind::ALL {
            let row = faults::run(kind, args.faults, args.domains, args.rows).await?;
            report::print_fault(&row);
            faults.push(row);
        }
    }
    let fits = report::fits(&scale);
    fits.iter().for_each(report::print_fit);
    let good = report::print_missed_goals(&scale, &fits, &faults);
    if let Some(file) = args.json {
        fs::write(file, serde_json::to_string_pretty(&Run { scale, fits, watchers, faults })?)?;
    }
    Ok(good)
}
