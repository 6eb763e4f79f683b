//! Page that explains the decisions made about a request.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::page::page;
use super::visit::{Reply, Visit};
use crate::core::explain::Record;

pub(super) async fn show(console: &Console, visit: &Visit) -> Reply {
    let id = visit.field("id").trim();
    if id.is_empty() {
        return Reply::ok(body(visit, id, &html! {}));
    }
    match console.desk.control.explain(id).await {
        Some(record) => Reply::ok(body(visit, id, &sentences(&record))),
        None => {
            let message = html! {
                p role="alert" { "No node knows this request; answers are kept for a short time only." }
            };
            Reply::Html(StatusCode::NOT_FOUND, body(visit, id, &message))
        }
    }
}

fn sentences(record: &Record) -> Markup {
    html! { ol { @for sentence in record.sentences() { li { (sentence) } } } }
}

fn body(visit: &Visit, id: &str, result: &Markup) -> Markup {
    let body = html! {
        form method="get" action="/console/request" {
            p {
                label for="id" { "Id of the request" }
                input id="id" name="id" value=(id) required;
            }
            button { "Explain" }
        }
        (result)
    };
    page(visit, "Requests", &body)
}
