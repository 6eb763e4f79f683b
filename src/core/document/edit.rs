//! Edits of single sections that preserve the rest of the text, including comments.

use crate::core::document::sections::{SectionChange, patch_text, section_text};

/// A key with its value in text form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: Box<str>,
    /// Value; an empty value omits the key.
    pub value: Box<str>,
}

/// Returns the text with a section of these keys. The section replaces the one with the same heading,
/// or is inserted after the last one of its kind.
pub fn put_section(text: &str, heading: &str, values: &[KeyValue]) -> String {
    let mut section = format!("[{heading}]\n");
    for KeyValue { key, value } in values.iter().filter(|value| !value.value.is_empty()) {
        section += &format!("{key} = {value}\n");
    }
    section.push('\n');
    apply_change(text, heading, Some(section.into()))
}

/// Returns the text without the section.
pub fn remove_section(text: &str, heading: &str) -> String {
    apply_change(text, heading, None)
}

/// Returns the text with a new value of one key, or `None` if there is no such section.
pub fn set_value(text: &str, heading: &str, key: &str, value: &str) -> Option<String> {
    let section = section_text(text, heading)?;
    let is_key = |line: &&str| {
        let name = line.split_once('=').map(|(name, _)| name.trim());
        name == Some(key)
    };
    let new = format!("{key} = {value}\n");
    let section: String = match section.split_inclusive('\n').find(is_key) {
        Some(line) => section.replacen(line, &new, 1),
        None => insert_after_heading(section, &new),
    };
    Some(apply_change(text, heading, Some(section.into())))
}

fn insert_after_heading(section: &str, line: &str) -> String {
    match section.split_once('\n') {
        Some((heading, rest)) => format!("{heading}\n{line}{rest}"),
        None => format!("{section}\n{line}"),
    }
}

fn apply_change(text: &str, heading: &str, section: Option<Box<str>>) -> String {
    let apply_change = SectionChange {
        heading: heading.into(),
        text: section,
    };
    match text.is_empty() || text.ends_with('\n') {
        true => patch_text(text, &[apply_change]),
        false => patch_text(&format!("{text}\n"), &[apply_change]),
    }
}
