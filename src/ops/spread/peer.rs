//! How a node asks another one for a document.

use std::time::Duration;

use futures::future::BoxFuture;
use jayhall_wire::{FetchDocumentReply, FetchDocumentRequest};
use thiserror::Error;
use tokio::time::timeout;

use crate::core::id::Address;
use crate::peers::Pool;

/// Longest wait for a peer's answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer that gave no document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the node at {address} gave no document: {cause}")]
pub struct PeerError {
    /// Node that was asked.
    pub address: Address,
    /// What was seen instead.
    pub cause: Box<str>,
}

/// Asks other nodes for documents.
pub trait DocumentPeers: Send + Sync {
    /// Asks a node for the revision that it has.
    ///
    /// # Errors
    ///
    /// Fails where the node does not answer in time or refuses.
    fn fetch(
        &self,
        address: Address,
        req: FetchDocumentRequest,
    ) -> BoxFuture<'_, Result<FetchDocumentReply, PeerError>>;
}

impl DocumentPeers for Pool {
    fn fetch(
        &self,
        address: Address,
        req: FetchDocumentRequest,
    ) -> BoxFuture<'_, Result<FetchDocumentReply, PeerError>> {
        Box::pin(async move {
            let mut client = self.client(address);
            let failed = |cause: Box<str>| PeerError { address, cause };
            match timeout(FETCH_TIMEOUT, client.fetch_document(req)).await {
                Ok(Ok(reply)) => Ok(reply.into_inner()),
                Ok(Err(status)) => Err(failed(status.to_string().into())),
                Err(_) => {
                    // The connection may have gone silent; the next fetch dials afresh.
                    self.disconnect(address);
                    Err(failed("no answer in time".into()))
                }
            }
        })
    }
}
