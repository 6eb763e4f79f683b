//! Gossip messages and upper bounds of their encoded size.

use smallvec::SmallVec;

use super::reports::{BackendNotice, CustomerUse, HomeLoad};
use super::{Member, MemberState};
use crate::core::id::NodeId;

/// Encoded size of a message without its variable-length parts, in bytes.
const MESSAGE_OVERHEAD: usize = 32;
/// Encoded size of a record without its strings, in bytes.
const RECORD_OVERHEAD: usize = 20;
/// Size of three addresses in text form, in bytes.
const ADDRESS_BYTES: usize = 3 * 24;

/// State of a member, without the fields that never change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Name of the member.
    pub node: NodeId,
    /// Last known state.
    pub state: MemberState,
    /// Incarnation to which the state belongs.
    pub incarnation: u64,
}

/// Information about a member, as sent to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRecord {
    /// The full record, for receivers that may not know the member.
    Full(Member),
    /// Only the state, for receivers that know the member.
    Change(StateChange),
}

impl MemberRecord {
    /// Returns the name of the member.
    pub fn node(&self) -> &str {
        match self {
            Self::Full(member) => &member.node,
            Self::Change(change) => &change.node,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> MemberState {
        match self {
            Self::Full(member) => member.state,
            Self::Change(change) => change.state,
        }
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        match self {
            Self::Full(member) => member.incarnation,
            Self::Change(change) => change.incarnation,
        }
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Full(m) => {
                RECORD_OVERHEAD
                    + ADDRESS_BYTES
                    + m.node.len()
                    + m.vm.len()
                    + m.region.len()
                    + m.zone.len()
            }
            Self::Change(change) => RECORD_OVERHEAD + change.node.len(),
        }
    }
}

/// Revision of a replicated document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRevision {
    /// Name of the document, such as `config`.
    pub document: Box<str>,
    /// Revision of the document.
    pub revision: u64,
}

/// Revisions of all replicated documents.
pub type DocumentRevisions = SmallVec<[DocumentRevision; 2]>;

/// Request or reply of a gossip exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Name of the sender.
    pub from: NodeId,
    /// Member updates that the receiver may not have.
    pub members: Vec<MemberRecord>,
    /// Loads of homes, exchanged only within a region.
    pub loads: Vec<HomeLoad>,
    /// Use by customers.
    pub uses: Vec<CustomerUse>,
    /// Reclaim notices of back ends, exchanged only within a region.
    pub notices: Vec<BackendNotice>,
    /// Revisions of the sender's documents.
    pub documents: DocumentRevisions,
    /// Digest of the sender's members.
    pub members_digest: u64,
    /// Bucket digests of the sender's members. Non-empty where the sender requests missing members.
    pub buckets: Vec<u64>,
}

impl Message {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        MESSAGE_OVERHEAD
            + self.from.len()
            + self.members.iter().map(MemberRecord::size).sum::<usize>()
            + self.loads.iter().map(HomeLoad::size).sum::<usize>()
            + self.uses.iter().map(CustomerUse::size).sum::<usize>()
            + self.notices.iter().map(BackendNotice::size).sum::<usize>()
            + self
                .documents
                .iter()
                .map(|d| RECORD_OVERHEAD + d.document.len())
                .sum::<usize>()
            + 8 * self.buckets.len()
    }
}
