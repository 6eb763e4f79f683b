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
  demo      Starts all processes on loopback, sends requests and checks the responses
  measure   Runs the real processes under load and reports latency and success rates
  policy    Compares the control decisions with baselines in simulated time
  slopes    Measures the cost of the control plane over the number of nodes and engines
  soak      Runs gateways as processes under random faults and checks their guarantees";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let task_args = args.get(1..).unwrap_or_default();
    let outcome = match args.first().map(String::as_str) {
        Some("demo") => demo::run(task_args),
        Some("measure") => measure::run(task_args),
        Some("slopes") => slopes::run(task_args),
        Some("soak") => soak::run(task_args),
        Some("policy") => policy::run(task_args),
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
