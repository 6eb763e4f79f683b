//! Web console for operators, in plain HTML without scripts or external resources.

mod edit;
mod fleet;
mod form;
mod history;
mod page;
mod page_request;
mod publish;
mod request;
mod session;
mod sign_in;

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use salvo::prelude::*;

use crate::operators::OperatorContext;
use page_request::{PageRequest, Reply};
use session::Sessions;

/// Root path of the console.
pub(super) const ROOT: &str = "/console";

/// State shared by the page handlers.
pub(super) struct Console {
    cx: Arc<OperatorContext>,
    sessions: Sessions,
}

type HandlerFn = fn(Arc<Console>, PageRequest) -> BoxFuture<'static, Reply>;

/// Access level that a page requires.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Public,
    SignedIn,
}

struct Page {
    console: Arc<Console>,
    access: Access,
    run: HandlerFn,
}

#[handler]
impl Page {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        page_request::set_headers(res);
        let reply = match PageRequest::read(&self.console, req).await {
            Err(reply) => reply,
            Ok(page_request)
                if self.access == Access::SignedIn && page_request.session.is_none() =>
            {
                Reply::SeeOther("/console/sign-in".into())
            }
            Ok(page_request) => (self.run)(self.console.clone(), page_request).await,
        };
        reply.write(res);
    }
}

#[handler]
async fn style(res: &mut Response) {
    page_request::set_headers(res);
    res.render(salvo::writing::Text::Css(include_str!("style.css")));
}

/// Returns the routes of the console.
pub(super) fn router(cx: &Arc<OperatorContext>) -> Router {
    let console = Arc::new(Console {
        cx: cx.clone(),
        sessions: Sessions::default(),
    });
    let page = |access: Access, run: HandlerFn| Page {
        console: console.clone(),
        access,
        run,
    };
    let signed_in = |run: HandlerFn| page(Access::SignedIn, run);
    let public = |run: HandlerFn| page(Access::Public, run);
    Router::new()
        .get(signed_in(|cx, page_request| {
            async move { edit::overview(&cx, &page_request) }.boxed()
        }))
        .push(Router::with_path("style.css").get(style))
        .push(
            Router::with_path("sign-in")
                .get(public(|_, page_request| {
                    async move { sign_in::show(&page_request) }.boxed()
                }))
                .post(public(|cx, page_request| {
                    async move { sign_in::run(&cx, &page_request) }.boxed()
                })),
        )
        .push(
            Router::with_path("sign-out").post(signed_in(|cx, page_request| {
                async move { sign_in::end(&cx, &page_request) }.boxed()
            })),
        )
        .push(
            Router::with_path("edit")
                .get(signed_in(|cx, page_request| {
                    async move { edit::show(&cx, &page_request) }.boxed()
                }))
                .post(signed_in(|cx, page_request| {
                    async move { edit::run(&cx, &page_request).await }.boxed()
                })),
        )
        .push(
            Router::with_path("document")
                .get(signed_in(|cx, page_request| {
                    async move { publish::text(&cx, &page_request) }.boxed()
                }))
                .post(signed_in(|cx, page_request| {
                    async move { publish::preview_text(&cx, &page_request).await }.boxed()
                })),
        )
        .push(
            Router::with_path("publish").post(signed_in(|cx, page_request| {
                async move { publish::run(&cx, &page_request).await }.boxed()
            })),
        )
        .push(
            Router::with_path("history").get(signed_in(|cx, page_request| {
                async move { history::list(&cx, &page_request).await }.boxed()
            })),
        )
        .push(Router::with_path("diff").get(signed_in(|cx, page_request| {
            async move { history::diff(&cx, &page_request).await }.boxed()
        })))
        .push(
            Router::with_path("fleet").get(signed_in(|cx, page_request| {
                async move { fleet::show(&cx, &page_request) }.boxed()
            })),
        )
        .push(
            Router::with_path("request").get(signed_in(|cx, page_request| {
                async move { request::show(&cx, &page_request).await }.boxed()
            })),
        )
}
