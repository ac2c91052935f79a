use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use microlp::{ComparisonOp, OptimizationDirection, Problem};

use super::{
    result::{SimulationResult, WINDOW},
    scenario::{FaultKind, Scenario, duration},
};

/// Number of windows that are solved together. Slot time between the end of a stretch and the objective of
/// its last request also counts for the next stretch, so shorter stretches would loosen the bound.
const WINDOWS_PER_STRETCH: usize = 4;

/// An upper bound on the share of credit that a policy can earn, even if it knows all arrivals and faults.
///
/// For each stretch of time, this is the best mix of requests for the slot time available until the
/// objective of its last request. No policy reaches the bound: it ignores the cost of refused work, of
/// hops, of the order of arrival and of the variance of service times, and counts cold targets as warm.
pub(crate) fn upper_bound(
    scenario: &Scenario,
    result: &SimulationResult,
) -> Result<f64, microlp::Error> {
    let windows = result.routes.first().map_or(0, Vec::len);
    let (mut earned, mut owed) = (0.0, 0.0);
    for start in (0..windows).step_by(WINDOWS_PER_STRETCH) {
        let end = (start + WINDOWS_PER_STRETCH).min(windows);
        let asked: Vec<f64> = result
            .routes
            .iter()
            .map(|counts| counts[start..end].iter().map(|count| f64::from(count.asked)).sum())
            .collect();
        let worth = |(load, asked): (&super::scenario::RouteLoad, &f64)| load.worth * asked;
        owed += scenario.routes.iter().zip(&asked).map(worth).sum::<f64>();
        let from = WINDOW * u32::try_from(start).unwrap_or(u32::MAX);
        let until = WINDOW * u32::try_from(end).unwrap_or(u32::MAX);
        earned += solve_stretch(scenario, &asked, from, until)?;
    }
    Ok(if owed > 0.0 { earned / owed } else { 1.0 })
}

fn solve_stretch(
    scenario: &Scenario,
    asked: &[f64],
    from: Duration,
    until: Duration,
) -> Result<f64, microlp::Error> {
    let longest = scenario.routes.iter().map(|load| duration(load.objective)).max();
    let supply = supply(scenario, from, until + longest.unwrap_or_default());
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut work_terms: BTreeMap<&Name, Vec<_>> = BTreeMap::new();
    for (load, asked) in scenario.routes.iter().zip(asked) {
        if load.rate <= 0.0 {
            continue;
        }
        let var = problem.add_var(load.worth, (0.0, *asked));
        work_terms.entry(&load.service).or_default().push((var, duration(load.work).as_secs_f64()));
        for call in &load.calls {
            let Some(called) = scenario.route(&call.route) else { continue };
            let called = &scenario.routes[called];
            let work = duration(called.work).as_secs_f64() * f64::from(call.times) * call.share;
            work_terms.entry(&called.service).or_default().push((var, work));
        }
    }
    for (service, terms) in work_terms {
        let slots = supply.get(service).copied().unwrap_or_default();
        problem.add_constraint(terms, ComparisonOp::Le, slots);
    }
    Ok(problem.solve()?.objective())
}

/// Seconds of work at speed 1 that the slots of each service can do between `from` and `until`.
fn supply(scenario: &Scenario, from: Duration, until: Duration) -> BTreeMap<&Name, f64> {
    let mut supply = BTreeMap::new();
    for (idx, host) in scenario.hosts.iter().enumerate() {
        let mut end = until;
        let mut missing = 0.0;
        for fault in &scenario.faults {
            if let FaultKind::Lose { host } = fault.kind
                && host == idx
            {
                end = end.min(duration(fault.at));
            }
            if let FaultKind::Leave { host, time } = fault.kind
                && host == idx
            {
                end = end.min(duration(fault.at) + duration(time));
            }
            if let FaultKind::Limit { host: limited, rate, time } = fault.kind
                && limited == idx
            {
                let (start, stop) =
                    (duration(fault.at).max(from), duration(fault.at) + duration(time));
                let seconds = stop.min(until).saturating_sub(start).as_secs_f64();
                let most = f64::from(host.slots) * host.speed;
                missing += seconds * (most - rate * longest_work(scenario, &host.service)).max(0.0);
            }
        }
        let time = end.saturating_sub(from).as_secs_f64();
        let work = time * f64::from(host.slots) * host.speed - missing;
        *supply.entry(&host.service).or_default() += work.max(0.0);
    }
    supply
}

/// Mean work in seconds of the slowest route of a service. A limit counts requests, so requests of this
/// route use it best.
fn longest_work(scenario: &Scenario, service: &Name) -> f64 {
    let routes = scenario.routes.iter().filter(|load| load.service == *service);
    routes.map(|load| duration(load.work).as_secs_f64()).fold(0.0, f64::max)
}
