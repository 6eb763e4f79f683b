//! INI parser that records the line of every heading and key, for error messages.

use ini_core::{Item, Parser};
use thiserror::Error;

/// A line that is neither a heading, a key with a value, a comment nor blank.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "line {line}: {text:?} is not a heading, a key with a value or a comment; write `key = value`"
)]
pub struct IniError {
    /// Line number, counted from 1.
    pub line: u32,
    /// Text of the line.
    pub text: Box<str>,
}

/// The module's result.
pub type Result<T> = std::result::Result<T, IniError>;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniEntry {
    /// Key, trimmed.
    pub key: Box<str>,
    /// Value, trimmed; may be empty.
    pub value: Box<str>,
    /// Line number, counted from 1.
    pub line: u32,
}

/// A heading and the keys under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniSection {
    /// First word of the heading, such as `customer`; empty for keys above the first heading.
    pub kind: Box<str>,
    /// Rest of the heading, such as `bekele`; may be empty.
    pub name: Box<str>,
    /// Line number of the heading, counted from 1; 0 for keys above the first heading.
    pub line: u32,
    /// Keys, in text order.
    pub entries: Vec<IniEntry>,
}

impl IniSection {
    fn with_heading(heading: &str, line: u32) -> Self {
        let (kind, name) = match heading.trim().split_once(char::is_whitespace) {
            Some((kind, name)) => (kind, name.trim()),
            None => (heading.trim(), ""),
        };
        Self {
            kind: kind.into(),
            name: name.into(),
            line,
            entries: Vec::new(),
        }
    }

    /// Returns the empty section, at line 0, that stands for a section missing from the text.
    pub fn absent(kind: &str) -> Self {
        Self::with_heading(kind, 0)
    }

    /// Returns the last entry with the key.
    pub fn entry(&self, key: &str) -> Option<&IniEntry> {
        self.entries.iter().rev().find(|entry| &*entry.key == key)
    }
}

/// Parses INI text. Comments start with `;` or `#` at the beginning of a line.
///
/// # Errors
///
/// Fails at the first line that is neither a heading, a key with a value, a comment nor blank.
pub fn parse(text: &str) -> Result<Vec<IniSection>> {
    let (sections, errors) = parse_all(text);
    match errors.into_iter().next() {
        Some(e) => Err(e),
        None => Ok(sections),
    }
}

/// Parses INI text, continuing after invalid lines. Returns the sections and all errors.
pub fn parse_all(text: &str) -> (Vec<IniSection>, Vec<IniError>) {
    let mut sections: Vec<IniSection> = Vec::new();
    let mut errors = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    while let Some(item) = parser.next() {
        let line = parser.line();
        match item {
            Item::Section(heading) => sections.push(IniSection::with_heading(heading, line)),
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, Some(value)) => {
                if sections.is_empty() {
                    sections.push(IniSection::with_heading("", 0));
                }
                if let Some(section) = sections.last_mut() {
                    section.entries.push(IniEntry {
                        key: key.into(),
                        value: value.into(),
                        line,
                    });
                }
            }
            Item::Property(text, None) | Item::Error(text) => errors.push(IniError {
                line,
                text: text.into(),
            }),
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }
    (sections, errors)
}
