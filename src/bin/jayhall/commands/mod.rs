//! The commands, one module each.

mod check;
mod check_gateway;
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
pub(crate) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    match command_line.command.name {
        "check" if command_line.is_gateway() => check_gateway::run(command_line),
        "check" => check::run(command_line),
        "publish" => publish::run(command_line).await,
        "show" => show::run(command_line).await,
        "history" => history::run(command_line).await,
        "diff" => diff::run(command_line).await,
        "status" => status::run(command_line).await,
        "explain" => explain::run(command_line).await,
        "drain" => drain::run(command_line).await,
        "keys" => keys::run(command_line).await,
        "top" => top::run(command_line).await,
        "completion" => completion::run(command_line),
        _ => Err(command_line.usage_error()),
    }
}

/// Prints a response body as JSON if `--json` is given, otherwise as text.
fn print_body<T: Serialize>(
    command_line: &CommandLine,
    body: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), Failure> {
    match command_line.is_json() {
        true => println!("{}", serde_json::to_string_pretty(body)?),
        false => print!("{}", text(body)),
    }
    Ok(())
}

/// Reads a document from a file.
fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::usage(format!("{path} cannot be read: {e}")))
}
