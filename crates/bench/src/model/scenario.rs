use std::{fs, time::Duration};

use dw_tables::{Capacity, Millis, Name, Repeat};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::Deserialize;

use crate::fleet::BoxError;

/// A load with faults, read from JSON with comments.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// Name in the report.
    pub(crate) name: Name,
    /// How long callers send requests.
    pub(crate) time: Millis,
    /// One-way delay between hosts of one failure domain.
    pub(crate) near: Millis,
    /// One-way delay between failure domains.
    pub(crate) far: Millis,
    /// Time until the other hosts know that a target is lost.
    pub(crate) notice: Millis,
    /// Whether the capacity of targets is learned.
    #[serde(default)]
    pub(crate) capacity: Capacity,
    /// How the demand of failure domains varies; absent if it does not.
    #[serde(default)]
    pub(crate) wave: Option<Wave>,
    /// Short slowdowns of single targets; absent if there are none.
    #[serde(default)]
    pub(crate) noise: Option<Noise>,
    /// The hosts, each with one target.
    pub(crate) hosts: Vec<Host>,
    /// The requests of callers and targets, by route.
    pub(crate) routes: Vec<RouteLoad>,
    /// The faults.
    #[serde(default)]
    pub(crate) faults: Vec<Fault>,
}

/// A wave of the demand of each failure domain, out of phase between domains.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Wave {
    /// Largest deviation from the mean, as a share of it.
    pub(crate) height: f64,
    /// Period.
    pub(crate) period: Millis,
}

/// Slowdowns of some targets at random times.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Noise {
    /// Share of the targets that it affects.
    pub(crate) share: f64,
    /// Factor by which a target is slower.
    pub(crate) factor: f64,
    /// Duration of a slowdown.
    pub(crate) time: Millis,
    /// Mean time between two slowdowns of a target.
    pub(crate) every: Millis,
}

/// A host and the target on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Host {
    /// Its failure domain.
    pub(crate) domain: Name,
    /// The service of its target.
    pub(crate) service: Name,
    /// Requests that its target can run concurrently.
    pub(crate) slots: u32,
    /// Speed of its target, by which service times are divided.
    pub(crate) speed: f64,
    /// Requests in flight above which all service times grow in proportion to their square, so that its
    /// throughput falls; absent if they do not.
    #[serde(default)]
    pub(crate) knee: Option<u32>,
    /// Number of identical hosts that this entry stands for.
    #[serde(default = "one")]
    count: usize,
}

const fn late_credit() -> f64 {
    0.3
}

const fn one() -> usize {
    1
}

/// The requests of one route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteLoad {
    /// Name of the route, from which its path is made.
    pub(crate) name: Name,
    /// The service that it leads to.
    pub(crate) service: Name,
    /// Requests of callers per second in the whole fleet; 0 for routes that only targets call.
    #[serde(default)]
    pub(crate) rate: f64,
    /// Mean service time at a target of speed 1.
    pub(crate) work: Millis,
    /// Standard deviation of the logarithm of the service time.
    pub(crate) spread: f64,
    /// Share of the requests that take `long_factor` times as long.
    #[serde(default)]
    pub(crate) long_share: f64,
    /// See `long_share`.
    #[serde(default)]
    pub(crate) long_factor: f64,
    /// Time within which a response earns full credit.
    pub(crate) objective: Millis,
    /// Time after which callers give up.
    pub(crate) deadline: Millis,
    /// Priority of the route.
    pub(crate) priority: u32,
    /// Whether its requests may run more than once.
    #[serde(default)]
    pub(crate) repeat: Repeat,
    /// How many times callers retry after a refusal.
    #[serde(default)]
    pub(crate) returns: u32,
    /// Credit for a response within the objective.
    pub(crate) worth: f64,
    /// Credit for a later response, as a share of that for a timely one.
    #[serde(default = "late_credit")]
    pub(crate) late: f64,
    /// Calls that a target makes halfway through its work.
    #[serde(default)]
    pub(crate) calls: Vec<CallLoad>,
}

/// Calls that a run makes concurrently.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CallLoad {
    /// The called route.
    pub(crate) route: Name,
    /// Number of calls.
    pub(crate) times: u32,
    /// Share of runs that make these calls.
    pub(crate) share: f64,
}

/// A fault.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Fault {
    /// Time after the start of the scenario.
    pub(crate) at: Millis,
    /// Kind of fault.
    #[serde(flatten)]
    pub(crate) kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(crate) enum FaultKind {
    /// A host is lost with its target.
    Lose {
        /// Index of the host.
        host: usize,
    },
    /// All hosts lose power and start again, with cold targets.
    Restart {
        /// Time until the hosts start again.
        down: Millis,
        /// How long targets are cold.
        cold: Millis,
        /// Factor by which cold targets are slower.
        factor: f64,
    },
    /// A target is slow for a while.
    Slow {
        /// Index of the target's host.
        host: usize,
        /// Factor by which the target is slower.
        factor: f64,
        /// Duration.
        time: Millis,
    },
    /// A target states a limit for a while.
    Limit {
        /// Index of the target's host.
        host: usize,
        /// Requests per second.
        rate: f64,
        /// Duration.
        time: Millis,
    },
    /// A target reports in its responses that it is leaving, and is later lost with its host.
    Leave {
        /// Index of the target's host.
        host: usize,
        /// Time until the host is lost.
        time: Millis,
    },
    /// Callers send more requests for a while.
    Burst {
        /// Factor by which the request rate is higher.
        factor: f64,
        /// Duration.
        time: Millis,
        /// The only route that it affects; absent for all.
        #[serde(default)]
        route: Option<Name>,
    },
    /// A target refuses part of its requests as not run although it has room.
    Refuse {
        /// Index of the target's host.
        host: usize,
        /// Share of the requests.
        share: f64,
        /// Duration.
        time: Millis,
    },
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// The file cannot be read, is not a valid scenario, refers to a route or host that it does not define,
    /// or states a limit that is negative or not finite.
    pub(crate) fn read(path: &str) -> Result<Self, BoxError> {
        let text = fs::read_to_string(path)?;
        let value = parse_to_serde_value(&text, &ParseOptions::default())?;
        let value = value.ok_or("the scenario is empty")?;
        let mut scenario: Self = serde_json::from_value(value)?;
        let alike = |host: Host| std::iter::repeat_n(host.clone(), host.count);
        scenario.hosts = scenario.hosts.into_iter().flat_map(alike).collect();
        scenario.check().map_err(|finding| format!("{path}: {finding}"))?;
        Ok(scenario)
    }

    /// The index of the route with this name.
    pub(crate) fn route(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|route| route.name.as_str() == name)
    }

    fn check(&self) -> Result<(), String> {
        for load in &self.routes {
            for call in &load.calls {
                if self.route(&call.route).is_none() {
                    return Err(format!(
                        "route {:?} calls {:?}, which is not defined",
                        load.name, call.route
                    ));
                }
            }
        }
        for fault in &self.faults {
            if let FaultKind::Lose { host }
            | FaultKind::Slow { host, .. }
            | FaultKind::Limit { host, .. }
            | FaultKind::Leave { host, .. }
            | FaultKind::Refuse { host, .. } = fault.kind
                && host >= self.hosts.len()
            {
                return Err(format!("a fault names host {host} of {}", self.hosts.len()));
            }
            if let FaultKind::Burst { route: Some(route), .. } = &fault.kind
                && self.route(route).is_none()
            {
                return Err(format!("a burst names {route:?}, which is not defined"));
            }
            if let FaultKind::Limit { rate, .. } = fault.kind
                && !(rate.is_finite() && rate >= 0.0)
            {
                return Err(format!("a fault sets an invalid limit of {rate} requests per second"));
            }
        }
        Ok(())
    }
}

/// Converts a time of a scenario.
pub(crate) fn duration(time: Millis) -> Duration {
    Duration::from(time)
}
