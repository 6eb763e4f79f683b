//! Messages of the JSON gateway of the etcd v3 API. Keys and values are in base64, 64-bit numbers are
//! strings.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::sources::store::error::{Result, StoreError};
use crate::sources::store::types as domain;

fn malformed(what: &str) -> StoreError {
    StoreError::AnswerLost {
        cause: format!("the answer has a malformed {what}").into(),
    }
}

fn encode(bytes: &[u8]) -> Box<str> {
    STANDARD.encode(bytes).into()
}

fn decode(text: &str, what: &str) -> Result<Vec<u8>> {
    STANDARD.decode(text).map_err(|_| malformed(what))
}

pub(super) fn write_number<S: Serializer>(
    number: &u64,
    to: S,
) -> std::result::Result<S::Ok, S::Error> {
    to.collect_str(number)
}

/// Deserializes a number that is given as a string or as a number.
pub(super) fn read_number<'de, D: Deserializer<'de>>(
    from: D,
) -> std::result::Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(Box<str>),
        Number(u64),
    }
    match Either::deserialize(from)? {
        Either::Text(text) => text.parse().map_err(serde::de::Error::custom),
        Either::Number(number) => Ok(number),
    }
}

pub(super) fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns the first key after all keys with a prefix: the prefix with its last byte incremented.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[derive(Debug, Serialize)]
pub(super) struct Range {
    key: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Box<str>>,
}

impl From<&domain::KeyRange> for Range {
    fn from(range: &domain::KeyRange) -> Self {
        Self {
            key: encode(range.start().as_bytes()),
            range_end: match range {
                domain::KeyRange::One(_) => None,
                domain::KeyRange::Prefix(prefix) => Some(encode(&prefix_end(prefix))),
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde(deserialize_with = "read_number")]
    pub(super) revision: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: Box<str>,
    value: Box<str>,
    #[serde(deserialize_with = "read_number")]
    create_revision: u64,
    #[serde(deserialize_with = "read_number")]
    mod_revision: u64,
    #[serde(deserialize_with = "read_number")]
    version: u64,
    #[serde(deserialize_with = "read_number")]
    lease: u64,
}

impl TryFrom<KeyValue> for domain::KeyValue {
    type Error = StoreError;

    fn try_from(wire: KeyValue) -> Result<Self> {
        let key = String::from_utf8(decode(&wire.key, "key")?).map_err(|_| malformed("key"))?;
        Ok(Self {
            key: key.into(),
            value: decode(&wire.value, "value")?.into(),
            create_revision: wire.create_revision.into(),
            mod_revision: wire.mod_revision.into(),
            version: wire.version,
            lease: (wire.lease != 0).then_some(wire.lease),
        })
    }
}

fn key_values(wire: Vec<KeyValue>) -> Result<Vec<domain::KeyValue>> {
    wire.into_iter().map(TryInto::try_into).collect()
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeReply {
    header: Header,
    kvs: Vec<KeyValue>,
}

impl TryFrom<RangeReply> for domain::RangeReply {
    type Error = StoreError;

    fn try_from(wire: RangeReply) -> Result<Self> {
        Ok(Self {
            revision: wire.header.revision.into(),
            entries: key_values(wire.kvs)?,
        })
    }
}

#[derive(Debug, Serialize)]
struct Compare {
    key: Box<str>,
    result: &'static str,
    target: &'static str,
    #[serde(flatten)]
    wanted: Wanted,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Wanted {
    #[serde(serialize_with = "write_number")]
    ModRevision(u64),
    #[serde(serialize_with = "write_number")]
    CreateRevision(u64),
    #[serde(serialize_with = "write_number")]
    Version(u64),
}

impl From<&domain::Compare> for Compare {
    fn from(compare: &domain::Compare) -> Self {
        let (target, wanted) = match compare.condition {
            domain::Condition::ModRevision(n) => ("MOD", Wanted::ModRevision(n.number)),
            domain::Condition::CreateRevision(n) => ("CREATE", Wanted::CreateRevision(n.number)),
            domain::Condition::Version(n) => ("VERSION", Wanted::Version(n)),
        };
        Self {
            key: encode(compare.key.as_bytes()),
            result: "EQUAL",
            target,
            wanted,
        }
    }
}

#[derive(Debug, Serialize)]
struct Put {
    key: Box<str>,
    value: Box<str>,
    #[serde(serialize_with = "write_number", skip_serializing_if = "is_zero")]
    lease: u64,
}

#[derive(Debug, Serialize)]
enum Op {
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_delete_range")]
    Delete(Range),
    #[serde(rename = "request_range")]
    Get(Range),
}

impl From<&domain::Op> for Op {
    fn from(op: &domain::Op) -> Self {
        match op {
            domain::Op::Put { key, value, lease } => Self::Put(Put {
                key: encode(key.as_bytes()),
                value: encode(value),
                lease: lease.unwrap_or(0),
            }),
            domain::Op::Delete(range) => Self::Delete(range.into()),
            domain::Op::Get(range) => Self::Get(range.into()),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct Txn {
    compare: Vec<Compare>,
    success: Vec<Op>,
    failure: Vec<Op>,
}

impl From<&domain::Transaction> for Txn {
    fn from(transaction: &domain::Transaction) -> Self {
        Self {
            compare: transaction.compares.iter().map(Into::into).collect(),
            success: transaction.then.iter().map(Into::into).collect(),
            failure: transaction.otherwise.iter().map(Into::into).collect(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct DeleteReply {
    #[serde(deserialize_with = "read_number")]
    deleted: u64,
}

#[derive(Debug, Deserialize)]
enum OpReply {
    #[serde(rename = "response_put")]
    Put(Empty),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteReply),
    #[serde(rename = "response_range")]
    Get(RangeReply),
}

impl TryFrom<OpReply> for domain::OpResult {
    type Error = StoreError;

    fn try_from(wire: OpReply) -> Result<Self> {
        Ok(match wire {
            OpReply::Put(Empty {}) => Self::Put,
            OpReply::Delete(reply) => Self::Deleted(reply.deleted),
            OpReply::Get(reply) => Self::Got(key_values(reply.kvs)?),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnReply {
    header: Header,
    succeeded: bool,
    responses: Vec<OpReply>,
}

impl TryFrom<TxnReply> for domain::TransactionReply {
    type Error = StoreError;

    fn try_from(wire: TxnReply) -> Result<Self> {
        let results: Result<Vec<_>> = wire.responses.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            revision: wire.header.revision.into(),
            succeeded: wire.succeeded,
            results: results?,
        })
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseGrant {
    #[serde(rename = "TTL", serialize_with = "write_number")]
    ttl_seconds: u64,
}

impl From<Duration> for LeaseGrant {
    fn from(ttl: Duration) -> Self {
        Self {
            ttl_seconds: ttl.as_secs().max(1),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRef {
    #[serde(rename = "ID", serialize_with = "write_number")]
    pub(super) id: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseReply {
    #[serde(rename = "ID", deserialize_with = "read_number")]
    id: u64,
    #[serde(rename = "TTL", deserialize_with = "read_number")]
    ttl_seconds: u64,
}

impl TryFrom<LeaseReply> for domain::LeaseGrant {
    type Error = StoreError;

    fn try_from(wire: LeaseReply) -> Result<Self> {
        if wire.ttl_seconds == 0 {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(Self {
            id: wire.id,
            ttl: Duration::from_secs(wire.ttl_seconds),
            era: 0,
        })
    }
}

/// Envelope of the messages of streaming calls.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: T,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Empty {}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorReply {
    pub(super) code: i32,
    error: Box<str>,
    message: Box<str>,
}

impl ErrorReply {
    pub(super) fn text(&self) -> &str {
        match self.message.is_empty() {
            true => &self.error,
            false => &self.message,
        }
    }
}
