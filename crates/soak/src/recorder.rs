use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::History;

/// Records what callers and targets observe. Clones write to the same history.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
}

impl Recorder {
    /// Creates an empty recording whose time starts now.
    pub(crate) fn new() -> Self {
        Self { start: Instant::now(), history: Arc::default() }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the history recorded so far.
    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
