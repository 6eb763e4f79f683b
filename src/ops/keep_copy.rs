//! Replica side of the replication: stores copies of requests that other nodes serve.

use std::sync::Arc;

use jayhall_wire as wire;

use crate::core::id::NodeId;
use crate::core::request::AcceptedRequest;
use crate::ops::requests::{CopyError, Entry, Requests, Role, Snapshot};
use crate::peers::convert_copy::ReplicaUpdate;

/// The copy cannot be stored: the table is full, or earlier updates are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotKept;

/// Applies an update and returns its acknowledgement.
///
/// # Errors
///
/// Fails where the copy cannot be stored; nothing is acknowledged then.
pub(crate) fn keep(
    requests: &Requests,
    own: &NodeId,
    update: ReplicaUpdate,
) -> Result<wire::ReplicaAck, NotKept> {
    let sequence = update.sequence;
    let superseded = take(requests, own, update)?.into_iter().collect();
    Ok(wire::ReplicaAck {
        sequence,
        superseded,
    })
}

fn take(
    requests: &Requests,
    own: &NodeId,
    update: ReplicaUpdate,
) -> Result<Option<wire::Superseded>, NotKept> {
    let known = requests.get(&update.request);
    if update.is_dropped {
        if known.is_some_and(|entry| matches!(entry.role(), Role::Copy { .. })) {
            requests.remove(&update.request);
        }
        return Ok(None);
    }
    let entry = match (known, update.accepted) {
        (Some(entry), _) => entry,
        (None, Some(accepted)) => add(requests, accepted, &update.update.from)?,
        (None, None) => return Err(NotKept),
    };
    match entry.apply_update(own, update.update) {
        Ok(()) => Ok(None),
        Err(CopyError::Superseded { by }) => Ok(Some(wire::Superseded {
            request: update.request.into(),
            by: by.into(),
        })),
        Err(CopyError::Gap) => Err(NotKept),
    }
}

fn add(
    requests: &Requests,
    accepted: AcceptedRequest,
    from: &NodeId,
) -> Result<Arc<Entry>, NotKept> {
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
        Err(NotKept)
    }
}
