use super::{
    result::{Count, SimulationResult},
    scenario::Scenario,
};

/// Results of one set of policies over all seeds.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Row {
    pub(crate) name: String,
    pub(crate) runs: Vec<SimulationResult>,
    /// Upper bound on the worth, by seed.
    pub(crate) bounds: Vec<f64>,
}

impl Row {
    fn mean(&self, value: impl Fn(&SimulationResult) -> f64) -> f64 {
        let runs = u32::try_from(self.runs.len()).unwrap_or(u32::MAX).max(1);
        self.runs.iter().map(value).sum::<f64>() / f64::from(runs)
    }
}

/// Prints a row for each set of policies, and the worth of the first by window.
#[expect(clippy::print_stdout, reason = "the report is the output of the bench")]
pub(crate) fn print(scenario: &Scenario, rows: &[Row]) {
    println!("{}: worth is credit earned of credit owed", scenario.name);
    print!("{:<20} {:>6} {:>6} {:>6}", "policies", "worth", "worst", "waste");
    let caller_routes: Vec<usize> =
        (0..scenario.routes.len()).filter(|idx| scenario.routes[*idx].rate > 0.0).collect();
    for idx in &caller_routes {
        print!("  {:>26}", scenario.routes[*idx].name);
    }
    println!("\n{:<41}  timely  late refused failed", "");
    for row in rows {
        let worst = |run: &SimulationResult| {
            let windows = run.routes.first().map_or(0, Vec::len).saturating_sub(1);
            (0..windows).map(|at| run.worth_in(at..at + 1)).fold(1.0, f64::min)
        };
        let waste = |run: &SimulationResult| {
            let all: f64 = run.slots.iter().sum();
            if all > 0.0 { run.wasted.iter().sum::<f64>() / all } else { 0.0 }
        };
        let (worth, worst) = (row.mean(SimulationResult::worth), row.mean(worst));
        print!("{:<20} {worth:>6.3} {worst:>6.3} {:>6.3}", row.name, row.mean(waste));
        for idx in &caller_routes {
            let part = |value: fn(Count) -> u32| {
                row.mean(|run| share(value(run.total(*idx)), run.total(*idx).asked))
            };
            print!(
                "  {:>5.3} {:>6.3} {:>6.3} {:>6.3}",
                part(|count| count.timely),
                part(|count| count.late),
                part(|count| count.refused),
                part(|count| count.failed)
            );
        }
        println!();
    }
    let Some(first) = rows.first() else { return };
    let seeds = u32::try_from(first.bounds.len()).unwrap_or(u32::MAX).max(1);
    let bound = first.bounds.iter().sum::<f64>() / f64::from(seeds);
    println!("{:<20} {bound:>6.3} with all arrivals known before", "upper bound");
    let windows = first.runs.first().map_or(0, |run| run.routes.first().map_or(0, Vec::len));
    let over_time: Vec<String> = (0..windows.saturating_sub(1))
        .map(|at| format!("{:.2}", first.mean(|run| run.worth_in(at..at + 1))))
        .collect();
    print_limits(first);
    println!("worth of {} in windows of 2 s: {}\n", first.name, over_time.join(" "));
}

/// How many limits are printed: those that were exceeded most.
const MAX_LIMITS_PRINTED: usize = 8;

/// Prints the requests to targets that stated a limit, most exceeded limits first. The excess is the worst
/// over all seeds.
#[expect(clippy::print_stdout, reason = "the report is the output of the bench")]
fn print_limits(row: &Row) {
    let count = row.runs.first().map_or(0, |run| run.limits.len());
    let excess =
        |idx: &usize| row.runs.iter().map(|run| run.limits[*idx].excess).fold(f64::MIN, f64::max);
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by(|a, b| excess(b).total_cmp(&excess(a)));
    for idx in order.iter().take(MAX_LIMITS_PRINTED) {
        let all: Vec<_> = row.runs.iter().map(|run| run.limits[*idx]).collect();
        let got = row.mean(|run| run.limits[*idx].got);
        let lifted: Vec<f64> = all.iter().filter_map(|limit| limit.lifted).collect();
        println!(
            "host {} named {} a second and got {got:.1}; most in 4 s: {:+.0}; more again after at most \
             {:.2} s in {} of {} seeds",
            all[0].host,
            all[0].rate,
            excess(idx),
            lifted.iter().copied().fold(0.0, f64::max),
            lifted.len(),
            all.len()
        );
    }
    if count > MAX_LIMITS_PRINTED {
        println!("and {} more limits", count - MAX_LIMITS_PRINTED);
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
