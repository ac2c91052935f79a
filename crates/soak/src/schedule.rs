use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time at the end without faults, in which everything recovers.
pub(crate) const FAULT_FREE_TIME: Duration = Duration::from_secs(10);

/// Time between the end of the last fault and the requests that must be served again.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time after a fault until the same daemon, target or store can have another one: a stop takes as long as the
/// grace, and a start needs a moment.
const FAULT_SPACING: Duration = Duration::from_secs(5);

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// A daemon is killed, and starts again some time later.
    #[display("kill")]
    Kill {
        /// Its host.
        host: usize,
    },
    /// A daemon gets SIGTERM, and starts again once it has ended.
    #[display("stop")]
    Stop {
        /// Its host.
        host: usize,
    },
    /// A daemon stands still.
    #[display("pause")]
    Pause {
        /// Its host.
        host: usize,
    },
    /// A target names a limit.
    #[display("limit")]
    Limit {
        /// Its host.
        host: usize,
        /// Requests a second.
        rate: f64,
    },
    /// A target says that it leaves, ends, and is followed by another incarnation.
    #[display("leave")]
    Leave {
        /// Its host.
        host: usize,
    },
    /// A target dies, and is followed by another incarnation.
    #[display("crash")]
    Crash {
        /// Its host.
        host: usize,
    },
    /// Answers of a target, and requests to it, come late.
    #[display("delay")]
    Delay {
        /// Its host.
        host: usize,
    },
    /// The connections to a target end.
    #[display("reset")]
    Reset {
        /// Its host.
        host: usize,
    },
    /// The connections to a target go silent for good; new ones work.
    #[display("silence")]
    Silence {
        /// Its host.
        host: usize,
    },
    /// The connections to the store go silent for good; new ones work.
    #[display("store-silence")]
    StoreSilence,
    /// The operator writes another version.
    #[display("version")]
    Version,
    /// The store cannot be reached.
    #[display("store-down")]
    StoreDown,
    /// The store answers late.
    #[display("store-slow")]
    StoreSlow,
    /// The store comes back from an older copy.
    #[display("store-older")]
    StoreOlder,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Since the start.
    pub at: Duration,
    /// What.
    pub fault: Fault,
    /// How long it lasts.
    pub time: Duration,
}

/// The faults of one run, in the order of their beginning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// All of them; they overlap.
    pub plans: Vec<Plan>,
}

impl Schedule {
    /// The schedule of a seed: about one fault a second and eight hosts, which end [`FAULT_FREE_TIME`] before `time`.
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
            // One fault at a time befalls the same daemon, target or store; all others overlap.
            let until = busy.entry(component(fault)).or_default();
            if *until <= at {
                *until = at + time + FAULT_SPACING;
                plans.push(Plan { at, fault, time });
            }
            at += gap.mul_f64(rng.random_range(0.2..1.8));
        }
        Self { plans }
    }
}

/// What a fault befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Component {
    Daemon(usize),
    Target(usize),
    Link(usize),
    Store,
}

const fn component(fault: Fault) -> Component {
    match fault {
        Fault::Kill { host } | Fault::Stop { host } | Fault::Pause { host } => {
            Component::Daemon(host)
        }
        Fault::Limit { host, .. } | Fault::Leave { host } | Fault::Crash { host } => {
            Component::Target(host)
        }
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

/// How long a fault lasts at most.
const fn max_duration(fault: Fault) -> Duration {
    match fault {
        Fault::Limit { .. } => Duration::from_secs(15),
        Fault::Kill { .. } | Fault::Stop { .. } | Fault::Crash { .. } => Duration::from_secs(2),
        Fault::Leave { .. } | Fault::StoreDown | Fault::StoreSlow | Fault::Delay { .. } => {
            Duration::from_secs(4)
        }
        Fault::Pause { .. } | Fault::StoreOlder => Duration::from_secs(3),
        Fault::Version | Fault::Reset { .. } | Fault::Silence { .. } | Fault::StoreSilence => {
            Duration::ZERO
        }
    }
}
