//! Schema of INI texts: the allowed sections and keys.
//!
//! The parser, the console's forms and the test that compares the documentation with the code share these
//! tables.

use std::time::Duration;

/// Type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// Text without line breaks.
    Text,
    /// A name: letters, digits, `.`, `_` and `-`.
    Name,
    /// Comma-separated names.
    Names,
    /// A whole number.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// A non-negative decimal number.
    Decimal,
    /// A duration, such as `330ms`, `5s` or `24h`.
    Time {
        /// Shortest allowed duration.
        min: Duration,
        /// Longest allowed duration.
        max: Duration,
    },
    /// `yes` or `no`.
    YesNo,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// Comma-separated SHA-256 hashes, written `sha256:HEX`.
    Hashes,
    /// An IP address and a port, such as `10.0.0.3:7000`.
    Address,
    /// A URL that starts with `http://` or `https://`.
    Url,
    /// File path.
    Path,
}

/// Schema of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySpec {
    /// Key, as written in the text.
    pub key: &'static str,
    /// Type of the value.
    pub kind: ValueKind,
    /// Default value; `None` for a required key.
    pub default: Option<&'static str>,
    /// Short description for operators.
    pub label: &'static str,
}

impl KeySpec {
    /// Creates a required key.
    pub const fn required(key: &'static str, kind: ValueKind, label: &'static str) -> Self {
        Self {
            key,
            kind,
            default: None,
            label,
        }
    }

    /// Creates an optional key with a default value.
    pub const fn optional(
        key: &'static str,
        kind: ValueKind,
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

/// Schema of a kind of section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SectionSpec {
    /// First word of the heading.
    pub kind: &'static str,
    /// Whether the heading has a name after the kind.
    pub is_named: bool,
    /// Keys, in the order in which they are written to a text.
    pub keys: &'static [KeySpec],
}

impl SectionSpec {
    /// Returns the schema of a key.
    pub fn key(&self, key: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|spec| spec.key == key)
    }

    /// Returns the heading of the section with the name, without brackets.
    pub fn heading(&self, name: &str) -> Box<str> {
        heading(self.kind, name)
    }
}

/// Returns a heading without brackets.
pub fn heading(kind: &str, name: &str) -> Box<str> {
    match name {
        "" => kind.into(),
        name => format!("{kind} {name}").into(),
    }
}
