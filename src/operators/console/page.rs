//! Page layout and shared page elements.

use maud::{DOCTYPE, Markup, html};

use super::page_request::PageRequest;
use crate::operators::problem::OperatorProblem;
use crate::operators::wire::ProblemBody;

/// Renders a complete page.
pub(super) fn page(page_request: &PageRequest, title: &str, body: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " – jayhall" }
                link rel="stylesheet" href="/console/style.css";
            }
            body {
                a.skip href="#main" { "Skip to the content" }
                header { (navigation(page_request)) }
                main id="main" {
                    h1 { (title) }
                    (body)
                }
            }
        }
    }
}

fn navigation(page_request: &PageRequest) -> Markup {
    html! {
        @if page_request.session.is_some() {
            nav aria-label="Console" {
                a href="/console" { "Configuration" }
                a href="/console/document" { "Whole text" }
                a href="/console/history" { "History" }
                a href="/console/fleet" { "Fleet" }
                a href="/console/request" { "Requests" }
            }
            form method="post" action="/console/sign-out" {
                (csrf(page_request))
                button { "Sign out" }
            }
        }
    }
}

/// Renders the hidden form field with the CSRF token.
pub(super) fn csrf(page_request: &PageRequest) -> Markup {
    html! { input type="hidden" name="csrf" value=(page_request.csrf()); }
}

/// Renders a list of problems.
pub(super) fn problem_list(problems: &[ProblemBody]) -> Markup {
    html! {
        @if !problems.is_empty() {
            ul.mistakes {
                @for problem in problems {
                    li {
                        @if problem.line > 0 { "Line " (problem.line) ": " }
                        @if !problem.section.is_empty() { "[" (problem.section) "] " }
                        @if !problem.key.is_empty() { b { (problem.key) } ": " }
                        (problem.what) "; " (problem.remedy)
                    }
                }
            }
        }
    }
}

/// Renders a unified diff with added and removed lines marked.
pub(super) fn difference(text: &str) -> Markup {
    let class = |line: &str| match line.as_bytes().first() {
        Some(b'+') => "added",
        Some(b'-') => "removed",
        _ => "same",
    };
    html! {
        pre.difference tabindex="0" aria-label="Difference" {
            @for line in text.lines() { span class=(class(line)) { (line) "\n" } }
        }
    }
}

/// Renders the page of an error.
pub(super) fn problem(page_request: &PageRequest, problem: &OperatorProblem) -> Markup {
    let body = html! {
        p role="alert" { (problem.detail) }
        @if let Some(after) = problem.retry_after_s { p { "Come back after " (after) " s." } }
        (problem_list(&problem.problems))
        @if let Some(text) = &problem.difference {
            p { "Lines with - are in force, those with + are yours." }
            (difference(text))
        }
        p { a href="/console" { "Back to the configuration" } }
    };
    page(page_request, &problem.title, &body)
}
