//! Logs, as lines for people or as JSON.

use eyre::{Result, WrapErr, eyre};
use tracing_subscriber::EnvFilter;

use super::settings::{LogFormat, LogSettings};

/// Starts to write logs to the standard error output.
///
/// # Errors
///
/// Fails where the filter is not valid or logs have been started already.
pub fn init(settings: &LogSettings) -> Result<()> {
    let filter = EnvFilter::try_new(&*settings.filter)
        .wrap_err("reading [log] filter; write it like `info,jayhall::peers=debug`")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|e| eyre!("starting logs: {e}"))
}
