#![allow(clippy::print_stdout)]

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::{
    faults::Fault,
    measure::{Scale, usize_to_f64},
    watchers::Watchers,
};
use crate::fit::Line;

/// Fleet size to which the figures are extrapolated.
const TARGET_SIZE: f64 = 4200.0;

/// Goals at `TARGET_SIZE`.
const GOAL_MS: f64 = 4000.0;
const GOAL_BYTES_PER_SECOND: f64 = 5000.0;
const GOAL_CPU_PERCENT: f64 = 1.5;
const GOAL_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;

/// A line fitted to one figure over the fleet sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fit {
    pub preset: String,
    pub figure: &'static str,
    pub line: Line,
    /// Value of the line at 4,200 daemons.
    pub target: f64,
    /// The goal for that value, if there is one.
    pub goal: Option<f64>,
}

pub(crate) fn print_scale(row: &Scale) {
    println!(
        "{:<12} n={:<4} joined {:>5.1}s | edit ms median {:>6.1} p99 {:>6.1} worst {:>7.1} missing {} \
         | B/s idle {:>6.0} daily {:>6.0} x10 {:>6.0} edit {:>6.0} B | platform calls/s {:>5.1} \
         watches {} | cpu% idle {:.3} x10 {:.3} | KiB {:.0}",
        row.preset,
        row.size,
        row.joined.unwrap_or(f64::NAN),
        row.median_ms,
        row.p99_ms,
        row.worst_ms,
        row.missing,
        row.idle_bytes,
        row.daily_bytes,
        row.tenfold_bytes,
        row.edit_bytes,
        row.calls,
        row.watches,
        row.idle_cpu,
        row.tenfold_cpu,
        row.memory / 1024.0,
    );
}

pub(crate) fn print_watchers(row: &Watchers) {
    println!(
        "each watches  n={:<4} edit ms median {:>6.1} p99 {:>6.1} worst {:>7.1} missing {} \
         | platform B/s idle {:>6.0} a daemon, edit {:>6.0} B a daemon | calls/s idle {:.1}, {:.0} \
         an edit, watches {}",
        row.size,
        row.median_ms,
        row.p99_ms,
        row.worst_ms,
        row.missing,
        row.idle_bytes,
        row.edit_bytes,
        row.idle_calls,
        row.edit_calls,
        row.watches,
    );
}

/// Prints idle traffic and platform calls by kind.
pub(crate) fn print_kinds(row: &Scale) {
    let list = |kinds: &BTreeMap<&'static str, f64>| {
        let parts: Vec<String> = kinds.iter().map(|(k, v)| format!("{k} {v:.1}")).collect();
        parts.join(", ")
    };
    println!("    idle B/s: {} | calls/s: {}", list(&row.idle_kinds), list(&row.call_kinds));
}

pub(crate) fn print_fault(row: &Fault) {
    println!(
        "fault: {:<30} n={} median {:.0} ms worst {:.0} ms missing {}",
        row.fault, row.size, row.median_ms, row.worst_ms, row.missing
    );
}

pub(crate) fn print_fit(row: &Fit) {
    println!(
        "fit: {:<12} {:<14} {:>10.2} + {:>9.5} n (residual {:.2}) -> {:>12.1} at 4200{}",
        row.preset,
        row.figure,
        row.line.intercept,
        row.line.slope,
        row.line.residual,
        row.target,
        row.goal.map_or(String::new(), |goal| format!(", goal {goal:.1}")),
    );
}

/// Fits a line to each figure over the fleet sizes, for each preset.
pub(crate) fn fits(rows: &[Scale]) -> Vec<Fit> {
    type Figure = (&'static str, Option<f64>, fn(&Scale) -> f64);
    const FIGURES: [Figure; 9] = [
        ("worst ms", Some(GOAL_MS), |r| r.worst_ms),
        ("idle B/s", Some(GOAL_BYTES_PER_SECOND), |r| r.idle_bytes),
        ("daily B/s", Some(GOAL_BYTES_PER_SECOND), |r| r.daily_bytes),
        ("x10 B/s", None, |r| r.tenfold_bytes),
        ("edit B", None, |r| r.edit_bytes),
        ("platform /s", None, |r| r.calls),
        ("idle cpu %", Some(GOAL_CPU_PERCENT), |r| r.idle_cpu),
        ("x10 cpu %", Some(GOAL_CPU_PERCENT), |r| r.tenfold_cpu),
        ("memory B", Some(GOAL_MEMORY_BYTES), |r| r.memory),
    ];
    let presets: BTreeSet<&String> = rows.iter().map(|row| &row.preset).collect();
    let mut fits = Vec::new();
    for preset in presets {
        for (figure, goal, value) in FIGURES {
            let points: Vec<(f64, f64)> = rows
                .iter()
                .filter(|row| row.preset == *preset)
                .map(|row| (usize_to_f64(row.size), value(row)))
                .collect();
            let line = Line::fit(&points);
            let target = line.at(TARGET_SIZE);
            fits.push(Fit { preset: preset.clone(), figure, line, target, goal });
        }
    }
    fits
}

/// Prints each missed goal. Returns true if none was missed.
pub(crate) fn print_missed_goals(rows: &[Scale], fits: &[Fit], faults: &[Fault]) -> bool {
    let mut missed = Vec::new();
    for row in rows.iter().filter(|row| row.preset != "gossip only") {
        if row.worst_ms > GOAL_MS || row.missing > 0 {
            missed.push(format!("{} n={}: worst {:.0} ms", row.preset, row.size, row.worst_ms));
        }
    }
    for row in faults {
        if row.worst_ms > GOAL_MS || row.missing > 0 {
            missed.push(format!("{}: worst {:.0} ms", row.fault, row.worst_ms));
        }
    }
    for fit in fits.iter().filter(|fit| fit.preset != "gossip only") {
        if fit.goal.is_some_and(|goal| fit.target > goal) {
            missed.push(format!("{} {} at 4200: {:.1}", fit.preset, fit.figure, fit.target));
        }
    }
    missed.iter().for_each(|line| println!("MISSED {line}"));
    missed.is_empty()
}
