//! Gossip and probe calls to a single node, each with a deadline.

use std::time::Duration;

use jayhall_wire::{GossipReply, GossipRequest, ProbeRequest};
use tokio::time::timeout;
use tonic::{Code, Status};

use crate::core::id::Address;
use crate::peers::Pool;

/// Timeout of a call on a pooled connection.
const POOLED_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a call on a new connection, including the time to connect.
const NEW_CONNECTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an indirect probe through a helper node.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Outcome of a gossip exchange.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The node replied.
    Answered(GossipReply),
    /// The node is reachable but returned an error.
    Refused,
    /// The node replied neither on the pooled connection nor on a new one.
    Silent,
}

/// Exchanges gossip with a node. If the pooled connection times out or breaks, retries once on a new
/// connection before the node is reported as silent.
pub(super) async fn gossip(pool: &Pool, address: Address, req: GossipRequest) -> Outcome {
    for wait in [POOLED_CALL_TIMEOUT, NEW_CONNECTION_TIMEOUT] {
        let mut client = pool.client(address);
        match timeout(wait, client.gossip(req.clone())).await {
            Ok(Ok(reply)) => return Outcome::Answered(reply.into_inner()),
            Ok(Err(status)) if !is_connection_lost(&status) => return Outcome::Refused,
            Ok(Err(_)) | Err(_) => pool.disconnect(address),
        }
    }
    Outcome::Silent
}

/// Returns whether the node named `target` answers at `address`, on a pooled or a new connection.
pub(super) async fn probe(pool: &Pool, from: &str, target: &str, address: Address) -> bool {
    let req = ProbeRequest {
        from: from.to_owned(),
        ..ProbeRequest::default()
    };
    for wait in [POOLED_CALL_TIMEOUT, NEW_CONNECTION_TIMEOUT] {
        let mut client = pool.client(address);
        match timeout(wait, client.probe(req.clone())).await {
            Ok(Ok(reply)) => return reply.into_inner().node == target,
            Ok(Err(_)) | Err(_) => pool.disconnect(address),
        }
    }
    false
}

/// Asks `helper` to probe the node named `target`, and returns whether that node answered.
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
    match timeout(INDIRECT_PROBE_TIMEOUT, client.probe(req)).await {
        Ok(Ok(reply)) => reply.into_inner().target_answered,
        Ok(Err(_)) | Err(_) => false,
    }
}

fn is_connection_lost(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::Unknown | Code::Cancelled | Code::DeadlineExceeded
    )
}
