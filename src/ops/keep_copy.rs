//! The replica's side: keeps copies, and serves them when their serving node is gone.

use std::sync::Arc;

use jayhall_wire as wire;

use crate::core::id::NodeId;
use crate::core::request::AcceptedRequest;
use crate::ops::requests::{Entry, Requests, Role, Snapshot};
use crate::peers::convert_request::ReplicaUpdate;

/// This node has no room for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Takes an update and returns the acknowledgement.
///
/// # Errors
///
/// Fails where there is no room; nothing is acknowledged then.
pub(crate) fn keep(
    requests: &Requests,
    own: &NodeId,
    update: ReplicaUpdate,
) -> Result<wire::ReplicaAck, NoRoom> {
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
) -> Result<Option<wire::Superseded>, NoRoom> {
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
        (None, None) => return Err(NoRoom),
    };
    Ok(entry
        .apply_update(own, update.update)
        .err()
        .map(|superseded| wire::Superseded {
            request: update.request.into(),
            by: superseded.by.into(),
        }))
}

fn add(
    requests: &Requests,
    accepted: AcceptedRequest,
    from: &NodeId,
) -> Result<Arc<Entry>, NoRoom> {
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
        Err(NoRoom)
    }
}
