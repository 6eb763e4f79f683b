//! `cargo xtask demo`: starts all processes on loopback, sends requests and checks the responses.

mod checks;

use std::process::Command;

use eyre::{Result, WrapErr, bail};
use getopts::Options;
use jayhall_harness::{Fleet, FleetOptions, association};

use checks::Checks;

const USAGE: &str = "Usage: cargo xtask demo [--keep]";

/// Runs the demo.
///
/// # Errors
///
/// Fails if a process does not start or a check fails.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optflag("", "keep", "keep the processes running until Ctrl-C");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        return Ok(());
    }
    build()?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(demo(matches.opt_present("keep")))
}

/// Builds the programs that the harness starts.
pub(crate) fn build() -> Result<()> {
    println!("building ...");
    let status = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "--workspace", "--bins"])
        .status()
        .wrap_err("starting cargo")?;
    if !status.success() {
        bail!("the build failed");
    }
    Ok(())
}

async fn demo(keep_running: bool) -> Result<()> {
    println!("starting stand-ins and nodes ...");
    let mut fleet = Fleet::spawn(association(), FleetOptions::default()).await?;
    println!(
        "running: {} nodes in 3 zones of 2 regions, {} back ends, store, cloud, list, weight store\n",
        fleet.nodes.len(),
        fleet.backends.len()
    );
    let mut checks = Checks::default();
    checks.run_all(&mut fleet).await;
    if keep_running {
        print_addresses(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    drop(fleet);
    checks.finish()
}

fn print_addresses(fleet: &Fleet) {
    println!(
        "\nThe fleet keeps running until Ctrl-C. Logs: {}",
        fleet.logs().display()
    );
    for node in &fleet.nodes {
        println!(
            "  {}: callers {}, operators {}",
            node.vm,
            node.callers(),
            node.operators()
        );
    }
    if let Some(node) = fleet.nodes.first() {
        println!(
            "\nTry:\n  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer key-of-bekele' \\\n    \
             -H 'Content-Type: application/json' \\\n    -d '{{\"model\": \"bucket-assistant\", \"stream\": true, \
             \"messages\": [{{\"role\": \"user\", \"content\": \"Which hoop fits a 12 l bucket?\"}}]}}'\n  \
             curl http://{}/v1/directory",
            node.callers(),
            node.callers()
        );
    }
}
