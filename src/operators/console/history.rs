//! Pages with the history of published revisions and with the difference between two revisions.

use maud::{Markup, html};

use super::Console;
use super::page::{difference, page};
use super::visit::{Reply, Visit};
use crate::operators::wire::HistoryEntry;
use crate::util::time::format_utc;

pub(super) async fn list(console: &Console, visit: &Visit) -> Reply {
    let entries = match console.desk.history().await {
        Ok(entries) => entries,
        Err(problem) => return visit.problem(&problem),
    };
    let current = console.desk.current().revision;
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
    Reply::ok(page(visit, "History", &body))
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

pub(super) async fn diff(console: &Console, visit: &Visit) -> Reply {
    let (from, to) = (visit.revision("from"), visit.revision("to"));
    match console.desk.diff(from, to).await {
        Ok(text) => {
            let title = format!("From revision {from} to {to}");
            Reply::ok(page(visit, &title, &difference(&text)))
        }
        Err(problem) => visit.problem(&problem),
    }
}
