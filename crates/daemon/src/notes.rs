use dw_log::{Event, Field, Kind};
use dw_mesh::Note;
use dw_request::TargetChange;

/// The log line of what the control plane did or came to believe.
pub(crate) fn event_of(note: Note) -> Event {
    match note {
        Note::Joined { through } => {
            Event::new(Kind::Joined).with(Field::Address, through.to_string())
        }
        Note::Alone => Event::new(Kind::Alone),
        Note::Member { host, domain, state, incarnation } => Event::new(Kind::MemberChanged)
            .with(Field::Target, host)
            .with(Field::Domain, domain)
            .with(Field::State, state.to_string())
            .with(Field::Incarnation, incarnation),
        Note::Relay(relay) => {
            let state = if relay { "relay" } else { "member" };
            Event::new(Kind::RelayChanged).with(Field::State, state)
        }
        Note::LeaseLost(slot) => Event::new(Kind::LeaseLost).with(Field::Index, slot),
        Note::CallFailed { call, reason, count } => {
            // One line tells that the store is lost; those that follow are of use for details only.
            let kind = if count == 1 { Kind::StoreLost } else { Kind::CallFailed };
            Event::new(kind)
                .with(Field::State, call.to_string())
                .with(Field::Count, count)
                .with(Field::Detail, reason)
        }
        Note::Regained { count } => Event::new(Kind::StoreRegained).with(Field::Count, count),
        Note::Seen { number } => Event::new(Kind::VersionSeen).with(Field::Version, number),
        Note::Fetched { number, from, bytes, took } => Event::new(Kind::VersionFetched)
            .with(Field::Version, number)
            .with(Field::Address, from.to_string())
            .with(Field::Bytes, bytes)
            .with(Field::TookMs, took),
        Note::FetchLate { from, wait } => Event::new(Kind::FetchLate)
            .with(Field::Address, from.to_string())
            .with(Field::WaitMs, wait),
        Note::Served(mark) => Event::new(Kind::VersionServed).with(Field::Version, mark.number),
        Note::Refused { mark, reason } => Event::new(Kind::VersionRefused)
            .with(Field::Version, mark.number)
            .with(Field::Detail, reason),
        Note::Held { number, floor } => {
            Event::new(Kind::VersionHeld).with(Field::Version, number).with(Field::Floor, floor)
        }
        Note::Restored { number } => Event::new(Kind::VersionRestored).with(Field::Version, number),
        Note::Detail(text) => Event::new(Kind::Control).with(Field::Detail, text),
    }
}

/// The log line of a change in the view of a target.
pub(crate) fn event_of_change(change: TargetChange) -> Event {
    let kind = match change.avoided {
        Some(_) => Kind::TargetAvoided,
        None => Kind::TargetRestored,
    };
    Event::new(kind)
        .with(Field::Target, change.host)
        .with(Field::Index, change.target)
        .with(Field::Service, change.service)
        .with_some(Field::Reason, change.avoided.map(|avoided| avoided.as_str()))
}
