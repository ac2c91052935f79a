use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dw_tables::Name;

use crate::{Event, Field, Kind, Log, LogLevel, RequestClass, Value};

/// The events of one request on one host. They are written when the last clone is dropped, because only
/// then is the class of the request known, on which sampling depends.
#[derive(Clone, Debug, Default)]
pub struct Trace(Option<Arc<Inner>>);

#[derive(Debug)]
struct Inner {
    log: Log,
    request: Name,
    events: Mutex<Events>,
}

#[derive(Debug, Default)]
struct Events {
    list: Vec<Event>,
    class: RequestClass,
    ended: bool,
}

impl Trace {
    pub(crate) fn new(log: Log, request: Name) -> Self {
        Self(Some(Arc::new(Inner { log, request, events: Mutex::default() })))
    }

    /// Adds an event; `event` is only called if the request may be logged.
    pub fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(inner) = &self.0 {
            inner.lock().add(event());
        }
    }

    /// Adds the event that ends the request; only the first call has an effect.
    pub fn end(&self, event: impl FnOnce() -> Event) {
        let Some(inner) = &self.0 else { return };
        let mut events = inner.lock();
        if !std::mem::replace(&mut events.ended, true) {
            events.add(event());
        }
    }

    /// Marks the request as failed although none of its events shows it.
    pub fn mark_failed(&self) {
        if let Some(inner) = &self.0 {
            inner.lock().class = RequestClass::Failed;
        }
    }
}

impl Inner {
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

impl Drop for Inner {
    fn drop(&mut self) {
        let events = self.events.get_mut().unwrap_or_else(PoisonError::into_inner);
        if !events.ended && !events.list.is_empty() {
            // All other endings are recorded where they are decided.
            events.add(Event::new(Kind::Cancelled));
        }
        if !events.list.is_empty() {
            self.log.write_trace(&self.request, &events.list, events.class);
        }
    }
}

/// The class that an event gives to its request.
fn class_of(event: &Event) -> RequestClass {
    let not_run = (Field::Outcome, Value::Word("not-run"));
    match event.kind {
        Kind::TurnedAway | Kind::Moved => RequestClass::Refused,
        Kind::Refused | Kind::AttemptFailed if event.fields.contains(&not_run) => {
            RequestClass::Refused
        }
        kind if kind.level() <= LogLevel::Warn => RequestClass::Failed,
        _ => RequestClass::Plain,
    }
}
