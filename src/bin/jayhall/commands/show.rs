//! `jayhall show`

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Prefix of the first line of `show`, which holds the revision. The line is an INI comment, so the output can
/// be edited and published as it is.
const REVISION_LINE: &str = "; revision ";

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [] = line.arguments()?;
    let revision = line.number_option("revision")?;
    let body = line.client()?.config(revision).await?;
    print(line, &body, |body| with_revision(body.revision, &body.text))
}

/// Returns the text with its revision in the first line.
fn with_revision(revision: u64, text: &str) -> String {
    format!("{REVISION_LINE}{revision}\n{text}")
}

/// Splits off the revision line that `show` adds; returns `None` and the whole text where it is missing.
pub(super) fn split_revision(text: &str) -> (Option<u64>, &str) {
    let Some((first, rest)) = text.split_once('\n') else {
        return (None, text);
    };
    match first.strip_prefix(REVISION_LINE).map(|n| n.trim().parse()) {
        Some(Ok(revision)) => (Some(revision), rest),
        Some(Err(_)) | None => (None, text),
    }
}
