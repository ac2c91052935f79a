use crate::rollout::{RolloutOrder, RolloutState, RolloutStep, VersionShare};

/// The latest state of the rollouts of a service that is known from anywhere: read from the store, stored by this
/// leader before, or followed by a daemon.
///
/// It addresses a store that was restored from an older copy, where a completed rollout runs again after its old
/// targets have stopped. Each step is stored before daemons follow it, so that one that is followed and not stored
/// was lost.
pub(crate) fn latest_state(
    stored: Option<RolloutState>,
    known: Option<&RolloutState>,
    followed: Option<&VersionShare>,
    order: Option<&RolloutOrder>,
    now: u64,
) -> Option<RolloutState> {
    let known =
        known.filter(|known| Some(known.epoch()) > stored.as_ref().map(RolloutState::epoch));
    let best = known.cloned().or(stored);
    let reached = best.as_ref().map_or(0, RolloutState::epoch);
    let Some(share) = followed.filter(|share| !share.is_hold() && share.epoch > reached) else {
        return best;
    };
    match best {
        Some(best) if best.number == share.number() => {
            let (avoid, bad) = (share.avoid.clone(), share.bad.clone());
            Some(RolloutState { avoid, bad, ..best.at_step(share.step) })
        }
        best => Some(from_share(share, best.as_ref(), order, now)),
    }
}

/// The state of a rollout of which only the share is left. An order for its version is the one that was lost with the
/// state and has been written again.
fn from_share(
    share: &VersionShare,
    before: Option<&RolloutState>,
    order: Option<&RolloutOrder>,
    now: u64,
) -> RolloutState {
    let order = order.filter(|order| order.version == share.version);
    let force = match share.step {
        RolloutStep::Complete => Some(share.version.clone()),
        _ => before.and_then(|before| before.force.clone()),
    };
    RolloutState {
        number: share.number(),
        order: order.map_or(0, |order| order.id),
        version: share.version.clone(),
        begun: now,
        duration: order.map_or(0, |order| order.duration),
        step: share.step,
        force,
        avoid: share.avoid.clone(),
        bad: share.bad.clone(),
    }
}
