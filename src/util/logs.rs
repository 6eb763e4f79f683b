//! Logging setup, with text or JSON output.

use std::sync::mpsc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use super::settings::{LogFormat, LogSettings};

/// Capacity of the buffer for log lines; while it is full, new lines are dropped.
const MAX_BUFFERED_LINES: usize = 4096;
/// Time for which the end of a process waits until the buffered lines have been written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Guard of the thread that writes log lines. Dropping it waits until the buffered lines have been written, for
/// [`FLUSH_TIMEOUT`] at most.
#[derive(Debug)]
pub struct LogGuard(Option<WorkerGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let worker = self.0.take();
        let (tx, flushed) = mpsc::channel::<()>();
        // The library waits for a second if nobody reads the lines, and without end if the buffer is full.
        let flush = move || {
            drop(worker);
            drop(tx);
        };
        let thread = std::thread::Builder::new().name("flush-logs".into());
        if thread.spawn(flush).is_ok() {
            // Ends early, with an error, when the thread drops the sender.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts logging to standard output.
///
/// A background thread writes the lines, so that a blocked reader never blocks the process: once the
/// buffer is full, lines are dropped.
///
/// # Errors
///
/// Fails if the filter is invalid or a logger is already installed.
pub fn init_stdout(settings: &LogSettings) -> Result<LogGuard> {
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
    Ok(LogGuard(Some(guard)))
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
