//! Documents and settings files with the messages that they are expected to cause.
//!
//! Each line `; expect: MESSAGE` in a file is an expected message. A file without such a line is valid.

use std::path::Path;

use jayhall::core::document::{Document, Problems, render};
use jayhall::util::settings::Settings;

/// Prefix of a line with an expected message.
const EXPECT: &str = "; expect: ";

pub(crate) fn document_has_the_expected_problems(
    _path: &Path,
    text: String,
) -> datatest_stable::Result<()> {
    let result = Document::parse(&text);
    if let Ok(document) = &result {
        let canonical = render(document);
        assert_eq!(Document::parse(&canonical).as_ref(), Ok(document));
    }
    assert_messages(&text, result.err());
    Ok(())
}

pub(crate) fn settings_have_the_expected_problems(
    _path: &Path,
    text: String,
) -> datatest_stable::Result<()> {
    assert_messages(&text, Settings::parse(&text).err());
    Ok(())
}

fn assert_messages(text: &str, problems: Option<Problems>) {
    let expected: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix(EXPECT))
        .map(str::to_owned)
        .collect();
    let found: Vec<_> = problems
        .unwrap_or_default()
        .0
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(found, expected);
}
