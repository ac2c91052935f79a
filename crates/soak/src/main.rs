//! Runs fault schedules against real daemons and prints the promises that were broken.

use std::{env, fs, future::pending, process::ExitCode, time::Duration};

use dw_soak::{Error, Report, Schedule, SoakRun};
use gumdrop::Options;
use tokio::signal::{
    ctrl_c,
    unix::{SignalKind, signal},
};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,

    #[options(no_short, help = "number of seeds", default = "1")]
    seeds: u64,

    #[options(no_short, help = "length of a run in seconds, at least 20", default = "60")]
    time: u64,

    #[options(no_short, help = "hosts, each with a daemon and a target, 2 to 200", default = "8")]
    hosts: usize,

    #[options(no_short, help = "callers of each host", default = "6")]
    callers: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.time < 20 || !(2..=200).contains(&args.hosts) {
        print("a run takes 20 s or more and has 2 to 200 hosts");
        return ExitCode::from(2);
    }
    // The daemons of a run end with it, even when the soak itself receives a signal.
    tokio::select! {
        code = run_seeds(&args) => code,
        () = wait_for_signal() => {
            print("told to stop; the run is not counted");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return pending().await };
    tokio::select! {
        _ = term.recv() => {}
        _ = ctrl_c() => {}
    }
}

async fn run_seeds(args: &Args) -> ExitCode {
    let mut broken = 0;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        match run_seed(args, seed).await {
            Ok(report) => broken += u32::from(!report.findings.is_empty()),
            Err(error) => {
                print(&format!("seed {seed}: {error}"));
                return ExitCode::from(4);
            }
        }
    }
    print(&format!("{broken} of {} seeds broke a promise", args.seeds));
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed. Logs and findings are kept in a temporary folder if a promise was broken.
async fn run_seed(args: &Args, seed: u64) -> Result<Report, Error> {
    let fleet_id = u8::try_from(std::process::id() % 100).unwrap_or_default();
    let folder = env::temp_dir().join(format!("dw-soak-{}-{seed}", std::process::id()));
    let time = Duration::from_secs(args.time);
    let schedule = Schedule::new(seed, args.hosts, time);
    let soak_run = SoakRun::new(&folder, fleet_id)
        .with_hosts(args.hosts)
        .with_callers(args.callers)
        .with_time(time);
    let report = soak_run.run(&schedule, seed).await?;
    let (sent, served) = report.served();
    let faults: Vec<_> =
        report.faults.iter().map(|(fault, count)| format!("{fault} {count}")).collect();
    print(&format!(
        "seed {seed}: {served} of {sent} requests served; fullest limit: {}; {}",
        report.highest_usage().map_or_else(|| "none".to_owned(), |usage| usage.to_string()),
        faults.join(", ")
    ));
    if report.findings.is_empty() {
        fs::remove_dir_all(&folder)?;
        return Ok(report);
    }
    let found: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    let plans = schedule.plans.iter().map(|plan| format!("{plan:?}")).collect::<Vec<_>>();
    let text = format!("{}\n\n{}\n\n{:#?}\n", found.join("\n"), plans.join("\n"), report.history);
    fs::write(folder.join("findings.txt"), text)?;
    for finding in found.iter().take(20) {
        print(&format!("  {finding}"));
    }
    print(&format!(
        "  {} findings; logs and history in {}; again with --seed {seed} --time {} --hosts {} --callers {}",
        found.len(),
        folder.display(),
        args.time,
        args.hosts,
        args.callers
    ));
    Ok(report)
}

#[expect(clippy::print_stdout, reason = "the report is the output of the program")]
fn print(line: &str) {
    println!("{line}");
}
