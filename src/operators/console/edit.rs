//! Pages that list the sections of the document and edit a section, with a preview of the change.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::form::{SectionForm, find_spec};
use super::page::{csrf, page, problem_list};
use super::page_request::{PageRequest, Reply};
use super::publish::preview;
use crate::core::document::Problems;
use crate::core::document::edit::{put_section, remove_section};
use crate::core::document::schema::SECTIONS;
use crate::operators::OperatorContext;
use crate::operators::problem::OperatorProblem;
use crate::util::ini::{self, IniSection};
use crate::util::schema::SectionSpec;

pub(super) fn overview(console: &Console, page_request: &PageRequest) -> Reply {
    let current = console.cx.current();
    let (sections, _) = ini::parse_all(&current.text);
    let body = html! {
        @match current.revision {
            0 => p { "No document is in force yet. Begin with a rank and a customer in the whole text." },
            revision => p { "Revision " (revision) " is in force on this node." },
        }
        @for spec in SECTIONS {
            section {
                h2 { (title_of(spec)) }
                (section_links(spec, &sections))
            }
        }
    };
    Reply::ok(page(page_request, "Configuration", &body))
}

fn section_links(spec: &SectionSpec, sections: &[IniSection]) -> Markup {
    let of_kind: Vec<_> = sections
        .iter()
        .filter(|section| &*section.kind == spec.kind)
        .collect();
    html! {
        ul {
            @if spec.is_named {
                @for section in &of_kind {
                    li { a href=(link(spec, &section.name)) { (section.name) } }
                }
                li { a href=(link(spec, "")) { "New " (spec.kind) } }
            } @else {
                li { a href=(link(spec, "")) { "Change" } }
            }
        }
    }
}

fn title_of(spec: &SectionSpec) -> &'static str {
    match spec.kind {
        "rules" => "Rules",
        "rank" => "Ranks of work",
        "model" => "Models",
        "service" => "Services",
        "machine-class" => "Machine classes",
        _ => "Customers",
    }
}

fn link(spec: &SectionSpec, name: &str) -> String {
    // Names in a valid document consist of characters that need no escaping in a URL.
    format!("/console/edit?kind={}&name={name}", spec.kind)
}

pub(super) fn show(console: &Console, page_request: &PageRequest) -> Reply {
    let Some(spec) = find_spec(page_request.field("kind")) else {
        return page_request.problem(&OperatorProblem::not_found(
            "there is no such kind of section",
        ));
    };
    let current = console.cx.current();
    let name = page_request.field("name");
    let form = SectionForm::from_text(spec, name, &current.text, current.revision);
    Reply::ok(form_page(page_request, &form))
}

/// Validates a submitted form and renders a preview of the resulting change.
pub(super) async fn run(console: &Console, page_request: &PageRequest) -> Reply {
    let Some(spec) = find_spec(page_request.field("kind")) else {
        return page_request.problem(&OperatorProblem::not_found(
            "there is no such kind of section",
        ));
    };
    let mut form = SectionForm::from_request(spec, page_request);
    let base = match console.cx.base_text(form.base_revision).await {
        Ok(base) => base,
        Err(problem) => return page_request.problem(&problem),
    };
    let text = match page_request.field("action") {
        "delete" => remove_section(&base, &form.heading()),
        _ => put_section(&base, &form.heading(), &form.values),
    };
    let checked = match form.name_conflict(&base) {
        Some(problem) => Err(Problems(vec![problem])),
        None => OperatorContext::check(&text),
    };
    match checked {
        Ok(_) => Reply::ok(preview(page_request, form.base_revision, &base, &text)),
        Err(problems) => {
            form.problems = problems;
            Reply::Html(
                StatusCode::UNPROCESSABLE_ENTITY,
                form_page(page_request, &form),
            )
        }
    }
}

fn form_page(page_request: &PageRequest, form: &SectionForm) -> Markup {
    let kind = form.spec.kind;
    let title = match (&*form.name, form.is_new) {
        (_, true) if form.spec.is_named => format!("New {kind}"),
        ("", _) => title_of(form.spec).into(),
        (name, _) => format!("{kind} {name}"),
    };
    let others: Vec<_> = form.other_problems().into_iter().map(Into::into).collect();
    let body = html! {
        @if !form.problems.0.is_empty() {
            p role="alert" { "There are mistakes; nothing was changed." }
        }
        (problem_list(&others))
        form method="post" action="/console/edit" {
            (csrf(page_request))
            input type="hidden" name="kind" value=(kind);
            input type="hidden" name="new" value=(if form.is_new { "yes" } else { "no" });
            input type="hidden" name="base_revision" value=(form.base_revision);
            (form.fields())
            button name="action" value="save" { "Preview the change" }
            @if form.spec.is_named && !form.is_new {
                button name="action" value="delete" { "Preview the deletion" }
            }
        }
    };
    page(page_request, &title, &body)
}
