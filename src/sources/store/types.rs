//! Requests to the store and its replies.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;

/// Key of a value.
pub type Key = Box<str>;
/// A value in the store.
pub type Value = Bytes;
/// Number of times that the store has come back from an older copy of its data.
pub type Era = u64;

/// A point in the history of the store.
///
/// A store that comes back from an older copy has lost its last changes and gives out their numbers again, in a
/// later era. Revisions are therefore ordered by their eras first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Number of changes to the store as a whole, from 1.
    pub number: u64,
}

/// Distance between the fencing tokens of two eras; more than a store's changes in one era.
const TOKENS_PER_ERA: u64 = 1 << 40;

impl Revision {
    /// Stands for a key that does not exist, and for a store without changes.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Returns the revision of the next change in the same era.
    pub fn next(self) -> Self {
        Self {
            number: self.number + 1,
            ..self
        }
    }

    /// Returns a single number that is higher for each later revision, for services that compare tokens.
    pub fn fencing_token(self) -> u64 {
        let first = self.era.saturating_mul(TOKENS_PER_ERA);
        first.saturating_add(self.number)
    }
}

/// Converts the revision of a store that has no eras.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
/// Identifier of a lease.
pub type LeaseId = u64;

/// A single key, or all keys with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyRange {
    /// This key.
    One(Key),
    /// All keys that start with this prefix.
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

    /// Returns the lower bound of the range.
    pub fn start(&self) -> &str {
        match self {
            Self::One(key) | Self::Prefix(key) => key,
        }
    }
}

/// Request for the current values of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// Keys to read.
    pub range: KeyRange,
}

impl RangeRequest {
    /// Creates a request for one key.
    pub fn one(key: &str) -> Self {
        Self {
            range: KeyRange::One(key.into()),
        }
    }

    /// Creates a request for all keys that start with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self {
            range: KeyRange::Prefix(prefix.into()),
        }
    }
}

/// A key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Key,
    /// Its value.
    pub value: Value,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last put.
    pub mod_revision: Revision,
    /// Number of puts since the key was created, from 1.
    pub version: u64,
    /// Lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// Current values of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeReply {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// Keys found, sorted.
    pub entries: Vec<KeyValue>,
}

/// Condition on a key. 0 and [`Revision::NONE`] stand for a key that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The last put was at this revision.
    ModRevision(Revision),
    /// The key was created at this revision.
    CreateRevision(Revision),
    /// The key has had this number of puts.
    Version(u64),
}

/// A condition that must hold for a transaction to run its `then` branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// Key that is compared.
    pub key: Key,
    /// Condition on the key.
    pub condition: Condition,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Sets a value.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: Value,
        /// Lease to bind the key to.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Get(KeyRange),
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResult {
    /// The value was set.
    Put,
    /// This number of keys was deleted.
    Deleted(u64),
    /// Keys found, sorted.
    Got(Vec<KeyValue>),
}

/// Operations that run atomically; compares select one of two branches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must all hold for `then` to run.
    pub compares: Vec<Compare>,
    /// Operations that run if all compares hold.
    pub then: Vec<Op>,
    /// Operations that run if at least one compare does not hold.
    pub otherwise: Vec<Op>,
}

impl Transaction {
    /// Creates a compare-and-swap: sets a key if its last put was at `expected`, which is
    /// [`Revision::NONE`] if it must not exist, otherwise reads it.
    pub fn compare_and_swap(key: &str, expected: Revision, value: Value) -> Self {
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

    /// Returns whether a condition names a revision of another era than `era`.
    pub fn is_based_on_other_era(&self, era: Era) -> bool {
        self.compares.iter().any(|compare| match compare.condition {
            Condition::ModRevision(revision) | Condition::CreateRevision(revision) => {
                revision != Revision::NONE && revision.era != era
            }
            Condition::Version(_) => false,
        })
    }

    /// Returns whether an operation of the transaction may change the store.
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
    /// Revision of the store after the transaction, which is the `mod_revision` of the keys that it
    /// put.
    pub revision: Revision,
    /// Whether all compares held.
    pub succeeded: bool,
    /// One result for each operation that ran.
    pub results: Vec<OpResult>,
}

impl TransactionReply {
    /// Returns the keys found by the first read of the transaction, if it has one.
    pub fn found(&self) -> Option<&[KeyValue]> {
        self.results.iter().find_map(|result| match result {
            OpResult::Got(entries) => Some(entries.as_slice()),
            OpResult::Put | OpResult::Deleted(_) => None,
        })
    }
}

/// A lease and its remaining time to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    pub id: LeaseId,
    /// Time until the lease expires unless it is kept alive.
    pub ttl: Duration,
    /// Era of the store that answered. A lease of an earlier era may be lost, and its id granted again.
    pub era: Era,
}

/// Request to watch keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Keys to watch.
    pub range: KeyRange,
    /// First revision to deliver; `None` for changes from now on.
    pub from: Option<Revision>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch is established. All changes follow, from the requested revision or after `revision`.
    Started {
        /// Revision of the store.
        revision: Revision,
    },
    /// A key was set.
    Put(KeyValue),
    /// A key was deleted or its lease expired.
    Deleted {
        /// The key.
        key: Key,
        /// Revision of the deletion.
        revision: Revision,
    },
}
