//! Client of the peer protocol that forwards calls to the owners of their shards.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use jayhall_wire as wire;
use thiserror::Error;
use tonic::Status;

use crate::core::id::Address;
use crate::core::service_call::{CallReply, ServiceCall};
use crate::core::verdict::Verdict;
use crate::peers::Pool;

/// Time added to a call's timeout when waiting for the reply, so that a refusal by the owner still
/// arrives.
const REPLY_MARGIN: Duration = Duration::from_millis(250);

/// Error of a call forwarded to another node.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ForwardError {
    /// No connection was made and nothing was sent.
    #[error("the node was not reached")]
    NotSent,
    /// The call may have been sent, but no reply arrived.
    #[error("the node's answer was lost")]
    Lost,
}

impl ForwardError {
    /// Returns whether the call may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::NotSent => Verdict::NotRun,
            Self::Lost => Verdict::MayHaveRun,
        }
    }
}

/// Forwards calls to other nodes.
pub trait OwnerClient: Send + Sync {
    /// Sends a call to one node, without retries.
    fn call(
        &self,
        address: Address,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<CallReply, ForwardError>>;
}

/// Forwards calls over the peer protocol.
#[derive(Clone, Debug)]
pub struct PeerOwnerClient {
    pool: Arc<Pool>,
}

impl PeerOwnerClient {
    /// Creates a client that uses a pool of connections.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }
}

impl OwnerClient for PeerOwnerClient {
    fn call(
        &self,
        address: Address,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<CallReply, ForwardError>> {
        let pool = self.pool.clone();
        Box::pin(async move {
            let within = call.timeout + REPLY_MARGIN;
            let mut client = pool.client(address);
            let request = client.call_service(wire::ServiceCallRequest::from(call));
            match tokio::time::timeout(within, request).await {
                Ok(Ok(reply)) => Ok(reply.into_inner().into()),
                Ok(Err(status)) => {
                    pool.disconnect(address);
                    Err(error_from_status(&status))
                }
                Err(_) => {
                    pool.disconnect(address);
                    Err(ForwardError::Lost)
                }
            }
        })
    }
}

fn error_from_status(status: &Status) -> ForwardError {
    let mut cause = status.source();
    while let Some(e) = cause {
        if e.is::<tonic::ConnectError>() {
            return ForwardError::NotSent;
        }
        cause = e.source();
    }
    ForwardError::Lost
}
