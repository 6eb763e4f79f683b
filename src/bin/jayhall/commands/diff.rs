//! `jayhall diff`

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [from, to] = command_line.arguments()?;
    let parse_revision = |text: &str| {
        text.parse()
            .map_err(|_| Failure::usage(format!("{text:?} is not a revision")))
    };
    let body = command_line
        .client()?
        .diff(parse_revision(from)?, parse_revision(to)?)
        .await?;
    print_body(command_line, &body, |body| body.difference.to_string())
}
