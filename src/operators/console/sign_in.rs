//! Sign-in page, sign-in and sign-out.

use maud::{Markup, html};
use salvo::http::StatusCode;

use super::Console;
use super::page::page;
use super::visit::{Reply, Visit};
use crate::operators::Operator;

pub(super) fn show(visit: &Visit) -> Reply {
    Reply::ok(form(visit, None))
}

pub(super) fn run(console: &Console, visit: &Visit) -> Reply {
    match Operator::with_key(visit.field("key").trim(), &console.desk.operator_keys) {
        Some(operator) => Reply::SignedIn(console.sessions.begin(operator)),
        None => {
            let message = "This is not an operator's key of this node.";
            Reply::Html(StatusCode::UNAUTHORIZED, form(visit, Some(message)))
        }
    }
}

pub(super) fn end(console: &Console, visit: &Visit) -> Reply {
    if let Some(session) = &visit.session {
        console.sessions.end(session);
    }
    Reply::SignedOut
}

fn form(visit: &Visit, message: Option<&str>) -> Markup {
    let body = html! {
        form method="post" action="/console/sign-in" {
            (super::page::csrf(visit))
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
    page(visit, "Sign in", &body)
}
