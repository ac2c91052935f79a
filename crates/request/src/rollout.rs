//! Decisions about canary rollouts: a service is moved to another version of its targets step by step,
//! and the move is undone when the new version responds worse than the old one.

mod comparison;
mod evidence;
mod history;
mod holder;
mod io;
mod leader;
mod plan;
mod relays;
mod restore;
mod sequential;
mod succession;

pub use comparison::{Comparison, Judgement};
pub use evidence::{Evidence, EvidenceReport, RouteEvidence, Tally};
pub use history::VersionHistory;
pub use holder::{OldTargets, RolloutHolder};
pub use io::{RolloutAction, RolloutInput};
pub use leader::RolloutLeader;
pub use plan::{
    MAX_AVOIDED_VERSIONS, RollbackReason, RolloutOrder, RolloutPolicy, RolloutState, RolloutStep,
    VersionShare,
};
pub use succession::Succession;
