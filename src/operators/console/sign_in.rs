//! Sign-in page, sign-in and sign-out.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::page::page;
use super::page_request::{PageRequest, Reply};
use crate::operators::Operator;

pub(super) fn show(page_request: &PageRequest) -> Reply {
    Reply::ok(form(page_request, None))
}

pub(super) fn run(console: &Console, page_request: &PageRequest) -> Reply {
    match Operator::authenticate(page_request.field("key").trim(), &console.cx.operator_keys) {
        Some(operator) => Reply::SignedIn(console.sessions.begin(operator)),
        None => {
            let message = "This is not an operator's key of this node.";
            Reply::Html(StatusCode::UNAUTHORIZED, form(page_request, Some(message)))
        }
    }
}

pub(super) fn end(console: &Console, page_request: &PageRequest) -> Reply {
    if let Some(session) = &page_request.session {
        console.sessions.end(session);
    }
    Reply::SignedOut
}

fn form(page_request: &PageRequest, message: Option<&str>) -> Markup {
    let body = html! {
        form method="post" action="/console/sign-in" {
            (super::page::csrf(page_request))
            p {
                label for="key" { "Operator's key" }
                input id="key" name="key" type="password" autocomplete="current-password" required
                    autofocus aria-invalid=[message.map(|_| "true")]
                    aria-describedby=[message.map(|_| "key-message")];
                @if let Some(message) = message {
                    span.message id="key-message" role="alert" { (message) }
                }
            }
            button { "Sign in" }
        }
    };
    page(page_request, "Sign in", &body)
}
