//! Logging setup, with text or JSON output.

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use super::settings::{LogFormat, LogSettings};

/// Capacity of the buffer for log lines; while it is full, new lines are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Starts logging to standard output.
///
/// A background thread writes the lines, so that a blocked reader never blocks the process: once the
/// buffer is full, lines are dropped. Dropping the returned guard flushes the buffered lines.
///
/// # Errors
///
/// Fails if the filter is invalid or a logger is already installed.
pub fn init_stdout(settings: &LogSettings) -> Result<WorkerGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(settings)?)
        .with_writer(writer);
    let installed = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    installed.map_err(|e| eyre!("starting logs: {e}"))?;
    Ok(guard)
}

fn filter(settings: &LogSettings) -> Result<EnvFilter> {
    EnvFilter::try_new(&*settings.filter)
        .wrap_err("reading [log] filter; write it like `info,jayhall::peers=debug`")
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if the filter is invalid or a logger is already installed.
pub fn init_stderr(settings: &LogSettings) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(settings)?)
        .with_writer(std::io::stderr);
    let installed = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    installed.map_err(|e| eyre!("starting logs: {e}"))
}
