//! Page that explains the decisions made about a request.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::page::page;
use super::page_request::{PageRequest, Reply};
use crate::core::explain::Record;

pub(super) async fn show(console: &Console, page_request: &PageRequest) -> Reply {
    let id = page_request.field("id").trim();
    if id.is_empty() {
        return Reply::ok(body(page_request, id, &html! {}));
    }
    match console.cx.control.explain(id).await {
        Some(record) => Reply::ok(body(page_request, id, &sentences(&record))),
        None => {
            let message = html! {
                p role="alert" { "No node knows this request; answers are kept for a short time only." }
            };
            Reply::Html(StatusCode::NOT_FOUND, body(page_request, id, &message))
        }
    }
}

fn sentences(record: &Record) -> Markup {
    html! { ol { @for sentence in record.sentences() { li { (sentence) } } } }
}

fn body(page_request: &PageRequest, id: &str, result: &Markup) -> Markup {
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
    page(page_request, "Requests", &body)
}
