//! Checks that docs/CONFIGURATION.md documents exactly the keys in the schemas.

use std::fmt::Write;

use jayhall::core::document::schema;
use jayhall::util::schema::{KeySpec, SectionSpec, ValueKind};
use jayhall::util::settings;
use jayhall::util::value::format_duration;

const PAGE: &str = include_str!("../../docs/CONFIGURATION.md");

fn form(kind: ValueKind) -> &'static str {
    match kind {
        ValueKind::Text => "text",
        ValueKind::Name => "name",
        ValueKind::Names => "names with commas",
        ValueKind::Number { .. } => "whole number",
        ValueKind::Decimal => "number",
        ValueKind::Time { .. } => "time",
        ValueKind::YesNo => "yes or no",
        ValueKind::Choice(_) => "word",
        ValueKind::Hashes => "hashes with commas",
        ValueKind::Address => "IP number and port",
        ValueKind::Url => "URL",
        ValueKind::Path => "file",
    }
}

fn range(kind: ValueKind) -> String {
    match kind {
        ValueKind::Number { min, max } => format!("{min} to {max}"),
        ValueKind::Time { min, max } => {
            format!("{} to {}", format_duration(min), format_duration(max))
        }
        ValueKind::Choice(words) => words.join(", "),
        _ => "".into(),
    }
}

fn row(spec: &KeySpec) -> String {
    let default = match spec.default {
        None => "must be given".into(),
        Some("") => "empty".into(),
        Some(value) => format!("`{value}`"),
    };
    let (form, range) = (form(spec.kind), range(spec.kind));
    format!(
        "| `{}` | {form} | {default} | {range} | {} |\n",
        spec.key, spec.label
    )
}

fn part(spec: &SectionSpec) -> String {
    let name = if spec.is_named { " NAME" } else { "" };
    let mut text = format!(
        "### `[{}{name}]`\n| key | form | default | range | meaning |\n|---|---|---|---|---|\n",
        spec.kind
    );
    for key in spec.keys {
        let _ = write!(text, "{}", row(key));
    }
    text
}

#[test]
fn page_lists_exactly_the_keys_of_the_schemas() {
    let gateway = [&settings::GATEWAY, &settings::BOUNDS];
    let specs: Vec<_> = schema::SECTIONS
        .iter()
        .chain(&settings::SECTIONS)
        .chain(&gateway)
        .collect();
    for spec in &specs {
        let part = part(spec);
        assert!(
            PAGE.contains(&part),
            "put this into docs/CONFIGURATION.md:\n{part}"
        );
    }
    let keys: usize = specs.iter().map(|spec| spec.keys.len()).sum();
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows, keys,
        "the page has rows for keys that the code does not know"
    );
}

#[test]
fn the_examples_of_the_page_are_valid() {
    let examples: Vec<_> = PAGE.split("```ini\n").skip(1).collect();
    assert_eq!(examples.len(), 3);
    let text = |example: &str| example.split("```").next().unwrap().to_owned();
    jayhall::core::document::Document::parse(&text(examples[0])).unwrap();
    settings::Settings::parse(&text(examples[1])).unwrap();
    settings::GatewaySettings::parse(&text(examples[2])).unwrap();
}
