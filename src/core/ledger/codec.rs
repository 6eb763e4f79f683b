//! Encoding of heads and pages in the store.

use bytes::Bytes;
use prost::Message;
use thiserror::Error;

use super::entry::{BodyDigest, Entry, EntryState, Outcome};
use super::key::{EntryKey, IdempotencyKey};
use super::page::{Head, Page};

/// Version of the encoding. Readers reject later versions, so that they never drop unknown fields.
pub const FORMAT: u32 = 1;

/// A value of the ledger cannot be decoded. No call is dispatched on the basis of such a value.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are not a valid value of the ledger.
    #[error("a value of the ledger is damaged")]
    Damaged,
    /// A later version of the software wrote the value.
    #[error("a value of the ledger has format {0}, which this version does not know")]
    LaterFormat(u32),
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, CodecError>;

#[derive(Clone, PartialEq, Message)]
struct HeadValue {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(string, tag = "2")]
    writer: String,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(uint64, tag = "4")]
    floor: u64,
}

#[derive(Clone, PartialEq, Message)]
struct PageValue {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EntryValue>,
}

#[derive(Clone, PartialEq, Message)]
struct EntryValue {
    #[prost(string, tag = "1")]
    customer: String,
    #[prost(bytes = "bytes", tag = "2")]
    key: Bytes,
    #[prost(bytes = "bytes", tag = "3")]
    digest: Bytes,
    #[prost(oneof = "StateValue", tags = "4, 5, 6")]
    state: Option<StateValue>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum StateValue {
    #[prost(message, tag = "4")]
    Intent(IntentValue),
    #[prost(message, tag = "5")]
    Answered(OutcomeValue),
    #[prost(bool, tag = "6")]
    MayHaveRun(bool),
}

#[derive(Clone, PartialEq, Message)]
struct IntentValue {
    #[prost(string, tag = "1")]
    writer: String,
    #[prost(uint32, tag = "2")]
    attempt: u32,
}

#[derive(Clone, PartialEq, Message)]
struct OutcomeValue {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(string, tag = "2")]
    content_type: String,
    #[prost(bytes = "bytes", optional, tag = "3")]
    body: Option<Bytes>,
}

impl Head {
    /// Encodes the head for the store.
    pub fn encode(&self) -> Bytes {
        let value = HeadValue {
            format: FORMAT,
            writer: self.writer.to_string(),
            sequence: self.sequence,
            floor: self.floor,
        };
        value.encode_to_vec().into()
    }

    /// Decodes a head from the store.
    ///
    /// # Errors
    ///
    /// Fails if the value is damaged or has a later format.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let value = HeadValue::decode(value).map_err(|_| CodecError::Damaged)?;
        check_format(value.format)?;
        Ok(Self {
            writer: value.writer.into(),
            sequence: value.sequence,
            floor: value.floor,
        })
    }
}

impl Page {
    /// Encodes the page for the store.
    pub fn encode(&self) -> Bytes {
        let value = PageValue {
            format: FORMAT,
            entries: self.entries().map(EntryValue::from).collect(),
        };
        value.encode_to_vec().into()
    }

    /// Decodes a page from the store.
    ///
    /// # Errors
    ///
    /// Fails if the value is damaged or has a later format.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let value = PageValue::decode(value).map_err(|_| CodecError::Damaged)?;
        check_format(value.format)?;
        let mut page = Self::default();
        for entry in value.entries {
            let (key, entry) = entry.try_into()?;
            page.insert(key, entry);
        }
        Ok(page)
    }
}

fn check_format(format: u32) -> Result<()> {
    match format {
        FORMAT => Ok(()),
        0 => Err(CodecError::Damaged),
        later => Err(CodecError::LaterFormat(later)),
    }
}

impl From<(&EntryKey, &Entry)> for EntryValue {
    fn from((key, entry): (&EntryKey, &Entry)) -> Self {
        Self {
            customer: key.customer.to_string(),
            key: Bytes::copy_from_slice(key.key.as_bytes()),
            digest: Bytes::copy_from_slice(&entry.digest.0),
            state: Some((&entry.state).into()),
        }
    }
}

impl From<&EntryState> for StateValue {
    fn from(state: &EntryState) -> Self {
        match state {
            EntryState::Intent { writer, attempt } => Self::Intent(IntentValue {
                writer: writer.to_string(),
                attempt: *attempt,
            }),
            EntryState::Answered(outcome) => Self::Answered(OutcomeValue {
                status: outcome.status.into(),
                content_type: outcome.content_type.to_string(),
                body: outcome.body.clone(),
            }),
            EntryState::MayHaveRun => Self::MayHaveRun(true),
        }
    }
}

impl TryFrom<EntryValue> for (EntryKey, Entry) {
    type Error = CodecError;

    fn try_from(value: EntryValue) -> Result<Self> {
        let key = IdempotencyKey::from_bytes(&value.key).map_err(|_| CodecError::Damaged)?;
        let digest = value.digest[..]
            .try_into()
            .map_err(|_| CodecError::Damaged)?;
        let entry = Entry {
            digest: BodyDigest(digest),
            state: value.state.ok_or(CodecError::Damaged)?.try_into()?,
        };
        let customer = value.customer.into();
        Ok((EntryKey { customer, key }, entry))
    }
}

impl TryFrom<StateValue> for EntryState {
    type Error = CodecError;

    fn try_from(value: StateValue) -> Result<Self> {
        Ok(match value {
            StateValue::Intent(intent) => Self::Intent {
                writer: intent.writer.into(),
                attempt: intent.attempt,
            },
            StateValue::Answered(outcome) => Self::Answered(Outcome {
                status: outcome.status.try_into().map_err(|_| CodecError::Damaged)?,
                content_type: outcome.content_type.into(),
                body: outcome.body,
            }),
            StateValue::MayHaveRun(_) => Self::MayHaveRun,
        })
    }
}
