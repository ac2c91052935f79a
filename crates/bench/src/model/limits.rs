use std::{ops::Range, time::Duration};

use serde::Serialize;

use super::scenario::{FaultKind, Scenario, span};

/// Length of the times over which the requests that a target got are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a target first names its limit in which the fleet learns it.
const NOTICE: Duration = Duration::from_millis(500);

/// Length of the times by which it is judged whether a target gets its full share again.
const SHORT: Duration = Duration::from_millis(500);

/// What a target got that named a limit for a while.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Obeyed {
    /// Its position.
    pub(crate) host: usize,
    /// Requests a second that it named.
    pub(crate) rate: f64,
    /// Requests that it got in 4 s: the most, beyond what it named.
    pub(crate) excess: f64,
    /// Requests that it got a second, over the whole time.
    pub(crate) got: f64,
    /// Seconds from the end of the limit until it got at least as many requests as named in half a second,
    /// and a tenth more; none if it did not within 5 s, for example because nobody asked.
    pub(crate) lifted: Option<f64>,
}

impl Obeyed {
    /// The limits of a scenario, with the times at which requests were handed to each host's target.
    pub(crate) fn of(scenario: &Scenario, handed: &[Vec<Duration>]) -> Vec<Self> {
        let limits = scenario.faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Limit { host, rate, time } => {
                let from = span(fault.at);
                Some(Self::one(host, rate, from + NOTICE..from + span(time), &handed[host]))
            }
            _ => None,
        });
        limits.collect()
    }

    fn one(host: usize, rate: f64, time: Range<Duration>, handed: &[Duration]) -> Self {
        let limited: Vec<_> = handed.iter().copied().filter(|at| time.contains(at)).collect();
        let named = rate * WINDOW.as_secs_f64();
        let within = |first: usize| {
            let window = limited[first]..limited[first] + WINDOW;
            limited[first..].iter().take_while(|at| window.contains(at)).count()
        };
        let most = (0..limited.len()).map(within).max().unwrap_or_default();
        let length = (time.end - time.start).as_secs_f64();
        let wanted = rate * SHORT.as_secs_f64() * 1.1 + 1.0;
        let later = handed.iter().filter(|at| **at >= time.end);
        let mut later = later.take_while(|at| **at < time.end + 10 * SHORT);
        let lifted = later.find(|at| {
            let recent = handed.iter().filter(|h| (**at - SHORT..=**at).contains(*h)).count();
            float(recent) > wanted
        });
        Self {
            host,
            rate,
            excess: float(most) - named,
            got: float(limited.len()) / length,
            lifted: lifted.map(|at| (*at - time.end).as_secs_f64()),
        }
    }
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
