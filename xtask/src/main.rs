//! Developer tasks, run as `cargo xtask TASK`.

use std::process::ExitCode;

const USAGE: &str = "\
Usage: cargo xtask TASK [OPTIONS]

Tasks:
  demo      Starts everything on loopback, serves requests and checks the answers
  measure   Runs the real processes under load and reports the measures
  slopes    Measures what control costs as nodes and engines grow";

fn main() -> ExitCode {
    eprintln!("{USAGE}");
    ExitCode::from(2)
}
