//! Human-readable difference between two texts.

use similar::TextDiff;

/// Unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of two texts, each given as name and text; empty if the texts are equal.
pub fn difference(old: (&str, &str), new: (&str, &str)) -> Box<str> {
    let diff = TextDiff::from_lines(old.1, new.1);
    let mut unified = diff.unified_diff();
    unified
        .context_radius(CONTEXT_LINES)
        .header(old.0, new.0)
        .to_string()
        .into()
}
