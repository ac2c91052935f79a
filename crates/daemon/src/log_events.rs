use dw_log::{Event, Field, Kind};
use dw_mesh::LogEvent;
use dw_request::TargetChange;

/// The log event of an action or observation of the control plane.
pub(crate) fn control_event(event: LogEvent) -> Event {
    match event {
        LogEvent::Joined { through } => {
            Event::new(Kind::Joined).with(Field::Address, through.to_string())
        }
        LogEvent::NoPeers => Event::new(Kind::Alone),
        LogEvent::Member { host, domain, state, incarnation } => Event::new(Kind::MemberChanged)
            .with(Field::Target, host)
            .with(Field::Domain, domain)
            .with(Field::State, state.to_string())
            .with(Field::Incarnation, incarnation),
        LogEvent::Relay(relay) => {
            let state = if relay { "relay" } else { "member" };
            Event::new(Kind::RelayChanged).with(Field::State, state)
        }
        LogEvent::LeaseLost(slot) => Event::new(Kind::LeaseLost).with(Field::Index, slot),
        LogEvent::CallFailed { call, reason, count } => {
            // The first failure of a series is a warning; the others are only logged as details.
            let kind = if count == 1 { Kind::StoreLost } else { Kind::CallFailed };
            Event::new(kind)
                .with(Field::State, call.to_string())
                .with(Field::Count, count)
                .with(Field::Detail, reason)
        }
        LogEvent::PlatformRecovered { count } => {
            Event::new(Kind::StoreRegained).with(Field::Count, count)
        }
        LogEvent::NewerHead { number } => {
            Event::new(Kind::VersionSeen).with(Field::Version, number)
        }
        LogEvent::Fetched { number, from, bytes, took } => Event::new(Kind::VersionFetched)
            .with(Field::Version, number)
            .with(Field::Address, from.to_string())
            .with(Field::Bytes, bytes)
            .with(Field::TookMs, took),
        LogEvent::FetchLate { from, wait } => Event::new(Kind::FetchLate)
            .with(Field::Address, from.to_string())
            .with(Field::WaitMs, wait),
        LogEvent::Served(version_id) => {
            Event::new(Kind::VersionServed).with(Field::Version, version_id.number)
        }
        LogEvent::Refused { version_id, reason } => Event::new(Kind::VersionRefused)
            .with(Field::Version, version_id.number)
            .with(Field::Detail, reason),
        LogEvent::BelowFloor { number, floor } => {
            Event::new(Kind::VersionHeld).with(Field::Version, number).with(Field::Floor, floor)
        }
        LogEvent::Restored { number } => {
            Event::new(Kind::VersionRestored).with(Field::Version, number)
        }
        LogEvent::Detail(text) => Event::new(Kind::Control).with(Field::Detail, text),
    }
}

/// The log event of a target that requests start or stop to avoid.
pub(crate) fn avoidance_event(change: TargetChange) -> Event {
    let kind = match change.avoided {
        Some(_) => Kind::TargetAvoided,
        None => Kind::TargetRestored,
    };
    Event::new(kind)
        .with(Field::Target, change.host)
        .with(Field::Index, change.target)
        .with(Field::Service, change.service)
        .with_some(Field::Reason, change.avoided.map(|avoidance| avoidance.as_str()))
}
