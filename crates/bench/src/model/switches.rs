use derive_more::{Display, FromStr};
use dw_request::{GatePolicies, RetryAfterPolicy};
use dw_tables::{Balance, Prefer};

/// Policies that can be replaced by their neutral form.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum Switch {
    /// Short work goes before other work; without, no work is short.
    Short,
    /// Waits are bounded by a share of the objective; without, by the pool's wait alone.
    Waits,
    /// Goals order the queue; without, it is first come, first served.
    Goals,
    /// Refused requests move to free targets; without, they do not.
    Moves,
    /// Callers return within their time; without, after some seconds.
    Returns,
    /// Targets of the own failure domain are preferred; without, any target is as good.
    Domain,
    /// The better of two targets is taken; without, each in turn.
    Choice,
    /// Requests may wait for a slot; without, they are refused if none is free.
    Queue,
}

impl Switch {
    /// All of them.
    pub(crate) const ALL: [Self; 8] = [
        Self::Short,
        Self::Waits,
        Self::Goals,
        Self::Moves,
        Self::Returns,
        Self::Domain,
        Self::Choice,
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
}

impl Policies {
    /// The policies of the product, without some.
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
            queue: if off(Switch::Queue) { 0 } else { 24 },
        }
    }
}
