//! What two nodes tell each other in one exchange, with the size of each part.

use smallvec::SmallVec;

use super::reports::{BackendNotice, CustomerUse, HomeLoad};
use super::{Member, MemberState};
use crate::core::id::NodeId;

/// Bytes of a message beside its parts.
const MESSAGE_OVERHEAD: usize = 32;
/// Bytes of a record beside its texts.
const RECORD_OVERHEAD: usize = 20;
/// Bytes of three addresses in text form.
const ADDRESS_BYTES: usize = 3 * 24;

/// State of a member without what never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Name of the member.
    pub node: NodeId,
    /// State as last heard.
    pub state: MemberState,
    /// Incarnation to which the state belongs.
    pub incarnation: u64,
}

/// What one node says about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRecord {
    /// All of it, for receivers that may not know the member.
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

/// Revision of a spread document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRevision {
    /// Name of the document, such as `config`.
    pub document: Box<str>,
    /// Its revision.
    pub revision: u64,
}

/// Revisions of all spread documents.
pub type DocumentRevisions = SmallVec<[DocumentRevision; 2]>;

/// What two nodes tell each other in one exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Name of the sender.
    pub from: NodeId,
    /// Members of which the receiver may not know.
    pub members: Vec<MemberRecord>,
    /// Loads of homes in the region of both.
    pub loads: Vec<HomeLoad>,
    /// Use by customers.
    pub uses: Vec<CustomerUse>,
    /// Leaving back ends in the region of both.
    pub notices: Vec<BackendNotice>,
    /// Revisions of the sender's documents.
    pub documents: DocumentRevisions,
    /// Digest of the sender's members.
    pub members_digest: u64,
    /// Digests of its buckets, where the sender asks for what it lacks.
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
