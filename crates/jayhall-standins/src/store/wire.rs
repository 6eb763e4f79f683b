//! The JSON form of the store's requests: bytes in base64, 64-bit numbers as strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// Bytes that are base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bytes64(pub(crate) Vec<u8>);

impl<'de> Deserialize<'de> for Bytes64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        let bytes = BASE64.decode(text.as_bytes()).map_err(D::Error::custom)?;
        Ok(Self(bytes))
    }
}

/// A 64-bit number that may be a string in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number(pub(crate) i64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub(crate) key: Bytes64,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Bytes64,
    pub(crate) limit: Number,
    #[serde(alias = "keysOnly")]
    pub(crate) keys_only: bool,
    #[serde(alias = "countOnly")]
    pub(crate) count_only: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub(crate) key: Bytes64,
    pub(crate) value: Bytes64,
    pub(crate) lease: Number,
    #[serde(alias = "prevKv")]
    pub(crate) prev_kv: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteRequest {
    pub(crate) key: Bytes64,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Bytes64,
    #[serde(alias = "prevKv")]
    pub(crate) prev_kv: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: Bytes64,
    pub(crate) target: Target,
    pub(crate) result: Relation,
    pub(crate) version: Number,
    #[serde(alias = "createRevision")]
    pub(crate) create_revision: Number,
    #[serde(alias = "modRevision")]
    pub(crate) mod_revision: Number,
    pub(crate) value: Bytes64,
    pub(crate) lease: Number,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRequest),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Number,
    #[serde(rename = "ID")]
    pub(crate) id: Number,
    pub(crate) keys: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(crate) create_request: WatchCreate,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub(crate) key: Bytes64,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Bytes64,
    #[serde(alias = "startRevision")]
    pub(crate) start_revision: Number,
    #[serde(alias = "progressNotify")]
    pub(crate) progress_notify: bool,
}
