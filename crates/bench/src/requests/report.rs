#![allow(clippy::print_stdout)]

use std::fmt::Write as _;

use super::{account::Account, latency::Cost, scenario::capacity, testbed::Side};

/// Latency that the request path may add at p99.
const GOAL_ADDED_MS: f64 = 0.84;
/// Share of the capacity that goodput must reach under overload.
const GOAL_GOODPUT: f64 = 0.9;
/// Share of requests that must get a complete response at half load without faults.
const GOAL_WHOLE: f64 = 0.999;

pub(crate) fn print_header() {
    println!(
        "{:<16} {:<10} {:>6} {:>6} {:>6} {:>7} {:>7} {:>5} {:>6} {:>4} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "scenario",
        "side",
        "sent",
        "whole",
        "error",
        "not-run",
        "unknown",
        "twice",
        "misrep",
        "bad",
        "runs",
        "good/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
}

pub(crate) fn print_account(row: &Account) {
    let mut reasons = String::new();
    for (reason, count) in &row.reasons {
        // Writing to a string cannot fail.
        let _ = write!(reasons, " {reason} {count}");
    }
    println!(
        "{:<16} {:<10} {:>6} {:>6} {:>6} {:>7} {:>7} {:>5} {:>6} {:>4} {:>6} {:>8.0} {:>8.2} {:>8.2} {:>8.2} {}{}",
        row.scenario,
        row.side,
        row.sent,
        row.whole,
        row.error,
        row.not_run,
        row.unknown,
        row.twice,
        row.misreported,
        row.bad,
        row.runs,
        row.goodput,
        row.p50_ms,
        row.p99_ms,
        row.p999_ms,
        row.note,
        reasons
    );
}

/// Prints the costs, with the latency that each side adds to that of direct calls.
pub(crate) fn print_costs(costs: &[Cost]) {
    let Some(direct) = costs.first() else { return };
    for cost in costs {
        println!(
            "cost {:<10} saturation {:>7.0}/s cpu {:>6.1} us/call own {:>8.0} calls/s/core \
             {:>5.1} KiB/conn | at {:>6.0}/s p50 {} p99 {} p99.9 {} us, added {} {} {} us",
            cost.side,
            cost.saturation,
            cost.cpu_us,
            cost.per_core,
            cost.connection_kib,
            cost.rate,
            cost.p50_us,
            cost.p99_us,
            cost.p999_us,
            cost.p50_us.saturating_sub(direct.p50_us),
            cost.p99_us.saturating_sub(direct.p99_us),
            cost.p999_us.saturating_sub(direct.p999_us),
        );
    }
}

/// Prints each missed goal. Returns false if a figure that must be 0 is not.
pub(crate) fn print_missed_goals(accounts: &[Account], costs: &[Cost]) -> bool {
    let ours = Side::Damaskwick.to_string();
    let mut good = true;
    for row in accounts.iter().filter(|row| row.side == ours) {
        if row.is_wrong() {
            good = false;
            println!(
                "WRONG {}: ran twice {}, misreported {}, bad {}",
                row.scenario, row.twice, row.misreported, row.bad
            );
        }
        match row.scenario.as_str() {
            "load-0.5" if (row.whole as f64) < GOAL_WHOLE * row.sent as f64 => {
                println!("MISSED {}: whole {} of {}", row.scenario, row.whole, row.sent);
            }
            "load-1" | "load-2" | "load-4" if row.goodput < GOAL_GOODPUT * capacity() => {
                println!("MISSED {}: {:.0}/s of {:.0}/s", row.scenario, row.goodput, capacity());
            }
            _ => {}
        }
    }
    if let Some(direct) = costs.first()
        && let Some(cost) = costs.iter().find(|cost| cost.side == ours)
    {
        let added = cost.p99_us.saturating_sub(direct.p99_us) as f64 / 1000.0;
        if added > GOAL_ADDED_MS {
            println!("MISSED latency: {added:.2} ms added at p99, goal {GOAL_ADDED_MS} ms");
        }
    }
    good
}
