//! Calls to one other node, each with its deadline.

use std::time::Duration;

use jayhall_wire::{GossipReply, GossipRequest, ProbeRequest};
use tokio::time::timeout;
use tonic::{Code, Status};

use crate::core::id::Address;
use crate::peers::Pool;

/// Longest wait for an answer on a kept connection.
const KEPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for an answer on a new connection, its opening included.
const FRESH_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for a third node's probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// What came of an exchange.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The node answered.
    Answered(GossipReply),
    /// The node is there but answers with an error.
    Refused,
    /// The node answered neither on the kept connection nor on a new one.
    Silent,
}

/// Exchanges gossip with a node. A silent connection is given up for a new one before the node
/// counts as silent.
pub(super) async fn gossip(pool: &Pool, address: Address, req: GossipRequest) -> Outcome {
    for wait in [KEPT_TIMEOUT, FRESH_TIMEOUT] {
        let mut client = pool.client(address);
        match timeout(wait, client.gossip(req.clone())).await {
            Ok(Ok(reply)) => return Outcome::Answered(reply.into_inner()),
            Ok(Err(status)) if !is_lost(&status) => return Outcome::Refused,
            Ok(Err(_)) | Err(_) => pool.disconnect(address),
        }
    }
    Outcome::Silent
}

/// Returns whether the node with the name answers at an address, on a kept or a new connection.
pub(super) async fn probe(pool: &Pool, from: &str, target: &str, address: Address) -> bool {
    let req = ProbeRequest {
        from: from.to_owned(),
        ..ProbeRequest::default()
    };
    for wait in [KEPT_TIMEOUT, FRESH_TIMEOUT] {
        let mut client = pool.client(address);
        match timeout(wait, client.probe(req.clone())).await {
            Ok(Ok(reply)) => return reply.into_inner().node == target,
            Ok(Err(_)) | Err(_) => pool.disconnect(address),
        }
    }
    false
}

/// Returns whether a helper gets an answer from the node with the name.
pub(super) async fn probe_through(
    pool: &Pool,
    helper: Address,
    from: &str,
    target: &str,
    address: Address,
) -> bool {
    let req = ProbeRequest {
        from: from.to_owned(),
        target: target.to_owned(),
        target_address: address.to_string(),
    };
    let mut client = pool.client(helper);
    match timeout(INDIRECT_TIMEOUT, client.probe(req)).await {
        Ok(Ok(reply)) => reply.into_inner().target_answered,
        Ok(Err(_)) | Err(_) => false,
    }
}

fn is_lost(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::Unknown | Code::Cancelled | Code::DeadlineExceeded
    )
}
