//! JSON API for operators, used by the command line.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use salvo::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::operators::problem::{OperatorProblem, Result};
use crate::operators::wire::{
    CheckBody, DiffBody, DrainBody, ExplanationBody, PublishBody, PublishedBody,
};
use crate::operators::{MAX_BODY_BYTES, Operator, OperatorContext};

type Context = Arc<OperatorContext>;
type HandlerFn = fn(Context, Call) -> BoxFuture<'static, Result<serde_json::Value>>;

/// An authenticated call of the API.
struct Call {
    operator: Operator,
    /// Path parameters `{name}` and `{part}`; empty if the route has none.
    name: Box<str>,
    part: Box<str>,
    from: Option<u64>,
    to: Option<u64>,
    revision: Option<u64>,
    author: Box<str>,
    body: Vec<u8>,
}

impl Call {
    async fn read(cx: &OperatorContext, req: &mut Request) -> Result<Self> {
        let operator = Operator::authenticate_call(req, &cx.operator_keys)
            .ok_or_else(OperatorProblem::no_key)?;
        let body = req
            .payload_with_max_size(MAX_BODY_BYTES)
            .await
            .map_err(|e| OperatorProblem::invalid_call(format!("the body cannot be read: {e}")))?;
        let body = body.to_vec();
        let text = |value: Option<String>| value.unwrap_or_default().into();
        Ok(Self {
            operator,
            name: text(req.param("name")),
            part: text(req.param("part")),
            from: req.query("from"),
            to: req.query("to"),
            revision: req.query("revision"),
            author: text(req.query("author")),
            body,
        })
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| OperatorProblem::invalid_call(format!("the body is not as expected: {e}")))
    }
}

struct Endpoint {
    cx: Context,
    run: HandlerFn,
}

#[handler]
impl Endpoint {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let result = match Call::read(&self.cx, req).await {
            Ok(call) => (self.run)(self.cx.clone(), call).await,
            Err(problem) => Err(problem),
        };
        match result {
            Ok(body) => res.render(Json(body)),
            Err(problem) => problem.write(res),
        }
    }
}

pub(super) fn router(cx: &Context) -> Router {
    let endpoint = |run: HandlerFn| Endpoint {
        cx: cx.clone(),
        run,
    };
    Router::new()
        .push(
            Router::with_path("config")
                .get(endpoint(|cx, call| show(cx, call).boxed()))
                .put(endpoint(|cx, call| publish(cx, call).boxed())),
        )
        .push(Router::with_path("config/check").post(endpoint(|cx, call| check(cx, call).boxed())))
        .push(
            Router::with_path("config/history").get(endpoint(|cx, call| history(cx, call).boxed())),
        )
        .push(Router::with_path("config/diff").get(endpoint(|cx, call| diff(cx, call).boxed())))
        .push(Router::with_path("status").get(endpoint(|cx, call| status(cx, call).boxed())))
        .push(
            Router::with_path("requests/{name}")
                .get(endpoint(|cx, call| explain(cx, call).boxed())),
        )
        .push(Router::with_path("drain").post(endpoint(|cx, call| drain(cx, call).boxed())))
        .push(
            Router::with_path("customers/{name}/keys")
                .get(endpoint(|cx, call| keys(cx, call).boxed()))
                .post(endpoint(|cx, call| add_key(cx, call).boxed())),
        )
        .push(
            Router::with_path("customers/{name}/keys/{part}")
                .delete(endpoint(|cx, call| revoke_key(cx, call).boxed())),
        )
}

fn json(body: &impl Serialize) -> Result<serde_json::Value> {
    serde_json::to_value(body).map_err(|e| OperatorProblem::invalid_call(e.to_string()))
}

async fn show(cx: Context, call: Call) -> Result<serde_json::Value> {
    match call.revision {
        Some(revision) => json(&cx.revision(revision).await?),
        None => json(&cx.current()),
    }
}

async fn publish(cx: Context, call: Call) -> Result<serde_json::Value> {
    let body: PublishBody = call.json()?;
    let revision = cx.publish(&call.operator, body).await?;
    json(&PublishedBody { revision })
}

async fn check(_cx: Context, call: Call) -> Result<serde_json::Value> {
    let body: CheckBody = call.json()?;
    match OperatorContext::check(&body.text) {
        Ok(_) => Ok(serde_json::json!({})),
        Err(problems) => Err(OperatorProblem::invalid(&problems)),
    }
}

async fn history(cx: Context, _call: Call) -> Result<serde_json::Value> {
    json(&cx.history().await?)
}

async fn diff(cx: Context, call: Call) -> Result<serde_json::Value> {
    let (Some(from), Some(to)) = (call.from, call.to) else {
        return Err(OperatorProblem::invalid_call(
            "give two revisions as `from` and `to`",
        ));
    };
    let difference = cx.diff(from, to).await?;
    json(&DiffBody { difference })
}

async fn status(cx: Context, _call: Call) -> Result<serde_json::Value> {
    json(&cx.status())
}

async fn explain(cx: Context, call: Call) -> Result<serde_json::Value> {
    let record = cx.control.explain(&call.name).await.ok_or_else(|| {
        OperatorProblem::not_found(format!("no node knows a request {}", call.name))
    })?;
    json(&ExplanationBody {
        request_id: call.name,
        sentences: record.sentences(),
        record,
    })
}

async fn drain(cx: Context, call: Call) -> Result<serde_json::Value> {
    tracing::info!(author = %call.operator.author(&call.author), "operator requested a drain");
    cx.control.drain();
    json(&DrainBody {
        node: cx.blackboard.identity.node.clone(),
    })
}

async fn keys(cx: Context, call: Call) -> Result<serde_json::Value> {
    json(&cx.keys(&call.name).await?)
}

async fn add_key(cx: Context, call: Call) -> Result<serde_json::Value> {
    let body = call.json()?;
    json(&cx.add_key(&call.operator, &call.name, body).await?)
}

async fn revoke_key(cx: Context, call: Call) -> Result<serde_json::Value> {
    let keys = cx
        .revoke_key(&call.operator, &call.name, &call.part, &call.author)
        .await?;
    json(&keys)
}
