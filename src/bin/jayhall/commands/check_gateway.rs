//! `jayhall check --gateway`

use std::fmt::Write;

use jayhall::core::gateway::config_check::{self, Change, Draft, Finding, Severity};
use jayhall::platform;
use serde_json::{Value, json};

use super::{print_body, read_file};
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [path] = command_line.arguments()?;
    let draft = read_draft(path)?;
    let in_force = command_line.text_option("in-force");
    let in_force = in_force.as_deref().map(read_draft).transpose()?;
    let findings = config_check::check(&draft, in_force.as_ref());
    let changes = in_force
        .as_ref()
        .map(|in_force| config_check::compare(in_force, &draft));
    let changes = changes.unwrap_or_default();
    let body = json!({
        "version": draft.version,
        "findings": findings.iter().map(finding_json).collect::<Vec<_>>(),
        "changes": changes.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    print_body(command_line, &body, |_| {
        render(path, &draft, &findings, &changes)
    })?;
    let errors = findings
        .iter()
        .filter(|finding| finding.problem.severity() == Severity::Error)
        .count();
    match errors {
        0 => Ok(()),
        errors => Err(Failure::InvalidConfig(path.into(), errors)),
    }
}

fn read_draft(path: &str) -> Result<Draft, Failure> {
    let text = read_file(path)?;
    platform::decode_draft(text.as_bytes())
        .map_err(|e| Failure::NotDecoded(path.into(), format!("{e:#}").into()))
}

fn finding_json(finding: &Finding) -> Value {
    json!({
        "severity": finding.problem.severity().to_string(),
        "place": finding.place.to_string(),
        "detail": finding.problem.to_string(),
    })
}

fn render(path: &str, draft: &Draft, findings: &[Finding], changes: &[Change]) -> String {
    let mut text = String::new();
    for Finding { place, problem } in findings {
        let severity = problem.severity();
        let _ = writeln!(text, "{path}: {severity}: {place}: {problem}");
    }
    for change in changes {
        let _ = writeln!(text, "{change}");
    }
    let _ = writeln!(
        text,
        "{path}: version {}; {} routes, {} services, {} customers; {} findings",
        draft.version,
        draft.routes.len(),
        draft.services.len(),
        draft.customers.len(),
        findings.len()
    );
    text
}
