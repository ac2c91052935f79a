use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::History;

/// Writes down what callers and targets see. Clones write to the same history.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
}

impl Recorder {
    /// Starts now.
    pub(crate) fn new() -> Self {
        Self { start: Instant::now(), history: Arc::default() }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// What was written so far.
    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
