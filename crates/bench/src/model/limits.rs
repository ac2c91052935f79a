use std::{ops::Range, time::Duration};

use serde::Serialize;

use super::scenario::{FaultKind, Scenario, duration};

/// Length of the windows in which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time that the fleet is given to learn of a limit after its target first states it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Length of the windows that show whether a target gets its full share again after a limit.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);

/// Requests to a target while it stated a limit.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct LimitCompliance {
    /// Index of the target's host.
    pub(crate) host: usize,
    /// The limit in requests per second.
    pub(crate) rate: f64,
    /// Requests in the busiest 4 s, less those that the limit allows.
    pub(crate) excess: f64,
    /// Mean requests per second while the limit was in force.
    pub(crate) got: f64,
    /// Seconds from the end of the limit until the target got over a tenth more requests in half a second
    /// than the limit allowed. None if that did not happen within 5 s, for example for lack of requests.
    pub(crate) lifted: Option<f64>,
}

impl LimitCompliance {
    /// Figures for each limit of a scenario, from the times at which runs started on each host.
    pub(crate) fn of(scenario: &Scenario, run_starts: &[Vec<Duration>]) -> Vec<Self> {
        let limits = scenario.faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Limit { host, rate, time } => {
                let from = duration(fault.at);
                Some(Self::measure(
                    host,
                    rate,
                    from + NOTICE_TIME..from + duration(time),
                    &run_starts[host],
                ))
            }
            _ => None,
        });
        limits.collect()
    }

    fn measure(host: usize, rate: f64, time: Range<Duration>, run_starts: &[Duration]) -> Self {
        let limited: Vec<_> = run_starts.iter().copied().filter(|at| time.contains(at)).collect();
        let named = rate * WINDOW.as_secs_f64();
        let within = |first: usize| {
            let window = limited[first]..limited[first] + WINDOW;
            limited[first..].iter().take_while(|at| window.contains(at)).count()
        };
        let most = (0..limited.len()).map(within).max().unwrap_or_default();
        let length = (time.end - time.start).as_secs_f64();
        let wanted = rate * RECOVERY_WINDOW.as_secs_f64() * 1.1 + 1.0;
        let later = run_starts.iter().filter(|at| **at >= time.end);
        let mut later = later.take_while(|at| **at < time.end + 10 * RECOVERY_WINDOW);
        let lifted = later.find(|at| {
            let recent =
                run_starts.iter().filter(|h| (**at - RECOVERY_WINDOW..=**at).contains(*h)).count();
            to_f64(recent) > wanted
        });
        Self {
            host,
            rate,
            excess: to_f64(most) - named,
            got: to_f64(limited.len()) / length,
            lifted: lifted.map(|at| (*at - time.end).as_secs_f64()),
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
