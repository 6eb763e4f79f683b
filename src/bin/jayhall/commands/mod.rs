//! The commands, one module each.

mod check;
mod completion;
mod diff;
mod drain;
mod explain;
mod history;
mod keys;
mod publish;
mod show;
mod status;
mod top;

use serde::Serialize;

use crate::failure::Failure;
use crate::options::CommandLine;

/// Runs the command that the command line names.
pub(crate) async fn run(line: &CommandLine) -> Result<(), Failure> {
    match line.command.name {
        "check" => check::run(line),
        "publish" => publish::run(line).await,
        "show" => show::run(line).await,
        "history" => history::run(line).await,
        "diff" => diff::run(line).await,
        "status" => status::run(line).await,
        "explain" => explain::run(line).await,
        "drain" => drain::run(line).await,
        "keys" => keys::run(line).await,
        "top" => top::run(line).await,
        "completion" => completion::run(line),
        _ => Err(line.wrong_arguments()),
    }
}

/// Prints a response body as JSON if `--json` is given, otherwise as text.
fn print<T: Serialize>(
    line: &CommandLine,
    body: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), Failure> {
    match line.is_json() {
        true => println!("{}", serde_json::to_string_pretty(body)?),
        false => print!("{}", text(body)),
    }
    Ok(())
}

/// Reads a document from a file.
fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::usage(format!("{path} cannot be read: {e}")))
}
