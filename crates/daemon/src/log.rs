use std::sync::Arc;

use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::StdStreamSink,
    terminal_style::StyleMode,
};

use crate::{LogFormat, LogLevel, LogSettings};

/// Builds the logger of one daemon, which writes to standard error.
///
/// # Errors
/// What the logging library found.
pub(crate) fn build_logger(settings: LogSettings) -> spdlog::Result<Arc<Logger>> {
    let sink = StdStreamSink::builder().stderr().style_mode(StyleMode::Never);
    let sink = match settings.format {
        LogFormat::Text => sink.formatter(Box::new(FullFormatter::new())),
        LogFormat::Json => sink.formatter(Box::new(JsonFormatter::new())),
    };
    let level = match settings.level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
    };
    let logger = Logger::builder().sink(Arc::new(sink.build()?)).level_filter(level).build()?;
    Ok(Arc::new(logger))
}
