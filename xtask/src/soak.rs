//! `cargo xtask soak`: gateways under random faults, many seeds beside each other.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use getopts::Options;
use jayhall_soak::{Plan, Report};
use tokio::sync::Mutex;

const BRIEF: &str = "Usage: cargo xtask soak [OPTIONS]

Starts gateways as processes, breaks what they meet in a series of faults drawn from a seed, and checks
what callers and back ends saw. Without --seed or --kept, seeds are fresh.";
/// Seeds that failed once, with a line on each cause.
const KEPT: &str = include_str!("soak_seeds.txt");

/// What to play.
struct Args {
    seeds: VecDeque<u64>,
    /// What all runs have in common.
    plan: Plan,
    /// Runs beside each other.
    jobs: u8,
    /// Folder for settings and logs.
    logs: PathBuf,
}

/// Runs the soak.
///
/// # Errors
///
/// Fails where a run could not be played or a promise was broken.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let Some(args) = read_args(args)? else {
        return Ok(());
    };
    if args.seeds.is_empty() {
        println!("no seeds to play");
        return Ok(());
    }
    crate::demo::build()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let logs = args.logs.clone();
    let failed = runtime.block_on(play(args))?;
    if failed > 0 {
        bail!(
            "{failed} runs broke a promise; their logs are in {}",
            logs.display()
        );
    }
    std::fs::remove_dir_all(&logs).wrap_err("removing the logs of runs without a fault")
}

/// Returns what the command line asks for, or `None` where it only asks for help.
fn read_args(args: &[String]) -> Result<Option<Args>> {
    let mut opts = Options::new();
    opts.optopt("", "seeds", "number of seeds (default 4)", "N");
    opts.optopt("", "seed", "first seed; the others follow it", "N");
    opts.optflag("", "kept", "play the seeds that failed once");
    opts.optopt(
        "",
        "time",
        "seconds in which faults begin (default 15)",
        "S",
    );
    opts.optopt("", "nodes", "gateways of a run, 1 to 7 (default 3)", "N");
    opts.optopt(
        "",
        "jobs",
        "runs beside each other, 1 to 30 (default 4)",
        "N",
    );
    opts.optopt("", "logs", "folder for settings and logs", "DIR");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(BRIEF));
        return Ok(None);
    }
    let first: u64 = matches.opt_get_default("seed", rand::random::<u64>() >> 20)?;
    let count: u64 = matches.opt_get_default("seeds", 4)?;
    let nodes: usize = matches.opt_get_default("nodes", 3)?;
    let jobs: u8 = matches.opt_get_default("jobs", 4)?;
    if !(1..=7).contains(&nodes) || !(1..=30).contains(&jobs) {
        bail!("--nodes is 1 to 7, --jobs 1 to 30");
    }
    Ok(Some(Args {
        seeds: match matches.opt_present("kept") {
            true => kept()?,
            false => (first..first + count).collect(),
        },
        plan: Plan {
            seed: first,
            nodes,
            time: Duration::from_secs(matches.opt_get_default("time", 15)?),
        },
        jobs,
        logs: matches
            .opt_str("logs")
            .map_or_else(default_logs, PathBuf::from),
    }))
}

fn default_logs() -> PathBuf {
    std::env::temp_dir().join(format!("jayhall-soak-{}", std::process::id()))
}

fn kept() -> Result<VecDeque<u64>> {
    let lines = KEPT.lines().map(str::trim);
    let seeds = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    seeds
        .map(|line| {
            let seed = line.split_whitespace().next().unwrap_or_default();
            seed.parse()
                .wrap_err_with(|| format!("soak_seeds.txt: {line:?}"))
        })
        .collect()
}

/// Plays all seeds, some beside each other, and returns how many broke a promise.
async fn play(args: Args) -> Result<usize> {
    let Args {
        seeds,
        plan,
        jobs,
        logs,
    } = args;
    let seeds = Arc::new(Mutex::new(seeds));
    let mut workers = Vec::new();
    for slot in 0..jobs {
        let seeds = Arc::clone(&seeds);
        let logs = logs.clone();
        workers.push(tokio::spawn(async move {
            let mut failed = 0;
            loop {
                let Some(seed) = seeds.lock().await.pop_front() else {
                    return Ok::<_, eyre::Report>(failed);
                };
                let dir = logs.join(seed.to_string());
                let report = jayhall_soak::run(Plan { seed, ..plan }, slot, &dir).await;
                let report = report.wrap_err_with(|| format!("seed {seed}"))?;
                print(seed, &report);
                if !report.violations.is_empty() {
                    std::fs::write(dir.join("faults.txt"), report.faults.join("\n"))?;
                    failed += 1;
                }
            }
        }));
    }
    let mut failed = 0;
    for worker in workers {
        failed += worker.await??;
    }
    Ok(failed)
}

fn print(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} faults, {} calls, {} served, {} broken promises",
        report.faults.len(),
        report.calls,
        report.served,
        report.violations.len()
    );
    for violation in report.violations.iter().take(8) {
        println!("  {}: {}", violation.promise, violation.what);
    }
}
