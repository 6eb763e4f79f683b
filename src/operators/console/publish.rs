//! Pages that edit the full text, preview a change and publish it.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::page::{csrf, difference as render_difference, page, problem_list};
use super::page_request::{PageRequest, Reply};
use crate::operators::OperatorContext;
use crate::operators::wire::{ProblemBody, PublishBody};
use crate::ops::publish::difference;

/// Height of the full-text field, in lines.
const TEXT_AREA_ROWS: u32 = 30;

pub(super) fn text(console: &Console, page_request: &PageRequest) -> Reply {
    let current = console.cx.current();
    Reply::ok(text_page(
        page_request,
        current.revision,
        &current.text,
        &[],
    ))
}

/// Validates a submitted text and renders a preview of the change.
pub(super) async fn preview_text(console: &Console, page_request: &PageRequest) -> Reply {
    // Browsers submit text fields with CRLF line endings.
    let text = page_request.field("text").replace("\r\n", "\n");
    let base_revision = page_request.revision("base_revision");
    if let Err(problems) = OperatorContext::check(&text) {
        let problems: Vec<_> = problems.0.iter().map(ProblemBody::from).collect();
        let markup = text_page(page_request, base_revision, &text, &problems);
        return Reply::Html(StatusCode::UNPROCESSABLE_ENTITY, markup);
    }
    match console.cx.base_text(base_revision).await {
        Ok(base) => Reply::ok(preview(page_request, base_revision, &base, &text)),
        Err(problem) => page_request.problem(&problem),
    }
}

/// Publishes a previewed text.
pub(super) async fn run(console: &Console, page_request: &PageRequest) -> Reply {
    let Some(session) = &page_request.session else {
        return Reply::SeeOther("/console/sign-in".into());
    };
    let body = PublishBody {
        text: page_request.field("text").replace("\r\n", "\n").into(),
        base_revision: page_request.revision("base_revision"),
        author: page_request.field("author").into(),
    };
    match console.cx.publish(&session.operator, body).await {
        Ok(_) => Reply::SeeOther("/console/history".into()),
        Err(problem) => page_request.problem(&problem),
    }
}

fn text_page(
    page_request: &PageRequest,
    base: u64,
    text: &str,
    problems: &[ProblemBody],
) -> Markup {
    let is_wrong = !problems.is_empty();
    let body = html! {
        @if is_wrong { p role="alert" { "There are mistakes; nothing was changed." } }
        (problem_list(problems))
        form method="post" action="/console/document" {
            (csrf(page_request))
            input type="hidden" name="base_revision" value=(base);
            label for="text" { "Whole text, made from revision " (base) }
            textarea id="text" name="text" rows=(TEXT_AREA_ROWS) spellcheck="false"
                aria-invalid=[is_wrong.then_some("true")] {
                // HTML parsers drop a newline directly after the `textarea` start tag.
                "\n" (text)
            }
            button { "Preview the change" }
        }
    };
    page(page_request, "Whole text", &body)
}

/// Renders the preview of a change, with the form that publishes it.
pub(super) fn preview(
    page_request: &PageRequest,
    base_revision: u64,
    base: &str,
    text: &str,
) -> Markup {
    let old_name = format!("revision {base_revision}");
    let changes = difference((&old_name, base), ("your change", text));
    let body = html! {
        @if changes.is_empty() {
            p { "This changes nothing." }
        } @else {
            p { "Lines with - go away, lines with + are new." }
            (render_difference(&changes))
            form method="post" action="/console/publish" {
                (csrf(page_request))
                input type="hidden" name="base_revision" value=(base_revision);
                textarea.hidden name="text" aria-hidden="true" tabindex="-1" readonly { "\n" (text) }
                p {
                    label for="author" { "Your name, for the history" }
                    input id="author" name="author" autocomplete="name";
                }
                button { "Publish" }
            }
        }
        p { a href="/console" { "Back without a change" } }
    };
    page(page_request, "Preview", &body)
}
