use dw_tables::{Hash, Name, Tombstone, VersionId};
use dw_wire::State;

use crate::{Member, MemberState, Target};

/// The longest host, domain, region or service name, in bytes, that is accepted from a peer.
const NAME_LIMIT: usize = 255;

/// The most targets of a single host that are accepted from a peer.
const TARGETS_LIMIT: usize = 64;

/// The most tombstones of a single host that are accepted from a peer.
const TOMBSTONES_LIMIT: usize = 64;

/// Encodes a member for the wire.
pub(crate) fn member_to_wire(member: &Member) -> dw_wire::Member {
    dw_wire::Member {
        host: member.host.to_string(),
        incarnation: member.incarnation,
        started: member.started,
        domain: member.domain.to_string(),
        region: member.region.to_string(),
        peer: member.peer.to_string(),
        data: member.data.to_string(),
        state: state_to_wire(member.state) as i32,
        relay: member.relay,
        targets: member.targets.iter().map(target_to_wire).collect(),
        dead_ms: 0,
        link: member.link,
        tombstones: tombstones_to_wire(&member.tombstones),
    }
}

/// Decodes a member; `None` if a field is malformed or too long.
pub(crate) fn member_from_wire(wire: &dw_wire::Member) -> Option<Member> {
    let names = [&wire.host, &wire.domain, &wire.region];
    let fits = names.iter().all(|name| name.len() <= NAME_LIMIT)
        && wire.targets.len() <= TARGETS_LIMIT
        && wire.targets.iter().all(|target| target.service.len() <= NAME_LIMIT)
        && wire.targets.iter().filter_map(|t| t.version.as_ref()).all(|v| v.len() <= NAME_LIMIT)
        && wire.started <= wire.incarnation
        && !wire.host.is_empty()
        && !wire.domain.is_empty();
    fits.then(|| {
        Some(Member {
            host: wire.host.as_str().into(),
            incarnation: wire.incarnation,
            started: wire.started,
            domain: wire.domain.as_str().into(),
            region: wire.region.as_str().into(),
            peer: wire.peer.parse().ok()?,
            data: wire.data.parse().ok()?,
            state: state_from_wire(wire.state)?,
            relay: wire.relay,
            link: wire.link,
            targets: wire.targets.iter().map(target_from_wire).collect(),
            tombstones: tombstones_from_wire(&wire.tombstones),
        })
    })?
}

/// Encodes the number and hash of a version for the wire.
pub(crate) fn version_id_to_wire(version_id: VersionId) -> dw_wire::VersionId {
    dw_wire::VersionId { number: version_id.number, hash: version_id.hash.as_bytes().to_vec() }
}

/// Decodes the number and hash of a version; `None` if the hash has the wrong length.
pub(crate) fn version_id_from_wire(version_id: Option<&dw_wire::VersionId>) -> Option<VersionId> {
    let version_id = version_id?;
    Some(VersionId { number: version_id.number, hash: Hash::from_bytes(&version_id.hash)? })
}

/// Converts strings to names, skipping those that are too long.
pub(crate) fn names(list: &[String]) -> impl Iterator<Item = Name> {
    list.iter().filter(|name| name.len() <= NAME_LIMIT).map(|name| name.as_str().into())
}

/// Encodes tombstones for the wire.
pub(crate) fn tombstones_to_wire(list: &[Tombstone]) -> Vec<dw_wire::Tombstone> {
    let to_wire = |tombstone: &Tombstone| dw_wire::Tombstone {
        name: tombstone.name.to_string(),
        started: tombstone.started,
        sequence: tombstone.sequence,
    };
    list.iter().map(to_wire).collect()
}

/// Decodes tombstones, skipping those with a name that is too long and those beyond the limit.
pub(crate) fn tombstones_from_wire(list: &[dw_wire::Tombstone]) -> Vec<Tombstone> {
    let fits = |tombstone: &&dw_wire::Tombstone| tombstone.name.len() <= NAME_LIMIT;
    let from_wire = |tombstone: &dw_wire::Tombstone| Tombstone {
        name: tombstone.name.as_str().into(),
        started: tombstone.started,
        sequence: tombstone.sequence,
    };
    list.iter().filter(fits).take(TOMBSTONES_LIMIT).map(from_wire).collect()
}

fn target_to_wire(target: &Target) -> dw_wire::Target {
    dw_wire::Target {
        index: target.index,
        service: target.service.to_string(),
        slots: target.slots,
        connections: target.connections,
        draining: target.draining,
        started: target.started,
        version: target.version.as_ref().map(ToString::to_string),
        warm: target.warm,
    }
}

fn target_from_wire(target: &dw_wire::Target) -> Target {
    Target {
        index: target.index,
        service: target.service.as_str().into(),
        slots: target.slots,
        connections: target.connections,
        draining: target.draining,
        started: target.started,
        version: target.version.as_deref().map(Name::from),
        warm: target.warm,
    }
}

const fn state_to_wire(state: MemberState) -> State {
    match state {
        MemberState::Alive => State::Alive,
        MemberState::Leaving => State::Leaving,
        MemberState::Suspect => State::Suspect,
        MemberState::Dead => State::Dead,
        MemberState::Left => State::Left,
    }
}

fn state_from_wire(state: i32) -> Option<MemberState> {
    Some(match State::try_from(state).ok()? {
        State::Alive => MemberState::Alive,
        State::Leaving => MemberState::Leaving,
        State::Suspect => MemberState::Suspect,
        State::Dead => MemberState::Dead,
        State::Left => MemberState::Left,
    })
}
