//! The HTTP listener that customers connect to.

mod answer;
mod chat;
mod lists;
mod problem;
mod requests;
mod services;
mod wire;

use std::sync::Arc;
use std::time::Duration;

use salvo::http::header;
use salvo::prelude::*;

use crate::core::document::CustomerRule;
use crate::node::NodeContext;
use crate::ops::accept::Accept;
use crate::ops::call_records::CallRecords;
use crate::ops::call_service::CallService;
use crate::ops::follow::Follower;

pub use problem::Problem;

/// Size limit for the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for receiving the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Dependencies of the callers' HTTP handlers.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// Process-wide dependencies.
    pub cx: NodeContext,
    /// Validates and admits requests for models.
    pub accept: Accept,
    /// Looks up and streams answers.
    pub follower: Follower,
    /// Calls services other than models.
    pub calls: Arc<CallService>,
    /// Decision records of service calls.
    pub records: Arc<CallRecords>,
}

impl CallerContext {
    /// Authenticates a call by its bearer key and returns the customer.
    fn customer(&self, req: &Request) -> Result<CustomerRule, Problem> {
        req.headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .and_then(|key| self.accept.customer_of(key.trim()))
            .ok_or_else(Problem::no_key)
    }

    /// Returns the address at which callers reach a node, if the node is a member.
    fn caller_address(&self, node: &str) -> Option<Box<str>> {
        let members = self.cx.board.members.read();
        let member = members.get(node)?;
        Some(member.caller_address.to_string().into())
    }
}

/// Returns the routes of the callers' listener.
pub fn router(cx: &CallerContext) -> Router {
    Router::with_path("v1")
        .push(Router::with_path("chat/completions").post(chat::Complete(cx.clone())))
        .push(Router::with_path("requests/{id}").get(requests::Fetch(cx.clone())))
        .push(Router::with_path("requests/{id}/explanation").get(requests::Explain(cx.clone())))
        .push(
            Router::with_path("services/{service}")
                .get(services::Call(cx.clone()))
                .post(services::Call(cx.clone())),
        )
        .push(Router::with_path("idempotency-keys").post(services::IssueKey(cx.clone())))
        .push(Router::with_path("models").get(lists::Models(cx.clone())))
        .push(Router::with_path("health").get(lists::Health(cx.clone())))
        .push(Router::with_path("directory").get(lists::Directory(cx.clone())))
}

/// Reads the body of a call, limited in size and time.
async fn read_body(req: &mut Request) -> Result<Vec<u8>, Problem> {
    let too_large = || {
        Problem::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "Body too large",
            format!("the body may have {MAX_BODY_BYTES} bytes"),
        )
    };
    let declared = req
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, req.payload_with_max_size(MAX_BODY_BYTES)).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_vec()),
        Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => Err(too_large()),
        Ok(Err(e)) => Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "Body not read",
            format!("the body could not be read: {e}"),
        )),
        Err(_) => Err(Problem::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "Body too slow",
            "the body did not arrive within 10 s; send it again",
        )),
    }
}
