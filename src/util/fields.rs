//! Reads the keys of one section according to its schema and collects all problems.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::{Array, SmallVec};

use crate::util::ini::{IniEntry, IniSection};
use crate::util::problem::Problem;
use crate::util::schema::{KeySpec, SectionSpec, ValueKind, heading};
use crate::util::value;

/// Reader of one section. An invalid value is reported as a problem and read as the default of its type.
#[derive(Debug)]
pub struct Fields<'a> {
    section: &'a IniSection,
    spec: &'static SectionSpec,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Fields<'a> {
    /// Opens a section and reports an invalid name, unknown keys and duplicate keys.
    pub fn open(
        section: &'a IniSection,
        spec: &'static SectionSpec,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let mut fields = Self {
            section,
            spec,
            problems,
        };
        fields.check_name();
        fields.check_keys();
        fields
    }

    /// Returns a value as text.
    pub fn text(&mut self, key: &str) -> Box<str> {
        self.value(key, |text, _| Ok(text.into()))
    }

    /// Returns an integer within the range of its schema.
    pub fn number<T: TryFrom<u64> + Default>(&mut self, key: &str) -> T {
        self.value(key, |text, kind| {
            let ValueKind::Number { min, max } = kind else {
                return Ok(T::default());
            };
            let what = || format!("{text:?} is not a whole number in range");
            text.parse::<u64>()
                .ok()
                .filter(|number| (min..=max).contains(number))
                .and_then(|number| T::try_from(number).ok())
                .ok_or_else(|| (what(), format!("write a number from {min} to {max}")))
        })
    }

    /// Returns a non-negative decimal number.
    pub fn decimal(&mut self, key: &str) -> f64 {
        self.value(key, |text, _| {
            value::parse_decimal(text).ok_or_else(|| {
                (
                    format!("{text:?} is not a number of 0 or more"),
                    "write digits, with a point before a fraction, such as 33 or 0.2".into(),
                )
            })
        })
    }

    /// Returns a duration within the range of its schema.
    pub fn duration(&mut self, key: &str) -> Duration {
        self.value(key, |text, kind| {
            let ValueKind::Time { min, max } = kind else {
                return Ok(Duration::ZERO);
            };
            let range = format!(
                "write a time from {} to {}, such as 330ms, 5s or 24h",
                value::format_duration(min),
                value::format_duration(max)
            );
            let Some(duration) = value::parse_duration(text) else {
                return Err((format!("{text:?} is not a length of time"), range));
            };
            if !(min..=max).contains(&duration) {
                return Err((format!("{text} is out of range"), range));
            }
            Ok(duration)
        })
    }

    /// Returns a boolean, written `yes` or `no`.
    pub fn yes_no(&mut self, key: &str) -> bool {
        self.value(key, |text, _| {
            value::parse_yes_no(text).ok_or_else(|| {
                (
                    format!("{text:?} is neither yes nor no"),
                    "write yes or no".into(),
                )
            })
        })
    }

    /// Returns one of the choices of the schema.
    pub fn choice(&mut self, key: &str) -> Box<str> {
        self.value(key, |text, kind| match kind {
            ValueKind::Choice(words) if !words.contains(&text) => Err((
                format!("{text:?} is not known"),
                format!("write one of: {}", words.join(", ")),
            )),
            _ => Ok(text.into()),
        })
    }

    /// Returns a name.
    pub fn name(&mut self, key: &str) -> Box<str> {
        self.value(key, |text, _| match value::is_name(text) {
            true => Ok(text.into()),
            false => Err(invalid_name(text)),
        })
    }

    /// Returns a name, or an empty string for an empty value.
    pub fn optional_name(&mut self, key: &str) -> Box<str> {
        self.value(key, |text, _| {
            match text.is_empty() || value::is_name(text) {
                true => Ok(text.into()),
                false => Err(invalid_name(text)),
            }
        })
    }

    /// Returns a list of names without duplicates.
    pub fn names<A: Array<Item = Box<str>>>(&mut self, key: &str) -> SmallVec<A> {
        self.value(key, |text, _| {
            let mut names = SmallVec::<A>::new();
            for part in value::split_list(text) {
                if !value::is_name(part) {
                    return Err(invalid_name(part));
                }
                if names.iter().any(|name| &**name == part) {
                    return Err((format!("{part} is there twice"), "write it once".into()));
                }
                names.push(part.into());
            }
            Ok(names)
        })
    }

    /// Returns a list of hashes without duplicates.
    pub fn hashes<A: Array<Item = value::Hash>>(&mut self, key: &str) -> SmallVec<A> {
        self.value(key, |text, _| {
            let mut hashes = SmallVec::<A>::new();
            for part in value::split_list(text) {
                let Some(hash) = value::parse_hash(part) else {
                    return Err(invalid_hash());
                };
                if hashes.contains(&hash) {
                    return Err(("a hash is there twice".into(), "write it once".into()));
                }
                hashes.push(hash);
            }
            Ok(hashes)
        })
    }

    /// Returns a socket address, or `None` for an empty value.
    pub fn address(&mut self, key: &str) -> Option<SocketAddr> {
        self.value(key, |text, _| match text {
            "" => Ok(None),
            text => value::parse_address(text).map(Some).ok_or_else(|| {
                (
                    format!("{text:?} is not an IP number with a port"),
                    "write both, such as 10.0.0.3:7000".into(),
                )
            }),
        })
    }

    /// Returns an HTTP URL without a trailing slash, or an empty string for an empty value.
    pub fn url(&mut self, key: &str) -> Box<str> {
        self.value(key, |text, _| match text {
            "" => Ok("".into()),
            text if value::is_http_url(text) => Ok(text.trim_end_matches('/').into()),
            text => Err((
                format!("{text:?} is not a URL of HTTP"),
                "write it in full, such as http://10.0.0.9:2379".into(),
            )),
        })
    }

    fn value<T: Default>(
        &mut self,
        key: &str,
        read: impl FnOnce(&str, ValueKind) -> Result<T, (String, String)>,
    ) -> T {
        let Some(spec) = self.spec.key(key) else {
            debug_assert!(false, "{key} is not in the table of [{}]", self.spec.kind);
            return T::default();
        };
        let entry = self.section.entry(key);
        let Some(text) = entry.map(|entry| &*entry.value).or(spec.default) else {
            self.report_missing(spec);
            return T::default();
        };
        if text.is_empty() && spec.default != Some("") {
            self.report_missing(spec);
            return T::default();
        }
        match read(text, spec.kind) {
            Ok(value) => value,
            Err((what, remedy)) => {
                let line = entry.map_or(self.section.line, |entry| entry.line);
                self.report(line, key, what, remedy);
                T::default()
            }
        }
    }

    fn report_missing(&mut self, spec: &KeySpec) {
        let line = self
            .section
            .entry(spec.key)
            .map_or(self.section.line, |entry| entry.line);
        let remedy = format!("add `{} = ...` ({})", spec.key, spec.label);
        self.report(line, spec.key, "has no value".into(), remedy);
    }

    fn check_name(&mut self) {
        let (kind, name) = (&*self.section.kind, &*self.section.name);
        let line = self.section.line;
        match (self.spec.is_named, name) {
            (true, "") => self.report(
                line,
                "",
                "has no name".into(),
                format!("write [{kind} NAME]"),
            ),
            (true, name) if !value::is_name(name) => {
                let (what, remedy) = invalid_name(name);
                self.report(line, "", what, remedy);
            }
            (false, name) if !name.is_empty() => {
                self.report(line, "", "takes no name".into(), format!("write [{kind}]"));
            }
            _ => {}
        }
    }

    fn check_keys(&mut self) {
        let section = self.section;
        for (index, entry) in section.entries.iter().enumerate() {
            if self.spec.key(&entry.key).is_none() {
                self.report_unknown(entry);
                continue;
            }
            let first = section.entries[..index]
                .iter()
                .find(|earlier| earlier.key == entry.key);
            if let Some(first) = first {
                let what = format!("is there already in line {}", first.line);
                self.report(entry.line, &entry.key, what, "keep one of them".into());
            }
        }
    }

    fn report_unknown(&mut self, entry: &IniEntry) {
        let known: Vec<_> = self.spec.keys.iter().map(|spec| spec.key).collect();
        let remedy = format!("use one of: {}", known.join(", "));
        self.report(
            entry.line,
            &entry.key,
            "is not a key of this section".into(),
            remedy,
        );
    }

    fn report(&mut self, line: u32, key: &str, what: String, remedy: String) {
        self.problems.push(Problem {
            line,
            section: heading(&self.section.kind, &self.section.name),
            key: key.into(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }
}

fn invalid_name(text: &str) -> (String, String) {
    (
        format!("{text:?} is not a name"),
        "use up to 64 letters, digits, '.', '_' and '-', with a letter or digit first".into(),
    )
}

// The message leaves the value out, because it may be a secret key written in place of its hash.
fn invalid_hash() -> (String, String) {
    (
        "a value is not the hash of a key".into(),
        "write sha256: and 64 hexadecimal digits; `jayhall keys add` makes one".into(),
    )
}
