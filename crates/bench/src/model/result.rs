use std::time::Duration;

use serde::Serialize;

use super::{
    limits::LimitCompliance,
    scenario::{Scenario, duration},
};

/// Length of the windows in which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(2);

/// Outcomes of the requests of callers on one route, in one window or in total.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Count {
    pub(crate) asked: u32,
    pub(crate) timely: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
}

/// Outcomes of the calls of targets on one route.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct CallCount {
    pub(crate) served: u32,
    pub(crate) failed: u32,
    /// Total seconds until the responses of the served calls.
    pub(crate) time: f64,
}

/// Result of one simulation.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SimulationResult {
    /// Outcomes by route, and by the window in which the request was first sent.
    pub(crate) routes: Vec<Vec<Count>>,
    /// Seconds of slot time used, by route.
    pub(crate) slots: Vec<f64>,
    /// Seconds of slot time used by runs that failed, by route.
    pub(crate) wasted: Vec<f64>,
    /// Outcomes of the calls of targets, by route.
    pub(crate) calls: Vec<CallCount>,
    /// Requests to targets that stated a limit, by fault.
    pub(crate) limits: Vec<LimitCompliance>,
    #[serde(skip)]
    worth: Vec<f64>,
    #[serde(skip)]
    late: Vec<f64>,
    /// Times since the start at which runs started, by host.
    #[serde(skip)]
    run_starts: Vec<Vec<Duration>>,
}

impl SimulationResult {
    /// An empty result.
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let windows = usize::try_from(duration(scenario.time).as_secs() / WINDOW.as_secs() + 1);
        let routes = scenario.routes.len();
        Self {
            routes: vec![vec![Count::default(); windows.unwrap_or(1)]; routes],
            slots: vec![0.0; routes],
            wasted: vec![0.0; routes],
            calls: vec![CallCount::default(); routes],
            limits: Vec::new(),
            run_starts: vec![Vec::new(); scenario.hosts.len()],
            worth: scenario.routes.iter().map(|route| route.worth).collect(),
            late: scenario.routes.iter().map(|route| route.late).collect(),
        }
    }

    /// Counts a request that a caller sent at this time after the start.
    pub(crate) fn add_asked(&mut self, route: usize, sent: Duration) {
        self.count_mut(route, sent).asked += 1;
    }

    /// Counts a request that was answered within its objective.
    pub(crate) fn add_timely(&mut self, route: usize, sent: Duration) {
        self.count_mut(route, sent).timely += 1;
    }

    /// Counts a request that was answered after its objective but before its deadline.
    pub(crate) fn add_late(&mut self, route: usize, sent: Duration) {
        self.count_mut(route, sent).late += 1;
    }

    /// Counts a request that was refused and is not retried.
    pub(crate) fn add_refused(&mut self, route: usize, sent: Duration) {
        self.count_mut(route, sent).refused += 1;
    }

    /// Counts a request that failed.
    pub(crate) fn add_failed(&mut self, route: usize, sent: Duration) {
        self.count_mut(route, sent).failed += 1;
    }

    /// Records that a run started at the target of a host.
    pub(crate) fn record_start(&mut self, host: usize, at: Duration) {
        self.run_starts[host].push(at);
    }

    /// Fills in the figures of the limits.
    pub(crate) fn summarize_limits(mut self, scenario: &Scenario) -> Self {
        self.limits = LimitCompliance::of(scenario, &self.run_starts);
        self
    }

    /// Records that a run used a slot for this time.
    pub(crate) fn record_run(&mut self, route: usize, time: Duration, failed: bool) {
        self.slots[route] += time.as_secs_f64();
        if failed {
            self.wasted[route] += time.as_secs_f64();
        }
    }

    /// Records that a call of a target ended after this time.
    pub(crate) fn record_call(&mut self, route: usize, took: Duration, good: bool) {
        let calls = &mut self.calls[route];
        if good {
            calls.served += 1;
            calls.time += took.as_secs_f64();
        } else {
            calls.failed += 1;
        }
    }

    /// The outcomes of a route, summed over all windows.
    pub(crate) fn total(&self, route: usize) -> Count {
        self.routes[route].iter().fold(Count::default(), |sum, count| sum.plus(*count))
    }

    /// Credit earned as a share of the credit possible, from 0 to 1.
    pub(crate) fn worth(&self) -> f64 {
        self.worth_in(0..self.routes.first().map_or(0, Vec::len))
    }

    /// The same within the given windows.
    pub(crate) fn worth_in(&self, windows: std::ops::Range<usize>) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for ((counts, worth), late) in self.routes.iter().zip(&self.worth).zip(&self.late) {
            for count in &counts[windows.clone()] {
                earned += worth * (f64::from(count.timely) + late * f64::from(count.late));
                owed += worth * f64::from(count.asked);
            }
        }
        if owed > 0.0 { earned / owed } else { 1.0 }
    }

    fn count_mut(&mut self, route: usize, sent: Duration) -> &mut Count {
        let windows = &mut self.routes[route];
        let last = windows.len() - 1;
        let idx = usize::try_from(sent.as_millis() / WINDOW.as_millis()).unwrap_or(last);
        &mut windows[idx.min(last)]
    }
}

impl Count {
    /// The sum of both.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            timely: self.timely + other.timely,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}
