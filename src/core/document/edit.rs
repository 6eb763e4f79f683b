//! Changes one section of a text and leaves everything else, comments among them, as it is.

use crate::core::document::sections::{SectionChange, patch_text, section_text};

/// One key with its value, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: Box<str>,
    /// Value; the key is left out where it is empty.
    pub value: Box<str>,
}

/// Returns the text with a section of these keys, in place of the one with the heading or as a new
/// one behind the others of its kind.
pub fn put_section(text: &str, heading: &str, values: &[KeyValue]) -> String {
    let mut section = format!("[{heading}]\n");
    for KeyValue { key, value } in values.iter().filter(|value| !value.value.is_empty()) {
        section += &format!("{key} = {value}\n");
    }
    section.push('\n');
    change(text, heading, Some(section.into()))
}

/// Returns the text without a section.
pub fn remove_section(text: &str, heading: &str) -> String {
    change(text, heading, None)
}

/// Returns the text with another value of one key, or `None` where the section is not there.
pub fn set_value(text: &str, heading: &str, key: &str, value: &str) -> Option<String> {
    let section = section_text(text, heading)?;
    let is_key = |line: &&str| {
        let name = line.split_once('=').map(|(name, _)| name.trim());
        name == Some(key)
    };
    let new = format!("{key} = {value}\n");
    let section: String = match section.split_inclusive('\n').find(is_key) {
        Some(line) => section.replacen(line, &new, 1),
        None => insert_behind_heading(section, &new),
    };
    Some(change(text, heading, Some(section.into())))
}

fn insert_behind_heading(section: &str, line: &str) -> String {
    match section.split_once('\n') {
        Some((heading, rest)) => format!("{heading}\n{line}{rest}"),
        None => format!("{section}\n{line}"),
    }
}

fn change(text: &str, heading: &str, section: Option<Box<str>>) -> String {
    let change = SectionChange {
        heading: heading.into(),
        text: section,
    };
    match text.is_empty() || text.ends_with('\n') {
        true => patch_text(text, &[change]),
        false => patch_text(&format!("{text}\n"), &[change]),
    }
}
