//! Cases 6 to 10 of the review, and the engines that they start.

mod client;
mod crash_parts;
mod engine;
mod fleet;
mod grey;
mod http;
mod json;
mod late_request;
mod memory;
mod restarted;
mod setup;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a run of a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|name| name == "engine") {
        return match engine::Engine::parse(&args[1..]) {
            Some(engine) => {
                engine::run(engine);
                ExitCode::SUCCESS
            }
            None => ExitCode::from(2),
        };
    }
    let (Some(case), Some(folder)) = (args.first(), args.get(1)) else {
        eprintln!("Usage: drive-2 CASE FOLDER, in the root of the repository");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::new();
    let outcome = match case.as_str() {
        "crash-parts" => crash_parts::run(&record, trouble),
        "grey" => grey::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "late-request" => late_request::run(&record, trouble),
        "restarted" => restarted::run(&record, trouble),
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let code = match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    };
    setup::remove_folder();
    record.say(format!("exit {code}"));
    record.write(&PathBuf::from(folder).join("record.txt"));
    ExitCode::from(code)
}
