//! Watch messages of the JSON gateway of the etcd v3 API.

use serde::{Deserialize, Serialize};

use super::wire::{Header, KeyValue, Range, is_zero, read_number, write_number};
use crate::sources::store::error::{Result, StoreError};
use crate::sources::store::types as domain;

#[derive(Debug, Serialize)]
struct WatchCreate {
    #[serde(flatten)]
    range: Range,
    #[serde(serialize_with = "write_number", skip_serializing_if = "is_zero")]
    start_revision: u64,
}

#[derive(Debug, Serialize)]
pub(super) struct Watch {
    create_request: WatchCreate,
}

impl From<&domain::WatchRequest> for Watch {
    fn from(req: &domain::WatchRequest) -> Self {
        Self {
            create_request: WatchCreate {
                range: (&req.range).into(),
                start_revision: req.from.map_or(0, |from| from.number),
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) enum EventKind {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    kind: EventKind,
    kv: KeyValue,
}

impl TryFrom<Event> for domain::WatchEvent {
    type Error = StoreError;

    fn try_from(wire: Event) -> Result<Self> {
        let entry = domain::KeyValue::try_from(wire.kv)?;
        Ok(match wire.kind {
            EventKind::Put => Self::Put(entry),
            EventKind::Delete => Self::Deleted {
                key: entry.key,
                revision: entry.mod_revision,
            },
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchReply {
    pub(super) header: Header,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) cancel_reason: Box<str>,
    #[serde(deserialize_with = "read_number")]
    pub(super) compact_revision: u64,
    pub(super) events: Vec<Event>,
}
