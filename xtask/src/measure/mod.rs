//! `cargo xtask measure`: runs the real processes under load and reports latency and success rates.

mod load;
mod outcome;
mod overhead;
mod scenario;

use std::fs;

use eyre::{Result, WrapErr, bail};
use getopts::Options;
use jayhall_harness::{Fleet, FleetOptions, association};
use serde::Serialize;

use outcome::ScenarioReport;
use overhead::Overhead;
use scenario::{SCENARIOS, Scenario};

const USAGE: &str =
    "Usage: cargo xtask measure [--scenario NAME] [--seconds N] [--seed N] [--json FILE]";
/// Default duration of the load of a scenario.
const DEFAULT_SECONDS: u64 = 20;
/// Default seed of the arrival times.
const DEFAULT_SEED: u64 = 1;

/// Measurements of one run.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    seconds: u64,
    overhead: Option<Overhead>,
    scenarios: Vec<ScenarioReport>,
}

/// Runs the scenarios and prints their measurements.
///
/// # Errors
///
/// Fails if a process does not start or the report cannot be written.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "scenario", "run only this scenario", "NAME");
    opts.optopt("", "seconds", "duration of the load in seconds", "N");
    opts.optopt("", "seed", "seed of the arrival times", "N");
    opts.optopt("", "json", "write the measurements to FILE", "FILE");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        for scenario in SCENARIOS {
            println!("    {:<16}{}", scenario.name, scenario.description);
        }
        return Ok(());
    }
    let seconds = matches.opt_get_default("seconds", DEFAULT_SECONDS)?;
    let seed = matches.opt_get_default("seed", DEFAULT_SEED)?;
    let wanted = matches.opt_str("scenario");
    let scenarios: Vec<&Scenario> = SCENARIOS
        .iter()
        .filter(|scenario| wanted.as_deref().is_none_or(|name| name == scenario.name))
        .collect();
    if scenarios.is_empty() {
        bail!("unknown scenario; see --help");
    }
    crate::demo::build()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(measure(&scenarios, seconds, seed))?;
    if let Some(path) = matches.opt_str("json") {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(&path, text).wrap_err_with(|| format!("writing {path}"))?;
    }
    Ok(())
}

async fn measure(scenarios: &[&Scenario], seconds: u64, seed: u64) -> Result<Report> {
    let mut report = Report {
        seed,
        seconds,
        overhead: None,
        scenarios: Vec::new(),
    };
    for scenario in scenarios {
        // Starts a new fleet for each scenario, so that queues and caches are empty.
        let mut layout = association();
        layout.engine_args = scenario::engine_args();
        let mut fleet = Fleet::spawn(layout, FleetOptions::default()).await?;
        if report.overhead.is_none() {
            let overhead = overhead::measure(&fleet).await?;
            overhead.print();
            report.overhead = Some(overhead);
        }
        let measured = load::run(&mut fleet, scenario, seconds, seed).await?;
        measured.print();
        report.scenarios.push(measured);
    }
    Ok(report)
}
