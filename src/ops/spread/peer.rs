//! Client interface to fetch documents from other nodes.

use std::time::Duration;

use futures::future::BoxFuture;
use jayhall_wire::{FetchDocumentReply, FetchDocumentRequest};
use thiserror::Error;
use tokio::time::timeout;

use crate::core::id::Address;
use crate::peers::Pool;

/// Timeout of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Error when fetching a document from a peer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the node at {address} gave no document: {cause}")]
pub struct PeerError {
    /// Address of the queried node.
    pub address: Address,
    /// Cause of the failure.
    pub cause: Box<str>,
}

/// Client to fetch documents from other nodes.
pub trait DocumentPeers: Send + Sync {
    /// Fetches a node's revision of a document.
    ///
    /// # Errors
    ///
    /// Fails if the node does not reply in time or returns an error.
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
                    // The connection may be dead; the next fetch opens a new one.
                    self.disconnect(address);
                    Err(failed("no answer in time".into()))
                }
            }
        })
    }
}
