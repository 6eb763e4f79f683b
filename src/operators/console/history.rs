//! Pages with the history of published revisions and with the difference between two revisions.

use maud::{Markup, html};

use super::Console;
use super::page::{difference, page};
use super::page_request::{PageRequest, Reply};
use crate::operators::wire::HistoryEntry;
use crate::util::time::format_utc;

pub(super) async fn list(console: &Console, page_request: &PageRequest) -> Reply {
    let entries = match console.cx.history().await {
        Ok(entries) => entries,
        Err(problem) => return page_request.problem(&problem),
    };
    let current = console.cx.current().revision;
    let body = html! {
        p { "Revision " (current) " is in force on this node." }
        table {
            caption { "Published revisions, latest first" }
            thead {
                tr {
                    th scope="col" { "Revision" }
                    th scope="col" { "Published" }
                    th scope="col" { "By" }
                    th scope="col" { "Changed" }
                    th scope="col" { "Difference" }
                }
            }
            tbody { @for entry in &entries { (row(entry)) } }
        }
    };
    Reply::ok(page(page_request, "History", &body))
}

fn row(entry: &HistoryEntry) -> Markup {
    let before = entry.revision.saturating_sub(1);
    html! {
        tr {
            th scope="row" { (entry.revision) }
            td { (format_utc(entry.published_at)) }
            td { (entry.author) }
            td {
                @match &entry.changed {
                    Some(headings) => (headings.join(", ")),
                    None => "whole text",
                }
            }
            td {
                @if before > 0 {
                    a href=(format!("/console/diff?from={before}&to={}", entry.revision)) {
                        "from " (before) " to " (entry.revision)
                    }
                }
            }
        }
    }
}

pub(super) async fn diff(console: &Console, page_request: &PageRequest) -> Reply {
    let (from, to) = (page_request.revision("from"), page_request.revision("to"));
    match console.cx.diff(from, to).await {
        Ok(text) => {
            let title = format!("From revision {from} to {to}");
            Reply::ok(page(page_request, &title, &difference(&text)))
        }
        Err(problem) => page_request.problem(&problem),
    }
}
