//! `cargo xtask slopes`: measures the cost of the control plane over the number of nodes and engines.

mod decisions;
mod fit;
mod loopback;
mod members;
mod report;

use std::path::PathBuf;

use eyre::{Result, WrapErr};
use getopts::Options;

use self::report::Series;

/// Default of `--members`, the size of the largest fleet.
const DEFAULT_MAX_MEMBERS: usize = 1100;

/// Runs all measurements, prints them and writes them as JSON if `--json` is given.
///
/// # Errors
///
/// Fails for unknown options, and if nodes do not discover each other.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "json", "write the series to FILE", "FILE");
    options.optopt("", "members", "maximum number of members", "COUNT");
    options.optflag("h", "help", "show this text");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: cargo xtask slopes [OPTIONS]"));
        return Ok(());
    }
    if cfg!(debug_assertions) {
        println!("unoptimized build: processor times are upper bounds");
    }
    let max_members = matches.opt_get("members")?.unwrap_or(DEFAULT_MAX_MEMBERS);
    let mut series = decisions::measure();
    series.extend(measure_loopback()?);
    series.extend(members::measure(max_members)?);
    series.iter().for_each(Series::print);
    if let Some(path) = matches.opt_str("json").map(PathBuf::from) {
        let text = serde_json::to_string_pretty(&series)?;
        std::fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}

fn measure_loopback() -> Result<Vec<Series>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(loopback::measure())
}
