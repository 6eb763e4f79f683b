//! Developer tasks, run as `cargo xtask TASK`.

use std::process::ExitCode;

mod demo;
mod measure;
mod policy;
mod slopes;
mod soak;

const USAGE: &str = "\
Usage: cargo xtask TASK [OPTIONS]

Tasks:
  demo      Starts everything on loopback, serves requests and checks the answers
  measure   Runs the real processes under load and reports what callers got
  policy    Compares the decisions with baselines on a small event loop
  slopes    Measures what control costs as nodes and engines grow
  soak      Runs gateways as processes under random faults and checks the promises";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let rest = args.get(1..).unwrap_or_default();
    let outcome = match args.first().map(String::as_str) {
        Some("demo") => demo::run(rest),
        Some("measure") => measure::run(rest),
        Some("slopes") => slopes::run(rest),
        Some("soak") => soak::run(rest),
        Some("policy") => policy::run(rest),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("xtask: {e:#}");
            ExitCode::FAILURE
        }
    }
}
