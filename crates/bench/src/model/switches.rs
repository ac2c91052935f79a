use derive_more::{Display, FromStr};
use dw_request::{GatePolicies, RetryAfterPolicy};
use dw_tables::{Balance, Capacity, Prefer};

/// Policies that can be switched off, that is replaced by a neutral form.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum Switch {
    /// Short requests run first. Off: no request counts as short.
    Short,
    /// The wait in the queue is bounded by a share of the objective. Off: by the pool's limit alone.
    Waits,
    /// Goals order the queue. Off: the queue is first come, first served.
    Goals,
    /// Refused requests are sent to free targets. Off: they are not.
    Moves,
    /// Refused callers are told to retry within their deadline. Off: after some seconds.
    Returns,
    /// Targets in the same failure domain are preferred. Off: no target is.
    Domain,
    /// The better of two targets is chosen. Off: targets are chosen round robin.
    Choice,
    /// The capacity of targets is learned where the scenario says so. Off: it is fixed.
    Capacity,
    /// The speed of targets is part of a learned capacity. Off: it is not.
    Speed,
    /// Requests may wait for a slot. Off: they are refused if no slot is free.
    Queue,
}

impl Switch {
    /// All switches.
    pub(crate) const ALL: [Self; 10] = [
        Self::Short,
        Self::Waits,
        Self::Goals,
        Self::Moves,
        Self::Returns,
        Self::Domain,
        Self::Choice,
        Self::Capacity,
        Self::Speed,
        Self::Queue,
    ];
}

/// The policies in force in one run.
#[derive(Clone, Debug)]
pub(crate) struct Policies {
    pub(crate) gate: GatePolicies,
    pub(crate) goals: bool,
    pub(crate) reroutes: u32,
    pub(crate) returns: RetryAfterPolicy,
    pub(crate) prefer: Prefer,
    pub(crate) balance: Balance,
    pub(crate) queue: u32,
    /// Whether targets report their service times, if their capacity is learned.
    pub(crate) speeds: bool,
    /// Of pools whose capacity is learned in the scenario.
    pub(crate) capacity: Capacity,
}

impl Policies {
    /// The policies of the product, except those switched off.
    pub(crate) fn without(switches: &[Switch]) -> Self {
        let off = |switch| switches.contains(&switch);
        Self {
            gate: GatePolicies {
                short_first: !off(Switch::Short),
                bound_waits: !off(Switch::Waits),
            },
            goals: !off(Switch::Goals),
            reroutes: if off(Switch::Moves) { 0 } else { 2 },
            returns: if off(Switch::Returns) {
                RetryAfterPolicy::Spread
            } else {
                RetryAfterPolicy::Deadline
            },
            prefer: if off(Switch::Domain) { Prefer::Any } else { Prefer::Domain },
            balance: if off(Switch::Choice) { Balance::RoundRobin } else { Balance::TwoChoices },
            speeds: !off(Switch::Speed),
            capacity: if off(Switch::Capacity) { Capacity::Fixed } else { Capacity::Learned },
            queue: if off(Switch::Queue) { 0 } else { 24 },
        }
    }
}
