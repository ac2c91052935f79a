use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dw_tables::Name;

use crate::{Class, Event, Field, Kind, Log, LogLevel, Value};

/// What happens to one request at one host, written when the last clone is dropped: only then is known
/// whether it was an ordinary request, of which many are left out under load.
#[derive(Clone, Debug, Default)]
pub struct Trace(Option<Arc<Open>>);

#[derive(Debug)]
struct Open {
    log: Log,
    request: Name,
    events: Mutex<Events>,
}

#[derive(Debug, Default)]
struct Events {
    list: Vec<Event>,
    class: Class,
    ended: bool,
}

impl Trace {
    pub(crate) fn new(log: Log, request: Name) -> Self {
        Self(Some(Arc::new(Open { log, request, events: Mutex::default() })))
    }

    /// Adds an event; `event` is made only if it may be written.
    pub fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(open) = &self.0 {
            open.lock().add(event());
        }
    }

    /// Adds the event that ends the request; further ends are ignored.
    pub fn end(&self, event: impl FnOnce() -> Event) {
        let Some(open) = &self.0 else { return };
        let mut events = open.lock();
        if !std::mem::replace(&mut events.ended, true) {
            events.add(event());
        }
    }

    /// Marks the request as one that failed although no event says so.
    pub fn mark_failed(&self) {
        if let Some(open) = &self.0 {
            open.lock().class = Class::Failed;
        }
    }
}

impl Open {
    fn lock(&self) -> MutexGuard<'_, Events> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Events {
    fn add(&mut self, event: Event) {
        self.class = self.class.max(class_of(&event));
        self.list.push(event);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let events = self.events.get_mut().unwrap_or_else(PoisonError::into_inner);
        if !events.ended && !events.list.is_empty() {
            // Every other way to end is noted where it is decided.
            events.add(Event::new(Kind::Cancelled));
        }
        if !events.list.is_empty() {
            self.log.write_trace(&self.request, &events.list, events.class);
        }
    }
}

/// What the event says of the request.
fn class_of(event: &Event) -> Class {
    let not_run = (Field::Outcome, Value::Word("not-run"));
    match event.kind {
        Kind::TurnedAway | Kind::Moved => Class::Refused,
        Kind::Refused | Kind::AttemptFailed if event.fields.contains(&not_run) => Class::Refused,
        kind if kind.level() <= LogLevel::Warn => Class::Failed,
        _ => Class::Plain,
    }
}
