//! Logs, as lines for people or as JSON.

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use super::settings::{LogFormat, LogSettings};

/// Lines that wait for a reader of the standard output before further ones are left out.
const MAX_WAITING_LINES: usize = 4096;

/// Starts to write logs to the standard output. Lines are written by a thread of their own; where
/// nobody reads them, they are left out and nothing waits. The returned guard writes what is left when
/// it is dropped.
///
/// # Errors
///
/// Fails where the filter is not valid or logs have been started already.
pub fn init_stdout(settings: &LogSettings) -> Result<WorkerGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(settings)?)
        .with_writer(writer);
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|e| eyre!("starting logs: {e}"))?;
    Ok(guard)
}

fn filter(settings: &LogSettings) -> Result<EnvFilter> {
    EnvFilter::try_new(&*settings.filter)
        .wrap_err("reading [log] filter; write it like `info,jayhall::peers=debug`")
}

/// Starts to write logs to the standard error output.
///
/// # Errors
///
/// Fails where the filter is not valid or logs have been started already.
pub fn init(settings: &LogSettings) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(settings)?)
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|e| eyre!("starting logs: {e}"))
}
