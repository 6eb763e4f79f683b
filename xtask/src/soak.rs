//! `cargo xtask soak`: runs gateways under random faults, several seeds in parallel.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use getopts::Options;
use jayhall_soak::{Plan, Report};
use tokio::sync::Mutex;

const USAGE: &str = "Usage: cargo xtask soak [OPTIONS]

Starts gateways as processes, injects a series of faults drawn from a seed, and checks what callers and back
ends observed. Without --seed or --kept, seeds are random.";
/// Seeds that have failed before, each with its cause.
const REGRESSION_SEEDS: &str = include_str!("soak_seeds.txt");

/// Loopback addresses of all parallel runs: one for each node and one for each run.
const MAX_ADDRESSES: usize = 256;

/// Parsed command line.
struct Args {
    seeds: VecDeque<u64>,
    /// Plan of all runs; each run replaces its seed.
    plan: Plan,
    /// Number of parallel runs.
    jobs: u8,
    /// Folder for the settings and logs of all runs.
    logs: PathBuf,
}

/// Runs the soak test.
///
/// # Errors
///
/// Fails if a run cannot be carried out or a guarantee is violated.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let Some(args) = parse_args(args)? else {
        return Ok(());
    };
    if args.seeds.is_empty() {
        println!("no seeds to run");
        return Ok(());
    }
    crate::demo::build()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let logs = args.logs.clone();
    let failed = runtime.block_on(run_seeds(args))?;
    if failed > 0 {
        bail!(
            "{failed} runs violated a guarantee; their logs are in {}",
            logs.display()
        );
    }
    std::fs::remove_dir_all(&logs).wrap_err("removing the logs of runs without a violation")
}

/// Parses the command line; prints the help and returns `None` if that is requested.
fn parse_args(args: &[String]) -> Result<Option<Args>> {
    let mut opts = Options::new();
    opts.optopt("", "seeds", "number of seeds (default 4)", "N");
    opts.optopt("", "seed", "first seed; the others follow it", "N");
    opts.optflag("", "kept", "run the seeds that have failed before");
    opts.optopt(
        "",
        "time",
        "seconds during which general faults start (default 15)",
        "S",
    );
    opts.optopt(
        "",
        "troubles",
        "seconds during which troubles start after them (default 14)",
        "S",
    );
    opts.optopt("", "nodes", "gateways per run, 1 to 250 (default 3)", "N");
    opts.optopt("", "jobs", "parallel runs, 1 to 30 (default 4)", "N");
    opts.optopt("", "logs", "folder for settings and logs", "DIR");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        return Ok(None);
    }
    let first_seed: u64 = matches.opt_get_default("seed", rand::random::<u64>() >> 20)?;
    let count: u64 = matches.opt_get_default("seeds", 4)?;
    let nodes: usize = matches.opt_get_default("nodes", 3)?;
    let jobs: u8 = matches.opt_get_default("jobs", 4)?;
    if !(1..=250).contains(&nodes) || !(1..=30).contains(&jobs) {
        bail!("--nodes must be 1 to 250 and --jobs 1 to 30");
    }
    if usize::from(jobs) * (nodes + 1) >= MAX_ADDRESSES {
        bail!("--jobs times one more than --nodes must be below {MAX_ADDRESSES}");
    }
    Ok(Some(Args {
        seeds: match matches.opt_present("kept") {
            true => regression_seeds()?,
            false => (first_seed..first_seed + count).collect(),
        },
        plan: Plan {
            seed: first_seed,
            nodes,
            time: Duration::from_secs(matches.opt_get_default("time", 15)?),
            trouble_time: Duration::from_secs(matches.opt_get_default("troubles", 14)?),
        },
        jobs,
        logs: matches
            .opt_str("logs")
            .map_or_else(default_log_dir, PathBuf::from),
    }))
}

fn default_log_dir() -> PathBuf {
    std::env::temp_dir().join(format!("jayhall-soak-{}", std::process::id()))
}

fn regression_seeds() -> Result<VecDeque<u64>> {
    let lines = REGRESSION_SEEDS.lines().map(str::trim);
    let seeds = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    seeds
        .map(|line| {
            let seed = line.split_whitespace().next().unwrap_or_default();
            seed.parse()
                .wrap_err_with(|| format!("soak_seeds.txt: {line:?}"))
        })
        .collect()
}

/// Runs all seeds on `jobs` workers and returns how many violated a guarantee.
async fn run_seeds(args: Args) -> Result<usize> {
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
                print_report(seed, &report);
                std::fs::write(dir.join("faults.txt"), report.faults.join("\n"))?;
                failed += usize::from(!report.violations.is_empty());
            }
        }));
    }
    let mut failed = 0;
    for worker in workers {
        failed += worker.await??;
    }
    Ok(failed)
}

fn print_report(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} faults, {} calls, {} served, {} violations",
        report.faults.len(),
        report.calls,
        report.served,
        report.violations.len()
    );
    for violation in report.violations.iter().take(8) {
        println!("  {}: {}", violation.promise, violation.what);
    }
}
