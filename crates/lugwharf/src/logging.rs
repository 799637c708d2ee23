//! The log of the process: one line per event on standard error.

use eyre::{Result, WrapErr};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// The level without the option `--log`: only lines that an operator should look into.
pub const DEFAULT_LEVEL: &str = "warn";

/// Returns the level with this name; `None` if there is none.
pub fn level(name: &str) -> Option<Level> {
    match name {
        "error" => Some(Level::Error),
        "warn" => Some(Level::Warn),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        "trace" => Some(Level::Trace),
        _ => None,
    }
}

/// Installs the logger of the process, which flushes each line.
pub fn init(level: Level) -> Result<()> {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build().wrap_err("the log")?;
    let mut builder = Logger::builder();
    builder.sink(Arc::new(sink)).level_filter(LevelFilter::MoreSevereEqual(level));
    let logger = builder.flush_level_filter(LevelFilter::All).build().wrap_err("the log")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
