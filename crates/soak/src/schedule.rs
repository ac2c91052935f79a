use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time without faults at the end of a run, in which the fleet recovers.
pub(crate) const FAULT_FREE_TIME: Duration = Duration::from_secs(10);

/// Time between the end of the last fault and the requests that must be served again, and length
/// of the last part of a run, in which these requests are sent.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Average time between two combined faults.
const COMBINED_INTERVAL: Duration = Duration::from_secs(6);

/// Least time between the end of a fault and the next fault of the same component: a stop takes as
/// long as the grace period, and a start takes some time.
const FAULT_SPACING: Duration = Duration::from_secs(5);

/// A kind of fault, or another event that the fleet has to handle.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// A daemon is killed, and starts again some time later.
    #[display("kill")]
    Kill {
        /// The host of the daemon.
        host: usize,
    },
    /// A daemon receives SIGTERM, and starts again some time after it has ended.
    #[display("stop")]
    Stop {
        /// The host of the daemon.
        host: usize,
    },
    /// A daemon is suspended, and resumes some time later.
    #[display("pause")]
    Pause {
        /// The host of the daemon.
        host: usize,
    },
    /// A target announces a limit.
    #[display("limit")]
    Limit {
        /// The host of the target.
        host: usize,
        /// The limit in requests per second.
        rate: f64,
    },
    /// A target announces that it is leaving, ends, and is replaced by another incarnation.
    #[display("leave")]
    Leave {
        /// The host of the target.
        host: usize,
    },
    /// A target crashes, and is replaced by another incarnation.
    #[display("crash")]
    Crash {
        /// The host of the target.
        host: usize,
    },
    /// Requests to a target and its answers are delayed.
    #[display("delay")]
    Delay {
        /// The host of the target.
        host: usize,
    },
    /// The connections to a target are closed.
    #[display("reset")]
    Reset {
        /// The host of the target.
        host: usize,
    },
    /// The open connections to a target stop transferring data for good; new ones work.
    #[display("silence")]
    Silence {
        /// The host of the target.
        host: usize,
    },
    /// The open connections to the store stop answering for good; new ones work.
    #[display("store-silence")]
    StoreSilence,
    /// Another writer reports a target at the address of the one on the host.
    #[display("foreign-report")]
    ForeignReport {
        /// The host of the target.
        host: usize,
    },
    /// A target leaves, its daemon is killed after it was told, and starts again, and an earlier report
    /// of the target arrives late. The target still accepts requests.
    #[display("late-report")]
    LateReport {
        /// The host of the target.
        host: usize,
    },
    /// All daemons are killed at once, and start again some time later.
    #[display("kill-all")]
    KillAll,
    /// The operator writes another version of the configuration.
    #[display("version")]
    Version,
    /// The store cannot be reached.
    #[display("store-down")]
    StoreDown,
    /// The store answers with a delay.
    #[display("store-slow")]
    StoreSlow,
    /// The store is restored from an older copy.
    #[display("store-older")]
    StoreOlder,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// When the fault begins, since the start of the run.
    pub at: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// How long the fault lasts.
    pub time: Duration,
}

/// The faults of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The faults, in the order in which they begin; they may overlap.
    pub plans: Vec<Plan>,
}

impl Schedule {
    /// Draws the schedule of a seed: about one fault per second for every eight hosts, all of which
    /// end [`FAULT_FREE_TIME`] before `time`.
    #[must_use]
    pub fn new(seed: u64, hosts: usize, time: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let last = time.saturating_sub(FAULT_FREE_TIME);
        let mut plans = Vec::new();
        let mut at = Duration::from_secs(1);
        let gap = Duration::from_secs_f64(8.0 / f64::from(u32::try_from(hosts).unwrap_or(8)));
        let mut busy: HashMap<Component, Duration> = HashMap::new();
        while at < last {
            let fault = random_fault(&mut rng, hosts);
            let max_time = max_duration(fault).min(last.saturating_sub(at));
            let time = max_time.mul_f64(rng.random_range(0.3..1.0));
            // Faults of the same component do not overlap; all others may.
            let until = busy.entry(component(fault)).or_default();
            if *until <= at {
                *until = at + time + FAULT_SPACING;
                plans.push(Plan { at, fault, time });
            }
            at += gap.mul_f64(rng.random_range(0.2..1.8));
        }
        plans.extend(combined_faults(seed, hosts, last, &mut busy));
        plans.sort_by_key(|plan| plan.at);
        Self { plans }
    }
}

/// Draws faults in which several things happen at one host, or one thing at all hosts. They have a
/// generator of their own, so that the other faults of a seed stay as they are.
fn combined_faults(
    seed: u64,
    hosts: usize,
    last: Duration,
    busy: &mut HashMap<Component, Duration>,
) -> Vec<Plan> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x60);
    let mut plans = Vec::new();
    let mut at = COMBINED_INTERVAL.mul_f64(rng.random_range(0.2..1.0));
    while at < last {
        let host = rng.random_range(0..hosts);
        let fault = match rng.random_range(0..5) {
            0 | 1 => Fault::ForeignReport { host },
            2 | 3 => Fault::LateReport { host },
            _ => Fault::KillAll,
        };
        let time =
            max_duration(fault).min(last.saturating_sub(at)).mul_f64(rng.random_range(0.3..1.0));
        let until = busy.entry(component(fault)).or_default();
        if *until <= at {
            *until = at + time + FAULT_SPACING;
            plans.push(Plan { at, fault, time });
        }
        at += COMBINED_INTERVAL.mul_f64(rng.random_range(0.4..1.6));
    }
    plans
}

/// The component that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Component {
    Daemon(usize),
    Target(usize),
    Link(usize),
    Store,
    Fleet,
}

const fn component(fault: Fault) -> Component {
    match fault {
        Fault::Kill { host } | Fault::Stop { host } | Fault::Pause { host } => {
            Component::Daemon(host)
        }
        Fault::Limit { host, .. }
        | Fault::Leave { host }
        | Fault::Crash { host }
        | Fault::ForeignReport { host }
        | Fault::LateReport { host } => Component::Target(host),
        Fault::KillAll => Component::Fleet,
        Fault::Delay { host } | Fault::Reset { host } | Fault::Silence { host } => {
            Component::Link(host)
        }
        Fault::Version
        | Fault::StoreDown
        | Fault::StoreSlow
        | Fault::StoreSilence
        | Fault::StoreOlder => Component::Store,
    }
}

fn random_fault(rng: &mut SmallRng, hosts: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill { host },
        2 | 3 => Fault::Stop { host },
        4 => Fault::Pause { host },
        5..=9 => {
            let rates = [0.0, 0.5, 2.0, 5.0, 12.5, 30.0];
            Fault::Limit { host, rate: rates[rng.random_range(0..rates.len())] }
        }
        10 => Fault::Leave { host },
        11 => Fault::Crash { host },
        12 => Fault::Version,
        13 => Fault::StoreDown,
        14 => Fault::StoreSlow,
        15 => Fault::StoreOlder,
        16 => Fault::Delay { host },
        17 => Fault::Reset { host },
        18 => Fault::Silence { host },
        _ => Fault::StoreSilence,
    }
}

/// Longest duration of a fault.
const fn max_duration(fault: Fault) -> Duration {
    match fault {
        Fault::Limit { .. } => Duration::from_secs(15),
        Fault::Kill { .. } | Fault::Stop { .. } | Fault::Crash { .. } => Duration::from_secs(2),
        Fault::Leave { .. } | Fault::StoreDown | Fault::StoreSlow | Fault::Delay { .. } => {
            Duration::from_secs(4)
        }
        Fault::Pause { .. } | Fault::StoreOlder => Duration::from_secs(3),
        Fault::LateReport { .. } => Duration::from_secs(4),
        Fault::KillAll => Duration::from_secs(1),
        Fault::Version
        | Fault::ForeignReport { .. }
        | Fault::Reset { .. }
        | Fault::Silence { .. }
        | Fault::StoreSilence => Duration::ZERO,
    }
}
