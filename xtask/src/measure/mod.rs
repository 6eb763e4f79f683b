//! Runs the real processes under load and reports what callers got.

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

const BRIEF: &str =
    "Usage: cargo xtask measure [--scenario NAME] [--seconds N] [--seed N] [--json FILE]";
/// Length of a scenario's load, unless set otherwise.
const DEFAULT_SECONDS: u64 = 20;
/// Seed of arrivals, unless set otherwise.
const DEFAULT_SEED: u64 = 1;

/// All that one run measured.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    seconds: u64,
    overhead: Option<Overhead>,
    scenarios: Vec<ScenarioReport>,
}

/// Runs the scenarios and prints their figures.
///
/// # Errors
///
/// Fails where a process does not start or the report cannot be written.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "scenario", "run only this one", "NAME");
    opts.optopt("", "seconds", "length of the load", "N");
    opts.optopt("", "seed", "seed of arrivals", "N");
    opts.optopt("", "json", "write the figures there", "FILE");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(BRIEF));
        for scenario in SCENARIOS {
            println!("    {:<16}{}", scenario.name, scenario.what);
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
        bail!("there is no such scenario; see --help");
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
        // Each scenario has a fleet of its own, so that none inherits queues or caches.
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
