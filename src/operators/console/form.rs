//! Form of one section, generated from the schema of its keys.

use maud::{Markup, html};

use super::page_request::PageRequest;
use crate::core::document::edit::KeyValue;
use crate::core::document::schema::SECTIONS;
use crate::core::document::sections::section_text;
use crate::core::document::{Problem, Problems};
use crate::util::ini;
use crate::util::schema::{KeySpec, SectionSpec, ValueKind};
use crate::util::value::format_duration;

/// State of a form: a section, its values and their problems.
pub(super) struct SectionForm {
    pub(super) spec: &'static SectionSpec,
    /// Name of the section; empty for a new section without a name yet.
    pub(super) name: Box<str>,
    pub(super) is_new: bool,
    pub(super) base_revision: u64,
    pub(super) values: Vec<KeyValue>,
    pub(super) problems: Problems,
}

/// Returns the schema of a kind of section.
pub(super) fn find_spec(kind: &str) -> Option<&'static SectionSpec> {
    SECTIONS.into_iter().find(|spec| spec.kind == kind)
}

impl SectionForm {
    /// Creates the form from a section of a text.
    pub(super) fn from_text(spec: &'static SectionSpec, name: &str, text: &str, base: u64) -> Self {
        let (sections, _) = ini::parse_all(text);
        let section = sections
            .iter()
            .find(|section| &*section.kind == spec.kind && &*section.name == name);
        let value = |key: &KeySpec| section.and_then(|section| section.entry(key.key));
        Self {
            spec,
            name: name.into(),
            is_new: section.is_none(),
            base_revision: base,
            values: values(spec, |key| value(key).map_or("", |entry| &entry.value)),
            problems: Problems::default(),
        }
    }

    /// Creates the form from the fields that a browser submitted.
    pub(super) fn from_request(spec: &'static SectionSpec, page_request: &PageRequest) -> Self {
        Self {
            spec,
            name: page_request.field("name").trim().into(),
            is_new: page_request.field("new") == "yes",
            base_revision: page_request.revision("base_revision"),
            values: values(spec, |key| page_request.field(key.key)),
            problems: Problems::default(),
        }
    }

    pub(super) fn heading(&self) -> Box<str> {
        self.spec.heading(&self.name)
    }

    /// Returns a problem if the form adds a section whose name is already in use.
    pub(super) fn name_conflict(&self, text: &str) -> Option<Problem> {
        let heading = self.heading();
        let is_conflict = self.is_new && section_text(text, &heading).is_some();
        is_conflict.then(|| Problem {
            line: 0,
            section: heading,
            key: "".into(),
            what: "the name is taken".into(),
            remedy: "use another one, or change the section that has it".into(),
        })
    }

    /// Returns the problems that do not belong to a field of the form.
    pub(super) fn other_problems(&self) -> Vec<&Problem> {
        let heading = self.heading();
        let is_shown = |problem: &&Problem| {
            problem.section == heading
                && (problem.key.is_empty() || self.spec.key(&problem.key).is_some())
        };
        let problems = self.problems.0.iter();
        problems.filter(|problem| !is_shown(problem)).collect()
    }

    pub(super) fn fields(&self) -> Markup {
        html! {
            @if self.spec.is_named { (self.name_field()) }
            @for (key, value) in self.spec.keys.iter().zip(&self.values) {
                (self.field(key, &value.value))
            }
        }
    }

    fn name_field(&self) -> Markup {
        let message = self.message("");
        html! {
            p {
                label for="name" { "Name" }
                input id="name" name="name" value=(self.name) required readonly[!self.is_new]
                    aria-invalid=[message.as_ref().map(|_| "true")] aria-describedby="name-note";
                span.note id="name-note" {
                    @if let Some(message) = &message { span.message role="alert" { (message) } }
                    @else { "letters, digits, '.', '_' and '-'" }
                }
            }
        }
    }

    fn field(&self, spec: &KeySpec, value: &str) -> Markup {
        let message = self.message(spec.key);
        let note = format!("{}-note", spec.key);
        let invalid = message.as_ref().map(|_| "true");
        html! {
            p {
                label for=(spec.key) { (spec.key) " – " (spec.label) }
                @if spec.kind == ValueKind::YesNo {
                    select id=(spec.key) name=(spec.key) aria-invalid=[invalid] aria-describedby=(note) {
                        @for word in ["", "yes", "no"] {
                            option value=(word) selected[word == value] { (word) }
                        }
                    }
                } @else {
                    input id=(spec.key) name=(spec.key) value=(value)
                        aria-invalid=[invalid] aria-describedby=(note);
                }
                span.note id=(note) {
                    @if let Some(message) = &message { span.message role="alert" { (message) } }
                    @else { (hint(spec)) }
                }
            }
        }
    }

    fn message(&self, key: &str) -> Option<String> {
        let problem = self.problems.of_key(&self.heading(), key)?;
        Some(format!("{}; {}", problem.what, problem.remedy))
    }
}

fn values<'v>(spec: &SectionSpec, value: impl Fn(&KeySpec) -> &'v str) -> Vec<KeyValue> {
    let keys = spec.keys.iter();
    keys.map(|key| KeyValue {
        key: key.key.into(),
        value: to_single_line(value(key)),
    })
    .collect()
}

/// Replaces control characters by spaces, so that a value cannot inject lines into the text.
fn to_single_line(value: &str) -> Box<str> {
    let plain = |c: char| if c.is_control() { ' ' } else { c };
    value.chars().map(plain).collect::<String>().trim().into()
}

fn hint(spec: &KeySpec) -> String {
    let form = match spec.kind {
        ValueKind::Number { min, max } => format!("a number from {min} to {max}"),
        ValueKind::Time { min, max } => format!(
            "a time from {} to {}, such as 330ms, 5s or 24h",
            format_duration(min),
            format_duration(max)
        ),
        ValueKind::Decimal => "a number, with a fraction if need be".into(),
        ValueKind::Names => "names with commas between them".into(),
        ValueKind::Hashes => "sha256: and 64 digits, with commas between them".into(),
        ValueKind::Name => "a name".into(),
        _ => "".into(),
    };
    match spec.default {
        Some("") => format!("{form}; may be empty"),
        Some(default) => format!("{form}; {default} where it is empty"),
        None => form,
    }
}
