//! `jayhall show`

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Prefix of the first line of `show`, which holds the revision. The line is an INI comment, so the output can
/// be edited and published as it is.
const REVISION_PREFIX: &str = "; revision ";

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [] = command_line.arguments()?;
    let revision = command_line.number_option("revision")?;
    let body = command_line.client()?.config(revision).await?;
    print_body(command_line, &body, |body| {
        prepend_revision(body.revision, &body.text)
    })
}

/// Returns the text with its revision in the first line.
fn prepend_revision(revision: u64, text: &str) -> String {
    format!("{REVISION_PREFIX}{revision}\n{text}")
}

/// Splits off the revision line that `show` adds; returns `None` and the whole text where it is missing.
pub(super) fn split_revision(text: &str) -> (Option<u64>, &str) {
    let Some((first_line, rest)) = text.split_once('\n') else {
        return (None, text);
    };
    match first_line
        .strip_prefix(REVISION_PREFIX)
        .map(|n| n.trim().parse())
    {
        Some(Ok(revision)) => (Some(revision), rest),
        Some(Err(_)) | None => (None, text),
    }
}
