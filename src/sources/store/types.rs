//! Requests to the store and its replies.

use std::time::Duration;

use bytes::Bytes;

/// Names a value in the store.
pub type Key = Box<str>;
/// A value in the store.
pub type Value = Bytes;
/// Counts changes of the store as a whole, from 1.
pub type Revision = u64;
/// Names a lease.
pub type LeaseId = u64;

/// One key or several.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyRange {
    /// The key itself.
    One(Key),
    /// All keys that start so.
    Prefix(Key),
}

impl KeyRange {
    /// Returns whether a key is in the range.
    pub fn contains(&self, key: &str) -> bool {
        match self {
            Self::One(one) => &**one == key,
            Self::Prefix(prefix) => key.starts_with(&**prefix),
        }
    }

    /// Returns the first key.
    pub fn start(&self) -> &str {
        match self {
            Self::One(key) | Self::Prefix(key) => key,
        }
    }
}

/// Asks for the present values of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// Keys to read.
    pub range: KeyRange,
}

impl RangeRequest {
    /// Asks for one key.
    pub fn one(key: &str) -> Self {
        Self {
            range: KeyRange::One(key.into()),
        }
    }

    /// Asks for all keys that start with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self {
            range: KeyRange::Prefix(prefix.into()),
        }
    }
}

/// A key with its value and history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Key,
    /// Its value.
    pub value: Value,
    /// Revision at which the key was made.
    pub create_revision: Revision,
    /// Revision of the last put.
    pub mod_revision: Revision,
    /// Number of puts since the key was made, from 1.
    pub version: u64,
    /// Lease with which the key ends.
    pub lease: Option<LeaseId>,
}

/// Present values of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeReply {
    /// Revision of the store at the time of reading.
    pub revision: Revision,
    /// Keys found, sorted.
    pub entries: Vec<KeyValue>,
}

/// What a compare demands of a key; 0 stands for a key that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The last put was at this revision.
    ModRevision(Revision),
    /// The key was made at this revision.
    CreateRevision(Revision),
    /// The key has had this number of puts.
    Version(u64),
}

/// A demand that has to hold for a transaction to go its first way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key looked at.
    pub key: Key,
    /// What has to hold.
    pub condition: Condition,
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Sets a value.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: Value,
        /// Lease with which the key shall end.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Get(KeyRange),
}

/// What one step of a transaction gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResult {
    /// The value is set.
    Put,
    /// This number of keys was deleted.
    Deleted(u64),
    /// Keys found, sorted.
    Got(Vec<KeyValue>),
}

/// Steps that are taken together, depending on compares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All of them have to hold for `then`.
    pub compares: Vec<Compare>,
    /// Taken if all compares hold.
    pub then: Vec<Op>,
    /// Taken if one does not hold.
    pub otherwise: Vec<Op>,
}

impl Transaction {
    /// Sets a key if its last put was at `expected` (0: if it does not exist), else reads it.
    pub fn swap(key: &str, expected: Revision, value: Value) -> Self {
        Self {
            compares: vec![Compare {
                key: key.into(),
                condition: Condition::ModRevision(expected),
            }],
            then: vec![Op::Put {
                key: key.into(),
                value,
                lease: None,
            }],
            otherwise: vec![Op::Get(KeyRange::One(key.into()))],
        }
    }

    /// Returns whether a step of the transaction could change the store.
    pub fn is_write(&self) -> bool {
        self.then
            .iter()
            .chain(&self.otherwise)
            .any(|op| !matches!(op, Op::Get(_)))
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionReply {
    /// Revision of the store behind the transaction; the `mod_revision` of what it put.
    pub revision: Revision,
    /// Whether all compares held.
    pub succeeded: bool,
    /// One result for each step taken.
    pub results: Vec<OpResult>,
}

impl TransactionReply {
    /// Returns the keys that the first reading step found, if there was one.
    pub fn found(&self) -> Option<&[KeyValue]> {
        self.results.iter().find_map(|result| match result {
            OpResult::Got(entries) => Some(entries.as_slice()),
            OpResult::Put | OpResult::Deleted(_) => None,
        })
    }
}

/// A lease and the time that it lasts from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Name of the lease.
    pub id: LeaseId,
    /// Time until it ends unless it is kept alive.
    pub ttl: Duration,
}

/// Asks for changes of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Keys to watch.
    pub range: KeyRange,
    /// First revision of interest; `None` for what comes from now on.
    pub from: Option<Revision>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch is in force; all changes behind `revision`, or from the revision asked for, follow.
    Started {
        /// Revision of the store.
        revision: Revision,
    },
    /// A key was set.
    Put(KeyValue),
    /// A key was deleted or its lease ended.
    Deleted {
        /// The key.
        key: Key,
        /// Revision of the deletion.
        revision: Revision,
    },
}
