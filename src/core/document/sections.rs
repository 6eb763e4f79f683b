//! Section-wise deltas between texts, so that a change transfers only the changed sections.

use sha2::{Digest, Sha256};
use thiserror::Error;

/// SHA-256 of a whole text.
pub type TextDigest = [u8; 32];

/// Change of one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionChange {
    /// Heading without brackets; empty for the text before the first heading.
    pub heading: Box<str>,
    /// New text of the section including its heading, or `None` to remove the section.
    pub text: Option<Box<str>>,
}

/// Failure to apply a delta.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The resulting text differs from the sender's.
    #[error("the changed text has another digest than the sender's")]
    Digest,
}

/// The module's result.
pub type Result<T> = std::result::Result<T, ApplyError>;

struct Section<'a> {
    heading: &'a str,
    text: &'a str,
}

/// Returns the SHA-256 of a text.
pub fn digest(text: &str) -> TextDigest {
    Sha256::digest(text.as_bytes()).into()
}

/// Returns the changes from one text to another, or `None` if section changes cannot express the
/// difference, as with duplicate headings or reordered sections.
pub fn delta(old_text: &str, new_text: &str) -> Option<Vec<SectionChange>> {
    let (old, new) = (split(old_text), split(new_text));
    let mut changes: Vec<_> = old
        .iter()
        .filter(|section| find(&new, section.heading).is_none())
        .map(|section| SectionChange {
            heading: section.heading.into(),
            text: None,
        })
        .collect();
    for section in &new {
        if find(&old, section.heading).is_none_or(|old| old.text != section.text) {
            changes.push(SectionChange {
                heading: section.heading.into(),
                text: Some(section.text.into()),
            });
        }
    }
    (patch(&old, &changes) == new_text).then_some(changes)
}

/// Applies changes to a text.
///
/// # Errors
///
/// Fails if the digest of the result differs from that of the sender's text, so that a node never
/// installs a text that was not published.
pub fn apply(old_text: &str, changes: &[SectionChange], expected: &TextDigest) -> Result<String> {
    let text = patch(&split(old_text), changes);
    if digest(&text) != *expected {
        return Err(ApplyError::Digest);
    }
    Ok(text)
}

/// Applies changes to a text without a check of the result.
pub(super) fn patch_text(old_text: &str, changes: &[SectionChange]) -> String {
    patch(&split(old_text), changes)
}

/// Returns the text of a section, including its heading.
pub fn section_text<'a>(text: &'a str, heading: &str) -> Option<&'a str> {
    let sections = split(text);
    sections
        .iter()
        .find(|section| is_same_heading(section.heading, heading))
        .map(|section| section.text)
}

/// Returns whether two headings are equal apart from white space.
fn is_same_heading(one: &str, other: &str) -> bool {
    one.split_whitespace().eq(other.split_whitespace())
}

fn patch(old: &[Section<'_>], changes: &[SectionChange]) -> String {
    let mut sections: Vec<(&str, &str)> = old
        .iter()
        .map(|section| (section.heading, section.text))
        .collect();
    for change in changes {
        let position = sections
            .iter()
            .position(|(heading, _)| is_same_heading(heading, &change.heading));
        match (position, &change.text) {
            (Some(index), Some(text)) => sections[index].1 = text,
            (Some(index), None) => drop(sections.remove(index)),
            (None, Some(text)) => {
                let index = insertion_index(&sections, &change.heading);
                sections.insert(index, (&change.heading, text));
            }
            (None, None) => {}
        }
    }
    sections.into_iter().map(|(_, text)| text).collect()
}

/// Returns the index for a new section: after the last one of its kind, or else at the end.
fn insertion_index(sections: &[(&str, &str)], heading: &str) -> usize {
    if heading.is_empty() {
        return 0;
    }
    sections
        .iter()
        .rposition(|(other, _)| kind(other) == kind(heading))
        .map_or(sections.len(), |index| index + 1)
}

fn kind(heading: &str) -> &str {
    heading.split_whitespace().next().unwrap_or("")
}

fn find<'p, 'a>(sections: &'p [Section<'a>], heading: &str) -> Option<&'p Section<'a>> {
    sections.iter().find(|section| section.heading == heading)
}

fn split(text: &str) -> Vec<Section<'_>> {
    let mut sections = Vec::new();
    let mut current = Section {
        heading: "",
        text: "",
    };
    let (mut start, mut offset) = (0, 0);
    for line in text.split_inclusive('\n') {
        if let Some(heading) = heading_of(line) {
            current.text = &text[start..offset];
            sections.push(current);
            current = Section { heading, text: "" };
            start = offset;
        }
        offset += line.len();
    }
    current.text = &text[start..];
    sections.push(current);
    sections.retain(|section| !section.text.is_empty());
    sections
}

fn heading_of(line: &str) -> Option<&str> {
    line.trim().strip_prefix('[')?.strip_suffix(']')
}
