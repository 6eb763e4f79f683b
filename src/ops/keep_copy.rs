//! Replica side of the replication: stores copies of requests that other nodes serve.

use std::sync::Arc;

use jayhall_wire as wire;

use crate::core::id::NodeId;
use crate::core::request::AcceptedRequest;
use crate::ops::requests::{CopyError, Entry, Requests, Role, Snapshot};
use crate::peers::convert_copy::ReplicaUpdate;

/// The copy cannot be stored: the table is full, or earlier updates are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CopyRejected;

/// Applies an update and returns its acknowledgement.
///
/// # Errors
///
/// Fails where the copy cannot be stored; nothing is acknowledged then.
pub(crate) fn apply(
    requests: &Requests,
    own_node: &NodeId,
    update: ReplicaUpdate,
) -> Result<wire::ReplicaAck, CopyRejected> {
    let sequence = update.sequence;
    let superseded = apply_update(requests, own_node, update)?
        .into_iter()
        .collect();
    Ok(wire::ReplicaAck {
        sequence,
        superseded,
    })
}

fn apply_update(
    requests: &Requests,
    own_node: &NodeId,
    update: ReplicaUpdate,
) -> Result<Option<wire::Superseded>, CopyRejected> {
    let existing = requests.get(&update.request);
    if update.is_dropped {
        if existing.is_some_and(|entry| matches!(entry.role(), Role::Copy { .. })) {
            requests.remove(&update.request);
        }
        return Ok(None);
    }
    let entry = match (existing, update.accepted) {
        (Some(entry), _) => entry,
        (None, Some(accepted)) => insert_copy(requests, accepted, &update.update.from)?,
        (None, None) => return Err(CopyRejected),
    };
    match entry.apply_update(own_node, update.update) {
        Ok(()) => Ok(None),
        Err(CopyError::Superseded { by }) => Ok(Some(wire::Superseded {
            request: update.request.into(),
            by: by.into(),
        })),
        Err(CopyError::Gap) => Err(CopyRejected),
    }
}

fn insert_copy(
    requests: &Requests,
    accepted: AcceptedRequest,
    from: &NodeId,
) -> Result<Arc<Entry>, CopyRejected> {
    let snapshot = Snapshot {
        request: accepted,
        term: 0,
        attempt: 0,
        tokens: Vec::new(),
        completion: None,
        engine: None,
    };
    let entry = Arc::new(Entry::copy(snapshot, from.clone()));
    if requests.insert(Arc::clone(&entry)) {
        Ok(entry)
    } else {
        Err(CopyRejected)
    }
}
