//! The HTTP listener for the console and the command line.

mod api;
mod auth;
mod client;
mod console;
mod control;
mod document;
mod keys;
mod problem;
mod status;
pub mod wire;

use std::sync::Arc;

use salvo::Router;

pub use auth::Operator;
pub use client::{ClientError, OperatorClient};
pub use control::{NodeControl, QueueStatus};
pub use problem::OperatorProblem;

use crate::node::Blackboard;
use crate::ops::publish::Publisher;
use crate::ops::spread::Spread;
use crate::util::value::Hash;

/// Size limit for the body of a call, in bytes; a document of the maximum size fits in as JSON.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Dependencies of the operators' HTTP handlers.
#[derive(Clone)]
pub struct OperatorContext {
    /// State that the controllers publish.
    pub blackboard: Arc<Blackboard>,
    /// Replication of documents between nodes.
    pub spread: Arc<Spread>,
    /// Publisher of the configuration document.
    pub publisher: Publisher,
    /// Access to the node.
    pub control: Arc<dyn NodeControl>,
    /// SHA-256 hashes of the operators' keys; if empty, every call is rejected.
    pub operator_keys: Arc<[Hash]>,
}

/// Returns the routes of the operators' listener.
pub fn router(cx: OperatorContext) -> Router {
    let cx = Arc::new(cx);
    Router::new()
        .push(Router::with_path("api/v1").push(api::router(&cx)))
        .push(Router::with_path("console").push(console::router(&cx)))
}
