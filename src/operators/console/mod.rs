//! Web console for operators, in plain HTML without scripts or external resources.

mod edit;
mod fleet;
mod form;
mod history;
mod page;
mod publish;
mod request;
mod session;
mod sign_in;
mod visit;

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use salvo::prelude::*;

use crate::operators::OperatorContext;
use session::Sessions;
use visit::{Reply, Visit};

/// Root path of the console.
pub(super) const ROOT: &str = "/console";

/// State shared by the page handlers.
pub(super) struct Console {
    desk: Arc<OperatorContext>,
    sessions: Sessions,
}

type Run = fn(Arc<Console>, Visit) -> BoxFuture<'static, Reply>;

/// Access level that a page requires.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Everybody,
    SignedIn,
}

struct Page {
    console: Arc<Console>,
    access: Access,
    run: Run,
}

#[handler]
impl Page {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        visit::set_headers(res);
        let reply = match Visit::read(&self.console, req).await {
            Err(reply) => reply,
            Ok(visit) if self.access == Access::SignedIn && visit.session.is_none() => {
                Reply::SeeOther("/console/sign-in".into())
            }
            Ok(visit) => (self.run)(self.console.clone(), visit).await,
        };
        reply.write(res);
    }
}

#[handler]
async fn style(res: &mut Response) {
    visit::set_headers(res);
    res.render(salvo::writing::Text::Css(include_str!("style.css")));
}

/// Returns the routes of the console.
pub(super) fn router(desk: &Arc<OperatorContext>) -> Router {
    let console = Arc::new(Console {
        desk: desk.clone(),
        sessions: Sessions::default(),
    });
    let page = |access: Access, run: Run| Page {
        console: console.clone(),
        access,
        run,
    };
    let signed_in = |run: Run| page(Access::SignedIn, run);
    let everybody = |run: Run| page(Access::Everybody, run);
    Router::new()
        .get(signed_in(|cx, visit| {
            async move { edit::overview(&cx, &visit) }.boxed()
        }))
        .push(Router::with_path("style.css").get(style))
        .push(
            Router::with_path("sign-in")
                .get(everybody(|_, visit| {
                    async move { sign_in::show(&visit) }.boxed()
                }))
                .post(everybody(|cx, visit| {
                    async move { sign_in::run(&cx, &visit) }.boxed()
                })),
        )
        .push(Router::with_path("sign-out").post(signed_in(|cx, visit| {
            async move { sign_in::end(&cx, &visit) }.boxed()
        })))
        .push(
            Router::with_path("edit")
                .get(signed_in(|cx, visit| {
                    async move { edit::show(&cx, &visit) }.boxed()
                }))
                .post(signed_in(|cx, visit| {
                    async move { edit::run(&cx, &visit).await }.boxed()
                })),
        )
        .push(
            Router::with_path("document")
                .get(signed_in(|cx, visit| {
                    async move { publish::text(&cx, &visit) }.boxed()
                }))
                .post(signed_in(|cx, visit| {
                    async move { publish::preview_text(&cx, &visit).await }.boxed()
                })),
        )
        .push(Router::with_path("publish").post(signed_in(|cx, visit| {
            async move { publish::run(&cx, &visit).await }.boxed()
        })))
        .push(Router::with_path("history").get(signed_in(|cx, visit| {
            async move { history::list(&cx, &visit).await }.boxed()
        })))
        .push(Router::with_path("diff").get(signed_in(|cx, visit| {
            async move { history::diff(&cx, &visit).await }.boxed()
        })))
        .push(Router::with_path("fleet").get(signed_in(|cx, visit| {
            async move { fleet::show(&cx, &visit) }.boxed()
        })))
        .push(Router::with_path("request").get(signed_in(|cx, visit| {
            async move { request::show(&cx, &visit).await }.boxed()
        })))
}
