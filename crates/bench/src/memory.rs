use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::fleet::BoxError;

mod config;
mod load;
mod process;
mod testbed;

use process::Memory;
use testbed::Testbed;

/// Interval between samples of the daemon's memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Idle routes of the first configuration.
const IDLE_ROUTES: usize = 800;

/// Idle routes that are added at once.
const ADDED_ROUTES: usize = 1400;

/// Versions in quick succession, and the time between two of them.
const VERSIONS: u64 = 25;
const VERSION_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `memory`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    /// Further daemons, which run in the benchmark's own process.
    #[options(default = "81", help = "peers of the measured daemon")]
    peers: usize,
    /// Seconds of each phase but the quick succession of versions, which lasts 5.
    #[options(default = "6", help = "seconds of a phase")]
    seconds: u64,
    /// Requests a second that the measured daemon gets from its callers, and as many from its peers.
    #[options(default = "20", help = "requests a second from callers, and from peers")]
    rate: u32,
    #[options(help = "the daemon's program; by default damaskwick-sidecar beside dw_bench")]
    program: Option<String>,
    #[options(help = "print the mappings of the daemon with the most resident memory")]
    maps: bool,
    #[options(help = "write the figures to this file", meta = "FILE")]
    json: Option<String>,
}

/// The daemon's use of memory and processor time in one phase.
#[derive(Debug, Serialize)]
struct Phase {
    name: &'static str,
    mean_kb: u64,
    peak_kb: u64,
    /// Anonymous and file pages at the end of the phase.
    anon_kb: u64,
    file_kb: u64,
    /// Processor time of the phase.
    cpu_ms: u64,
}

/// Starts one daemon as a separate process among peers, and prints its resident memory by phase. Returns
/// false if a request failed.
pub(crate) async fn run(args: Args) -> Result<bool, BoxError> {
    let mut bed = Testbed::start(args.peers, args.program.as_deref()).await?;
    let length = Duration::from_secs(args.seconds);
    let mut phases = vec![measure(&bed, "start", length).await?];
    bed.write(1, IDLE_ROUTES)?;
    bed.wait_ready().await?;
    phases.push(measure(&bed, "800 routes", length).await?);
    bed.start_peers().await?;
    phases.push(measure(&bed, "peers", length).await?);
    bed.start_load(args.rate);
    phases.push(measure(&bed, "load", length * 2).await?);
    bed.write(2, IDLE_ROUTES + ADDED_ROUTES)?;
    phases.push(measure(&bed, "1400 more", length).await?);
    let writes = async {
        for number in 0..VERSIONS {
            bed.write(3 + number, IDLE_ROUTES + ADDED_ROUTES)?;
            sleep(VERSION_INTERVAL).await;
        }
        Ok::<_, BoxError>(())
    };
    let length_of_writes = VERSION_INTERVAL * u32::try_from(VERSIONS)?;
    let (written, versions) = tokio::join!(writes, measure(&bed, "25 versions", length_of_writes));
    written?;
    phases.push(versions?);
    phases.push(measure(&bed, "after", length * 2).await?);
    print(&phases, &bed);
    if args.maps {
        print_maps(&bed)?;
    }
    if let Some(file) = args.json {
        std::fs::write(file, serde_json::to_vec_pretty(&phases)?)?;
    }
    let failed = bed.failed();
    bed.close().await;
    Ok(failed.is_empty())
}

async fn measure(bed: &Testbed, name: &'static str, length: Duration) -> Result<Phase, BoxError> {
    let (start, before) = (Instant::now(), bed.cpu());
    let mut samples: Vec<Memory> = Vec::new();
    while start.elapsed() < length {
        sleep(SAMPLE_INTERVAL).await;
        samples.push(bed.memory()?);
    }
    let last = samples.last().copied().unwrap_or_default();
    let count = u64::try_from(samples.len())?.max(1);
    Ok(Phase {
        name,
        mean_kb: samples.iter().map(|sample| sample.resident).sum::<u64>() / count,
        peak_kb: samples.iter().map(|sample| sample.resident).max().unwrap_or_default(),
        anon_kb: last.anonymous,
        file_kb: last.file,
        cpu_ms: u64::try_from((bed.cpu() - before).as_millis())?,
    })
}

#[allow(clippy::print_stdout)]
fn print(phases: &[Phase], bed: &Testbed) {
    println!(
        "{:12} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "phase", "mean", "peak", "anon", "file", "cpu ms"
    );
    for Phase { name, mean_kb, peak_kb, anon_kb, file_kb, cpu_ms } in phases {
        println!("{name:12} {mean_kb:8} {peak_kb:8} {anon_kb:8} {file_kb:8} {cpu_ms:8}");
    }
    let failed = bed.failed();
    println!(
        "memory in KB; {} requests, {} of them failed",
        bed.sent(),
        failed.values().sum::<u64>()
    );
    for (failure, count) in failed {
        println!("{count:6} {failure}");
    }
}

#[allow(clippy::print_stdout)]
fn print_maps(bed: &Testbed) -> Result<(), BoxError> {
    for (name, resident) in bed.maps()? {
        println!("{resident:8} KB  {name}");
    }
    Ok(())
}
