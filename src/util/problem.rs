//! Problems in documents and settings, each with its position and a suggested fix.

use std::fmt;

use thiserror::Error;

use crate::util::ini::{IniEntry, IniError};

/// A problem at one position of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, counted from 1; 0 for a problem of the whole text, such as a missing section.
    pub line: u32,
    /// Heading of the section, such as `customer bekele`; empty outside sections.
    pub section: Box<str>,
    /// Key; empty for a problem of the whole section.
    pub key: Box<str>,
    /// Description of the problem.
    pub what: Box<str>,
    /// Suggested fix.
    pub remedy: Box<str>,
}

impl Problem {
    /// Creates the problem of a key above the first heading.
    pub fn above_headings(entry: &IniEntry) -> Self {
        Self {
            line: entry.line,
            section: "".into(),
            key: entry.key.clone(),
            what: "stands above the first heading".into(),
            remedy: "move it into a section".into(),
        }
    }
}

impl From<&IniError> for Problem {
    fn from(e: &IniError) -> Self {
        Self {
            line: e.line,
            section: "".into(),
            key: "".into(),
            what: format!(
                "{:?} is not a heading, a key with a value or a comment",
                e.text
            )
            .into(),
            remedy: "write `key = value`".into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str("whole text")?,
            line => write!(f, "line {line}")?,
        }
        if !self.section.is_empty() {
            write!(f, ", [{}]", self.section)?;
        }
        match (&*self.section, &*self.key) {
            (_, "") => {}
            ("", key) => write!(f, ", {key}")?,
            (_, key) => write!(f, " {key}")?,
        }
        write!(f, ": {}; {}", self.what, self.remedy)
    }
}

/// All problems of a text, ordered by line.
#[derive(Clone, Debug, Default, Error, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Returns the first problem reported for a key of a section.
    pub fn of_key(&self, section: &str, key: &str) -> Option<&Problem> {
        self.0
            .iter()
            .find(|problem| &*problem.section == section && &*problem.key == key)
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
