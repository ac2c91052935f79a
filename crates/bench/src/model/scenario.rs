use std::{fs, time::Duration};

use dw_tables::{Millis, Name, Repeat};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::Deserialize;

use crate::fleet::BoxError;

/// A load and what goes wrong under it, read from JSON with comments.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// Shown in the report.
    pub(crate) name: Name,
    /// How long callers send requests.
    pub(crate) time: Millis,
    /// One-way delay between hosts of one failure domain.
    pub(crate) near: Millis,
    /// One-way delay between failure domains.
    pub(crate) far: Millis,
    /// After which time the other hosts know that a target is lost.
    pub(crate) notice: Millis,
    /// The hosts, each with one target.
    pub(crate) hosts: Vec<Host>,
    /// What callers and targets ask for.
    pub(crate) routes: Vec<RouteLoad>,
    /// What goes wrong.
    #[serde(default)]
    pub(crate) faults: Vec<Fault>,
}

/// A host and the target on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Host {
    /// Its failure domain.
    pub(crate) domain: Name,
    /// What its target runs.
    pub(crate) service: Name,
    /// Requests that the target runs at once.
    pub(crate) slots: u32,
    /// How fast it works.
    pub(crate) speed: f64,
    /// Hosts like this one, this one included.
    #[serde(default = "one")]
    count: usize,
}

const fn one() -> usize {
    1
}

/// The requests of one route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteLoad {
    /// The route's name and path.
    pub(crate) name: Name,
    /// Where it goes.
    pub(crate) service: Name,
    /// Requests of callers a second in the whole fleet; none for calls of targets.
    #[serde(default)]
    pub(crate) rate: f64,
    /// Mean time at a target of speed 1.
    pub(crate) work: Millis,
    /// Standard deviation of its logarithm.
    pub(crate) spread: f64,
    /// Time within which an answer is worth most.
    pub(crate) objective: Millis,
    /// Time that callers wait.
    pub(crate) deadline: Millis,
    /// Rank of the route.
    pub(crate) priority: u32,
    /// Whether it may run more than once.
    #[serde(default)]
    pub(crate) repeat: Repeat,
    /// Times that callers come back after a refusal.
    #[serde(default)]
    pub(crate) returns: u32,
    /// What an answer in time is worth.
    pub(crate) worth: f64,
    /// Calls that a target makes before it works.
    #[serde(default)]
    pub(crate) calls: Vec<CallLoad>,
}

/// Calls that a run makes at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CallLoad {
    /// The route called.
    pub(crate) route: Name,
    /// How many.
    pub(crate) times: u32,
    /// Share of the runs that make them.
    pub(crate) share: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Fault {
    /// When.
    pub(crate) at: Millis,
    /// What.
    #[serde(flatten)]
    pub(crate) kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(crate) enum FaultKind {
    /// A host is lost with its target.
    Lose {
        /// Its position.
        host: usize,
    },
    /// All hosts lose power and start again; targets are slow at first.
    Restart {
        /// How long they are down.
        down: Millis,
        /// How long targets are slow.
        cold: Millis,
        /// How much slower.
        factor: f64,
    },
    /// A target is slow for a while.
    Slow {
        /// Its position.
        host: usize,
        /// How much slower.
        factor: f64,
        /// How long.
        time: Millis,
    },
    /// A target names a limit for a while.
    Limit {
        /// Its position.
        host: usize,
        /// Requests a second.
        rate: f64,
        /// How long.
        time: Millis,
    },
    /// A target says in its responses that it is leaving, and is lost with its host some time later.
    Leave {
        /// Its position.
        host: usize,
        /// How much later.
        time: Millis,
    },
    /// More callers for a while.
    Burst {
        /// How many times as many.
        factor: f64,
        /// How long.
        time: Millis,
    },
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// The file cannot be read, is no scenario, or names a route or host that it does not have.
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

    /// The position of a route.
    pub(crate) fn route(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|route| route.name.as_str() == name)
    }

    fn check(&self) -> Result<(), String> {
        for load in &self.routes {
            for call in &load.calls {
                if self.route(&call.route).is_none() {
                    return Err(format!(
                        "route {:?} calls {:?}: no such route",
                        load.name, call.route
                    ));
                }
            }
        }
        for fault in &self.faults {
            if let FaultKind::Lose { host }
            | FaultKind::Slow { host, .. }
            | FaultKind::Limit { host, .. }
            | FaultKind::Leave { host, .. } = fault.kind
                && host >= self.hosts.len()
            {
                return Err(format!("a fault names host {host} of {}", self.hosts.len()));
            }
            if let FaultKind::Limit { rate, .. } = fault.kind
                && !(rate.is_finite() && rate >= 0.0)
            {
                return Err(format!("a fault names a limit of {rate} requests a second"));
            }
        }
        Ok(())
    }
}

/// A time after the start, as a duration.
pub(crate) fn duration(time: Millis) -> Duration {
    Duration::from(time)
}
