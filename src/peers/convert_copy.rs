//! Conversions of replica updates and hand-overs between the domain types and the wire.

use jayhall_wire as wire;

use super::convert_request::{
    MalformedMessage, Result, attachment_from_wire, attachment_to_wire, boxed_strs, missing,
    strings,
};
use crate::core::request::AcceptedRequest;
use crate::ops::requests::{CopyUpdate, Snapshot};

/// Update to a replica. The first update of a request contains the whole request.
#[derive(Clone, Debug)]
pub struct ReplicaUpdate {
    /// Sequence number of the update on its stream.
    pub sequence: u64,
    /// Id of the request.
    pub request: Box<str>,
    /// The whole request, in the first update of it.
    pub accepted: Option<AcceptedRequest>,
    /// Changes since the last update.
    pub update: CopyUpdate,
    /// Set when the replica has to drop its copy.
    pub is_dropped: bool,
}

impl From<ReplicaUpdate> for wire::ReplicaUpdate {
    fn from(update: ReplicaUpdate) -> Self {
        let copy = update.update;
        let (engine, engine_attempt) = attachment_to_wire(copy.engine);
        Self {
            sequence: update.sequence,
            from: copy.from.into(),
            request: update.request.into(),
            accepted: update.accepted.as_ref().map(Into::into),
            attempt: copy.attempt,
            offset: copy.offset,
            tokens: strings(&copy.tokens),
            finished: copy.completion.map(Into::into),
            dropped: update.is_dropped,
            engine,
            engine_attempt,
            term: copy.term,
        }
    }
}

impl TryFrom<wire::ReplicaUpdate> for ReplicaUpdate {
    type Error = MalformedMessage;

    fn try_from(update: wire::ReplicaUpdate) -> Result<Self> {
        Ok(Self {
            sequence: update.sequence,
            request: update.request.into(),
            accepted: update.accepted.map(TryInto::try_into).transpose()?,
            update: CopyUpdate {
                from: update.from.into(),
                term: update.term,
                attempt: update.attempt,
                offset: update.offset,
                tokens: boxed_strs(update.tokens),
                completion: update.finished.map(Into::into),
                engine: attachment_from_wire(update.engine, update.engine_attempt),
            },
            is_dropped: update.dropped,
        })
    }
}

/// Request that its serving node hands over.
#[derive(Clone, Debug)]
pub struct HandOver {
    /// Node that served the request.
    pub from: Box<str>,
    /// State needed to continue the request.
    pub snapshot: Snapshot,
    /// Reason of the hand-over.
    pub cause: Box<str>,
}

impl From<HandOver> for wire::HandOverRequest {
    fn from(hand_over: HandOver) -> Self {
        let snapshot = hand_over.snapshot;
        let (engine, engine_attempt) = attachment_to_wire(snapshot.engine);
        Self {
            from: hand_over.from.into(),
            request: Some((&snapshot.request).into()),
            attempt: snapshot.attempt,
            tokens: strings(&snapshot.tokens),
            finished: snapshot.completion.map(Into::into),
            engine,
            engine_attempt,
            cause: hand_over.cause.into(),
            term: snapshot.term,
        }
    }
}

impl TryFrom<wire::HandOverRequest> for HandOver {
    type Error = MalformedMessage;

    fn try_from(hand_over: wire::HandOverRequest) -> Result<Self> {
        Ok(Self {
            from: hand_over.from.into(),
            snapshot: Snapshot {
                request: hand_over.request.ok_or(missing("request"))?.try_into()?,
                term: hand_over.term,
                attempt: hand_over.attempt,
                tokens: boxed_strs(hand_over.tokens),
                completion: hand_over.finished.map(Into::into),
                engine: attachment_from_wire(hand_over.engine, hand_over.engine_attempt),
            },
            cause: hand_over.cause.into(),
        })
    }
}
