//! A short soak run with a fixed seed.

use std::{env, time::Duration};

use dw_soak::{Fault, Schedule, SoakRun};
use googletest::prelude::*;

const TIME: Duration = Duration::from_secs(30);

/// Guards against schedules that are not determined by the seed, and against kinds of faults that
/// are never scheduled.
#[gtest]
fn a_seed_gives_one_schedule() {
    expect_that!(Schedule::new(3, 8, TIME), eq(&Schedule::new(3, 8, TIME)));
    let all = (0..50).flat_map(|seed| Schedule::new(seed, 8, TIME).plans);
    let mut kinds: Vec<_> = all.map(|plan| plan.fault.to_string()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    expect_that!(kinds, len(eq(17)));
}

/// Guards against daemons that break a promise to callers or targets while faults overlap.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_keeps_every_promise() -> Result<()> {
    let folder = env::temp_dir().join(format!("dw-soak-short-{}", std::process::id()));
    let mut schedule = Schedule::new(1, 8, TIME);
    // Adds a limit that lasts long enough to be checked, whatever the seed draws.
    let limit = Fault::Limit { host: 0, rate: 5.0 };
    schedule.plans.retain(|plan| {
        !matches!(
            plan.fault,
            Fault::Limit { host: 0, .. } | Fault::Crash { host: 0 } | Fault::Leave { host: 0 }
        )
    });
    schedule.plans.push(dw_soak::Plan {
        at: Duration::from_secs(2),
        fault: limit,
        time: Duration::from_secs(16),
    });
    let report = SoakRun::new(&folder, 101).with_time(TIME).run(&schedule, 1).await?;
    let found: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    expect_that!(found, is_empty());
    let (sent, _) = report.served();
    expect_that!(sent, gt(1_000));
    if found.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}
