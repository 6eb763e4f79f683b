//! `jayhall show`

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Starts the first line of a shown document, which says what it was made from.
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

/// Splits the line that `show` adds from a text.
pub(super) fn split_revision(text: &str) -> (Option<u64>, &str) {
    let Some((first, rest)) = text.split_once('\n') else {
        return (None, text);
    };
    match first.strip_prefix(REVISION_LINE).map(|n| n.trim().parse()) {
        Some(Ok(revision)) => (Some(revision), rest),
        Some(Err(_)) | None => (None, text),
    }
}
