use std::{
    io::{Write, stdout},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use derive_more::{Display, Error, From};
use dw_tables::Name;
use sha2::{Digest, Sha256};
use spdlog::{Level, LevelFilter, Logger};
use tokio::time::Instant;

use crate::{
    DroppedRequests, Event, Field, Kind, LogLevel, LogSettings, RequestClass, Sampler, Trace,
    line::line, output::Output,
};

/// Why the log cannot be set up.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The writer thread cannot be started.
    #[display("cannot start the thread that writes the log: {_0}")]
    Thread(std::io::Error),
    /// The logging library reported an error.
    #[display("cannot set up the log: {_0}")]
    Library(spdlog::Error),
}

/// What the log has dropped since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogLosses {
    /// Lines that the output did not accept.
    pub lines: u64,
    /// Requests that were left out by sampling.
    pub requests: u64,
}

/// The log of one daemon. Clones write to the same output.
#[derive(Clone)]
pub struct Log(Arc<Inner>);

struct Inner {
    host: Name,
    settings: LogSettings,
    logger: Logger,
    output: Output,
    sampling: Mutex<Sampling>,
}

struct Sampling {
    sampler: Sampler,
    left_out: u64,
}

impl Log {
    /// Creates a log that writes to standard output.
    ///
    /// # Errors
    /// The log cannot be set up.
    pub fn new(settings: LogSettings, host: Name) -> Result<Self, LogError> {
        Self::with_output(settings, host, stdout())
    }

    /// Creates a log that writes to `out`.
    ///
    /// # Errors
    /// The log cannot be set up.
    pub fn with_output(
        settings: LogSettings,
        host: Name,
        out: impl Write + Send + 'static,
    ) -> Result<Self, LogError> {
        let output = Output::new(out)?;
        let level = match settings.level {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
            LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
            LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
            LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        };
        let logger =
            Logger::builder().sink(Arc::new(output.clone())).level_filter(level).build()?;
        let sampler = Sampler::new(Instant::now());
        let sampling = Mutex::new(Sampling { sampler, left_out: 0 });
        Ok(Self(Arc::new(Inner { host, settings, logger, output, sampling })))
    }

    /// Writes an event that is not sampled, because it belongs to no request or to one that is always
    /// logged.
    pub fn write(&self, event: &Event) {
        self.0.emit(event, None);
    }

    /// Starts to collect the events of a request on this host. Nothing is collected if the log level
    /// excludes them.
    #[must_use]
    pub fn trace(&self, request: &str) -> Trace {
        if self.0.settings.level < LogLevel::Warn {
            return Trace::default();
        }
        Trace::new(self.clone(), Name::new(request))
    }

    /// Waits for a limited time until the pending lines are written.
    pub fn flush(&self) {
        self.0.logger.flush();
    }

    /// What was dropped since the start.
    #[must_use]
    pub fn losses(&self) -> LogLosses {
        LogLosses { lines: self.0.output.total_lost(), requests: self.0.sampling().left_out }
    }

    /// Reports the requests left out since the last report, if there are any.
    pub fn tick(&self) {
        let now = Instant::now();
        let dropped = RequestClass::ALL.map(|class| self.0.sampling().sampler.dropped(class, now));
        self.report_dropped(dropped);
    }

    /// Writes either all events of a request or none of them.
    pub(crate) fn write_trace(&self, request: &Name, events: &[Event], class: RequestClass) {
        let now = Instant::now();
        let mut sampling = self.0.sampling();
        let dropped = RequestClass::ALL.map(|class| sampling.sampler.dropped(class, now));
        let keep = sampling.sampler.keep(class, || hash_id(request), now);
        sampling.left_out += u64::from(!keep);
        drop(sampling);
        self.report_dropped(dropped);
        if keep {
            events.iter().for_each(|event| self.0.emit(event, Some(request)));
        }
    }

    fn report_dropped(&self, dropped: [Option<DroppedRequests>; 3]) {
        for dropped in dropped.into_iter().flatten() {
            let event = Event::new(Kind::RequestsSampled)
                .with(Field::Reason, dropped.class.as_str())
                .with(Field::Count, dropped.count)
                .with(Field::Candidates, dropped.one_in);
            self.0.emit(&event, None);
        }
    }
}

impl Inner {
    fn emit(&self, event: &Event, request: Option<&Name>) {
        if !self.logger.should_log(level_of(event.kind)) {
            return;
        }
        if let Some(count) = self.output.take_lost() {
            let lost = Event::new(Kind::LinesDropped).with(Field::Count, count);
            self.write_line(&lost, None);
        }
        self.write_line(event, request);
    }

    fn write_line(&self, event: &Event, request: Option<&Name>) {
        let text = line(event, &self.host, request, self.settings.format);
        let logger = &self.logger;
        match level_of(event.kind) {
            Level::Critical | Level::Error => spdlog::error!(logger: logger, "{text}"),
            Level::Warn => spdlog::warn!(logger: logger, "{text}"),
            Level::Info => spdlog::info!(logger: logger, "{text}"),
            Level::Debug | Level::Trace => spdlog::debug!(logger: logger, "{text}"),
        }
    }

    fn sampling(&self) -> MutexGuard<'_, Sampling> {
        self.sampling.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.output.close();
    }
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").field("host", &self.0.host).finish_non_exhaustive()
    }
}

const fn level_of(kind: Kind) -> Level {
    match kind.level() {
        LogLevel::Off | LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Hashes a request's id. The hash is the same on all hosts and in all releases.
fn hash_id(request: &Name) -> u64 {
    let digest: [u8; 32] = Sha256::digest(request.as_str()).into();
    u64::from_be_bytes(digest[..8].try_into().unwrap_or_default())
}
