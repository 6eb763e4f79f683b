//! Which sections and keys a text may have.
//!
//! One table serves the parser, the console's forms and the check that the documentation names every
//! key.

use std::time::Duration;

/// Form of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Text without line breaks.
    Text,
    /// A name: letters, digits, `.`, `_` and `-`.
    Name,
    /// Names with commas between them.
    Names,
    /// A whole number.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number of 0 or more, which may have a fraction.
    Decimal,
    /// A length of time, such as `330ms`, `5s` or `24h`.
    Time {
        /// Shortest value.
        min: Duration,
        /// Longest value.
        max: Duration,
    },
    /// `yes` or `no`.
    YesNo,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// SHA-256 hashes, written `sha256:HEX`, with commas between them.
    Hashes,
    /// An IP number and a port, such as `10.0.0.3:7000`.
    Address,
    /// A URL that starts with `http://` or `https://`.
    Url,
    /// Path of a file.
    Path,
}

/// One key of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySpec {
    /// Key as written.
    pub key: &'static str,
    /// Form of its value.
    pub kind: Kind,
    /// Value where the key is missing; `None` for a key that must be there.
    pub default: Option<&'static str>,
    /// What the key means, in a few words for operators.
    pub label: &'static str,
}

impl KeySpec {
    /// Creates a key that must be there.
    pub const fn required(key: &'static str, kind: Kind, label: &'static str) -> Self {
        Self {
            key,
            kind,
            default: None,
            label,
        }
    }

    /// Creates a key that may be left out.
    pub const fn optional(
        key: &'static str,
        kind: Kind,
        default: &'static str,
        label: &'static str,
    ) -> Self {
        Self {
            key,
            kind,
            default: Some(default),
            label,
        }
    }
}

/// One kind of section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SectionSpec {
    /// First word of the heading.
    pub kind: &'static str,
    /// Whether the heading has a name behind the first word.
    pub is_named: bool,
    /// Keys, in the order in which they are written.
    pub keys: &'static [KeySpec],
}

impl SectionSpec {
    /// Returns the key's specification.
    pub fn key(&self, key: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|spec| spec.key == key)
    }

    /// Returns the heading of a section with the name.
    pub fn heading(&self, name: &str) -> Box<str> {
        heading(self.kind, name)
    }
}

/// Returns the text of a heading without its brackets.
pub fn heading(kind: &str, name: &str) -> Box<str> {
    match name {
        "" => kind.into(),
        name => format!("{kind} {name}").into(),
    }
}
