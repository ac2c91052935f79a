use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use spdlog::{ErrorHandler, LevelFilter, Record, Result, formatter::Formatter, sink::Sink};

/// Bytes that wait for the output; about a second of the most that is logged.
const BUFFER: usize = 256 << 10;

/// Time in which lines are collected before they are written. Each write costs a system call and each
/// wake-up of the thread a task switch; a process that is killed loses these lines.
const COLLECT: Duration = Duration::from_millis(500);

/// The longest wait for the output when the process ends.
const FLUSH: Duration = Duration::from_millis(500);

/// Lines on their way to the output. Whoever logs only appends to a buffer; a thread of its own writes,
/// because standard output may be a pipe that nobody reads, and a write to it would stop the process.
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
    all_lost: u64,
    /// Whether the thread holds lines that are not written yet.
    writing: bool,
    /// Whether somebody waits for the lines to be written.
    hurry: bool,
    /// Whether the output failed for good or no handle is left.
    closed: bool,
}

impl Output {
    /// Starts the thread that writes to `out`.
    pub(crate) fn new(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || writer.run(out))?;
        Ok(Self(shared))
    }

    /// Lines lost since the last call, if there is room to say so.
    pub(crate) fn take_lost(&self) -> Option<u64> {
        let mut state = self.0.lock();
        let room = state.buffer.len() < BUFFER / 2;
        (room && state.lost > 0).then(|| std::mem::take(&mut state.lost))
    }

    /// Lines lost since the start.
    pub(crate) fn all_lost(&self) -> u64 {
        self.0.lock().all_lost
    }

    /// Ends the thread once everything is written.
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
        if state.closed || state.buffer.len() + line.len() + 1 > BUFFER {
            state.lost += 1;
            state.all_lost += 1;
            return;
        }
        let first = state.buffer.is_empty();
        state.buffer.extend_from_slice(line.as_bytes());
        state.buffer.push(b'\n');
        drop(state);
        if first {
            self.changed.notify_all();
        }
    }

    fn run(&self, mut out: impl Write) {
        let mut lines = Vec::new();
        loop {
            let idle = |state: &mut State| state.buffer.is_empty() && !state.closed;
            let state = self.changed.wait_while(self.lock(), idle);
            let state = state.unwrap_or_else(PoisonError::into_inner);
            let wait = |state: &mut State| !state.hurry && !state.closed;
            let state = self.changed.wait_timeout_while(state, COLLECT, wait);
            let (mut state, _) = state.unwrap_or_else(PoisonError::into_inner);
            std::mem::swap(&mut state.buffer, &mut lines);
            state.writing = true;
            let last = state.closed;
            drop(state);
            let failed = out.write_all(&lines).and_then(|()| out.flush()).is_err();
            lines.clear();
            let mut state = self.lock();
            state.writing = false;
            // Nobody will read the output again; what is logged from now on counts as lost.
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
        state.hurry = true;
        self.changed.notify_all();
        let open = |state: &mut State| !state.closed && (state.writing || !state.buffer.is_empty());
        let state = self.changed.wait_timeout_while(state, FLUSH, open);
        state.unwrap_or_else(PoisonError::into_inner).0.hurry = false;
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

    // The logger filters, and lines come whole; neither is set on this sink.
    fn set_level_filter(&self, _: LevelFilter) {}

    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    fn set_error_handler(&self, _: Option<ErrorHandler>) {}
}
