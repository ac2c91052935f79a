use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use spdlog::{ErrorHandler, LevelFilter, Record, Result, formatter::Formatter, sink::Sink};

/// Capacity of the buffer: about one second of lines at the highest logging rate.
const BUFFER_BYTES: usize = 256 << 10;

/// Time for which lines are buffered before they are written, which saves system calls and wake-ups of
/// the writer thread. A process that is killed loses these lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for writing the pending lines when the log is flushed, as at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A buffered output with a writer thread. Logging only appends to the buffer, because standard output
/// may be a pipe that nobody reads, and a write to it would block the process.
#[derive(Clone, Debug)]
pub(crate) struct Output(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    buffer: Vec<u8>,
    lost: u64,
    total_lost: u64,
    /// Whether the writer thread holds lines that are not written yet.
    writing: bool,
    /// Whether a caller of `flush` waits for the lines to be written.
    flushing: bool,
    /// Whether the output has failed or the log was dropped.
    closed: bool,
}

impl Output {
    /// Starts the writer thread, which writes to `out`.
    pub(crate) fn new(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || writer.run(out))?;
        Ok(Self(shared))
    }

    /// The number of lines lost since the last call, if any were and the buffer has room to report it.
    pub(crate) fn take_lost(&self) -> Option<u64> {
        let mut state = self.0.lock();
        let has_room = state.buffer.len() < BUFFER_BYTES / 2;
        (has_room && state.lost > 0).then(|| std::mem::take(&mut state.lost))
    }

    /// The number of lines lost since the start.
    pub(crate) fn total_lost(&self) -> u64 {
        self.0.lock().total_lost
    }

    /// Ends the writer thread once all lines are written.
    pub(crate) fn close(&self) {
        self.0.lock().closed = true;
        self.0.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &str) {
        let mut state = self.lock();
        if state.closed || state.buffer.len() + line.len() + 1 > BUFFER_BYTES {
            state.lost += 1;
            state.total_lost += 1;
            return;
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(line.as_bytes());
        state.buffer.push(b'\n');
        drop(state);
        if was_empty {
            self.changed.notify_all();
        }
    }

    fn run(&self, mut out: impl Write) {
        let mut lines = Vec::new();
        loop {
            let idle = |state: &mut State| state.buffer.is_empty() && !state.closed;
            let state = self.changed.wait_while(self.lock(), idle);
            let state = state.unwrap_or_else(PoisonError::into_inner);
            let wait = |state: &mut State| !state.flushing && !state.closed;
            let state = self.changed.wait_timeout_while(state, WRITE_INTERVAL, wait);
            let (mut state, _) = state.unwrap_or_else(PoisonError::into_inner);
            std::mem::swap(&mut state.buffer, &mut lines);
            state.writing = true;
            let last = state.closed;
            drop(state);
            let failed = out.write_all(&lines).and_then(|()| out.flush()).is_err();
            lines.clear();
            let mut state = self.lock();
            state.writing = false;
            // After a failed write the output is not used again; further lines count as lost.
            state.closed |= failed;
            drop(state);
            self.changed.notify_all();
            if last || failed {
                return;
            }
        }
    }

    fn flush(&self) {
        let mut state = self.lock();
        state.flushing = true;
        self.changed.notify_all();
        let pending =
            |state: &mut State| !state.closed && (state.writing || !state.buffer.is_empty());
        let state = self.changed.wait_timeout_while(state, FLUSH_TIMEOUT, pending);
        state.unwrap_or_else(PoisonError::into_inner).0.flushing = false;
    }
}

impl Sink for Output {
    fn log(&self, record: &Record<'_>) -> Result<()> {
        self.0.push(record.payload());
        Ok(())
    }

    fn flush(&self) -> Result<()> {
        self.0.flush();
        Ok(())
    }

    fn level_filter(&self) -> LevelFilter {
        LevelFilter::All
    }

    // The logger filters by level and lines arrive formatted, so this sink ignores both settings.
    fn set_level_filter(&self, _: LevelFilter) {}

    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    fn set_error_handler(&self, _: Option<ErrorHandler>) {}
}
