//! HTTP requests to the console and their replies, with the CSRF checks.

use maud::Markup;
use salvo::http::{HeaderMap, Method, StatusCode, header};
use salvo::{Request, Response};

use super::page;
use super::session::Session;
use super::{Console, ROOT};
use crate::operators::MAX_BODY_BYTES;
use crate::operators::problem::OperatorProblem;

/// Name of the session cookie.
const SESSION_COOKIE: &str = "jayhall_session";
/// Media type of submitted forms.
const FORM_TYPE: &str = "application/x-www-form-urlencoded";
/// Forbids external resources, scripts, framing and forms that submit to another origin.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                                       base-uri 'none'; frame-ancestors 'none'";

/// A field of a form or of the query string.
#[derive(Clone, Debug)]
struct Field {
    name: Box<str>,
    value: Box<str>,
}

/// A parsed request of a browser.
#[derive(Clone, Debug)]
pub(super) struct PageRequest {
    pub(super) session: Option<Session>,
    fields: Vec<Field>,
}

/// Reply to a browser.
pub(super) enum Reply {
    Html(StatusCode, Markup),
    SeeOther(Box<str>),
    /// Sets the session cookie to the token and redirects to the console.
    SignedIn(String),
    SignedOut,
}

impl PageRequest {
    /// Parses a request and rejects forms that fail the CSRF checks.
    pub(super) async fn read(console: &Console, req: &mut Request) -> Result<Self, Reply> {
        let token = req
            .cookie(SESSION_COOKIE)
            .map(|cookie| cookie.value().to_owned());
        let session = token.and_then(|token| console.sessions.find(&token));
        let is_form = req.method() == Method::POST;
        let mut page_request = Self {
            session,
            fields: query_fields(req),
        };
        if !is_form {
            return Ok(page_request);
        }
        if !is_same_origin(req.headers()) {
            return Err(page_request.refuse_form());
        }
        page_request.fields = form_fields(req)
            .await
            .map_err(|problem| page_request.problem(&problem))?;
        match &page_request.session {
            Some(session) if !session.matches_csrf(page_request.field("csrf")) => {
                Err(page_request.refuse_form())
            }
            _ => Ok(page_request),
        }
    }

    /// Returns a field of the form or of the query string; empty if missing.
    pub(super) fn field(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|field| &*field.name == name);
        field.map_or("", |field| &field.value)
    }

    /// Returns a field as a revision; 0 if missing or not a number.
    pub(super) fn revision(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }

    /// Returns the CSRF token that forms must submit.
    pub(super) fn csrf(&self) -> &str {
        self.session.as_ref().map_or("", |session| &session.csrf)
    }

    /// Returns the page of an error.
    pub(super) fn problem(&self, problem: &OperatorProblem) -> Reply {
        Reply::Html(problem.status_code(), page::problem(self, problem))
    }

    fn refuse_form(&self) -> Reply {
        let problem = OperatorProblem::not_run(
            StatusCode::FORBIDDEN,
            "Form refused",
            "the form was not sent from this console or is out of date; nothing was changed. \
             Open the page again.",
        );
        self.problem(&problem)
    }
}

impl Reply {
    pub(super) fn ok(markup: Markup) -> Self {
        Self::Html(StatusCode::OK, markup)
    }

    pub(super) fn write(self, res: &mut Response) {
        match self {
            Self::Html(status, markup) => {
                res.status_code(status);
                res.render(salvo::writing::Text::Html(markup.into_string()));
            }
            Self::SeeOther(path) => see_other(res, &path),
            Self::SignedIn(token) => {
                set_cookie(
                    res,
                    &format!("{SESSION_COOKIE}={token}; {}", cookie_attributes()),
                );
                see_other(res, ROOT);
            }
            Self::SignedOut => {
                set_cookie(
                    res,
                    &format!("{SESSION_COOKIE}=; Max-Age=0; {}", cookie_attributes()),
                );
                see_other(res, "/console/sign-in");
            }
        }
    }
}

/// Sets the security and caching headers of every console response.
pub(super) fn set_headers(res: &mut Response) {
    let headers = res.headers_mut();
    let fixed = [
        (header::CONTENT_SECURITY_POLICY, CONTENT_SECURITY_POLICY),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::REFERRER_POLICY, "same-origin"),
        (header::CACHE_CONTROL, "no-store"),
    ];
    for (name, value) in fixed {
        headers.insert(name, header::HeaderValue::from_static(value));
    }
}

fn cookie_attributes() -> String {
    format!("Path={ROOT}; HttpOnly; SameSite=Strict")
}

fn set_cookie(res: &mut Response, text: &str) {
    if let Ok(value) = header::HeaderValue::from_str(text) {
        res.headers_mut().insert(header::SET_COOKIE, value);
    }
}

fn see_other(res: &mut Response, path: &str) {
    res.status_code(StatusCode::SEE_OTHER);
    if let Ok(value) = header::HeaderValue::from_str(path) {
        res.headers_mut().insert(header::LOCATION, value);
    }
}

/// Returns whether the `Origin` header matches the `Host` header. Old browsers send no `Origin`; the CSRF
/// token in the form protects those.
fn is_same_origin(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    match (text(header::ORIGIN), text(header::HOST)) {
        (Some(origin), Some(host)) => {
            let (_, origin_host) = origin.split_once("://").unwrap_or(("", origin));
            origin_host == host
        }
        _ => true,
    }
}

fn query_fields(req: &Request) -> Vec<Field> {
    let queries = req.queries().flat_iter();
    queries.map(|(name, value)| field(name, value)).collect()
}

async fn form_fields(req: &mut Request) -> Result<Vec<Field>, OperatorProblem> {
    // Multipart forms may contain files, which would be written to disk.
    let is_plain = req
        .content_type()
        .is_some_and(|kind| kind.essence_str() == FORM_TYPE);
    if !is_plain {
        return Err(OperatorProblem::invalid_call(format!(
            "the form is not {FORM_TYPE}"
        )));
    }
    let data = req
        .form_data_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|e| OperatorProblem::invalid_call(format!("the form cannot be read: {e}")))?;
    let fields = data.fields.flat_iter();
    Ok(fields.map(|(name, value)| field(name, value)).collect())
}

fn field(name: &str, value: &str) -> Field {
    Field {
        name: name.into(),
        value: value.into(),
    }
}
