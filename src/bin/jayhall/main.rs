//! `jayhall`, the command-line client for operators.

mod commands;
mod failure;
mod help;
mod options;
mod table;

use std::process::ExitCode;

use failure::Failure;
use options::Invocation;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("jayhall: {failure}");
            failure.exit_code()
        }
    }
}

fn run(args: &[String]) -> Result<(), Failure> {
    let invocation = match options::parse_args(args)? {
        Invocation::Help(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(invocation) => invocation,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(commands::run(&invocation))
}
