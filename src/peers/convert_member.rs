//! Conversions of membership messages between the domain types and the wire.

use std::net::AddrParseError;

use jayhall_wire as wire;
use thiserror::Error;

use crate::core::membership::{
    BackendNotice, CustomerUse, DocumentRevision, HomeLoad, Member, MemberRecord, MemberState,
    Message, StateChange,
};

/// Limit of entries of one kind in a message.
const MAX_ENTRIES: usize = 4096;
/// Limit of a name in a message, in bytes.
const MAX_NAME: usize = 256;

/// Error of an invalid gossip message.
#[derive(Debug, Error)]
pub enum ConvertError {
    /// The message has no sender.
    #[error("a gossip message names no sender")]
    NoSender,
    /// A member has no name.
    #[error("a member in a gossip message has no name")]
    NoName,
    /// The state of a member is unknown.
    #[error("member {node} has the unknown state {state}")]
    State {
        /// Name of the member.
        node: Box<str>,
        /// The received number of the state.
        state: i32,
    },
    /// The address of a member cannot be parsed.
    #[error("member {node} has an unreadable address: {source}")]
    Address {
        /// Name of the member.
        node: Box<str>,
        /// The parse error.
        source: AddrParseError,
    },
    /// A name is longer than `MAX_NAME` bytes.
    #[error("a name of {0} bytes is too long")]
    LongName(usize),
    /// The message has more than `MAX_ENTRIES` entries of one kind.
    #[error("a gossip message has {0} entries of one kind")]
    TooMany(usize),
}

/// The module's result.
type Result<T> = std::result::Result<T, ConvertError>;

impl From<MemberState> for wire::MemberState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}

impl From<Member> for wire::Member {
    fn from(member: Member) -> Self {
        Self {
            node: member.node.into(),
            region: member.region.into(),
            zone: member.zone.into(),
            peer_address: member.peer_address.to_string(),
            caller_address: member.caller_address.to_string(),
            operator_address: member.operator_address.to_string(),
            state: wire::MemberState::from(member.state).into(),
            incarnation: member.incarnation,
            vm: member.vm.into(),
        }
    }
}

impl From<MemberRecord> for wire::Member {
    fn from(record: MemberRecord) -> Self {
        match record {
            MemberRecord::Full(member) => member.into(),
            MemberRecord::Change(change) => Self {
                node: change.node.into(),
                state: wire::MemberState::from(change.state).into(),
                incarnation: change.incarnation,
                ..Self::default()
            },
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = ConvertError;

    fn try_from(member: wire::Member) -> Result<Self> {
        let node = member_name(&member.node)?;
        let address = |text: &str| {
            text.parse().map_err(|source| ConvertError::Address {
                node: node.clone(),
                source,
            })
        };
        Ok(Self {
            vm: name(member.vm)?,
            region: name(member.region)?,
            zone: name(member.zone)?,
            peer_address: address(&member.peer_address)?,
            caller_address: address(&member.caller_address)?,
            operator_address: address(&member.operator_address)?,
            state: state(&node, member.state)?,
            incarnation: member.incarnation,
            node,
        })
    }
}

impl TryFrom<wire::Member> for MemberRecord {
    type Error = ConvertError;

    fn try_from(member: wire::Member) -> Result<Self> {
        if !member.region.is_empty() {
            return Ok(Self::Full(member.try_into()?));
        }
        let node = member_name(&member.node)?;
        Ok(Self::Change(StateChange {
            state: state(&node, member.state)?,
            incarnation: member.incarnation,
            node,
        }))
    }
}

fn member_name(text: &str) -> Result<Box<str>> {
    if text.is_empty() {
        return Err(ConvertError::NoName);
    }
    name(text.to_owned())
}

fn name(text: String) -> Result<Box<str>> {
    if text.len() > MAX_NAME {
        return Err(ConvertError::LongName(text.len()));
    }
    Ok(text.into())
}

fn state(node: &str, number: i32) -> Result<MemberState> {
    match wire::MemberState::try_from(number) {
        Ok(wire::MemberState::Alive) => Ok(MemberState::Alive),
        Ok(wire::MemberState::Suspect) => Ok(MemberState::Suspect),
        Ok(wire::MemberState::Leaving) => Ok(MemberState::Leaving),
        Ok(wire::MemberState::Dead) => Ok(MemberState::Dead),
        Ok(wire::MemberState::Unspecified) | Err(_) => Err(ConvertError::State {
            node: node.into(),
            state: number,
        }),
    }
}

impl From<HomeLoad> for wire::HomeLoad {
    fn from(load: HomeLoad) -> Self {
        Self {
            node: load.node.into(),
            model: load.model.into(),
            sequence: load.sequence,
            slots: load.slots,
            running: load.running,
            waiting_tokens: load.waiting_tokens.into_vec(),
            tokens_per_second: load.tokens_per_second,
            waiting: load.waiting,
        }
    }
}

impl TryFrom<wire::HomeLoad> for HomeLoad {
    type Error = ConvertError;

    fn try_from(load: wire::HomeLoad) -> Result<Self> {
        bounded(&load.waiting_tokens)?;
        Ok(Self {
            node: name(load.node)?,
            model: name(load.model)?,
            sequence: load.sequence,
            slots: load.slots,
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens.into(),
            tokens_per_second: load.tokens_per_second,
        })
    }
}

impl From<CustomerUse> for wire::CustomerUse {
    fn from(used: CustomerUse) -> Self {
        Self {
            node: used.node.into(),
            customer: used.customer.into(),
            tokens: used.tokens,
            in_flight: used.in_flight,
            sequence: used.sequence,
        }
    }
}

impl TryFrom<wire::CustomerUse> for CustomerUse {
    type Error = ConvertError;

    fn try_from(used: wire::CustomerUse) -> Result<Self> {
        Ok(Self {
            node: name(used.node)?,
            customer: name(used.customer)?,
            tokens: used.tokens,
            in_flight: used.in_flight,
            sequence: used.sequence,
        })
    }
}

impl From<BackendNotice> for wire::BackendNotice {
    fn from(notice: BackendNotice) -> Self {
        Self {
            vm: notice.vm.into(),
            reclaim_at_unix_ms: notice.reclaim_at,
        }
    }
}

impl TryFrom<wire::BackendNotice> for BackendNotice {
    type Error = ConvertError;

    fn try_from(notice: wire::BackendNotice) -> Result<Self> {
        Ok(Self {
            vm: name(notice.vm)?,
            reclaim_at: notice.reclaim_at_unix_ms,
        })
    }
}

impl From<DocumentRevision> for wire::DocumentRevision {
    fn from(revision: DocumentRevision) -> Self {
        Self {
            document: revision.document.into(),
            revision: revision.revision,
        }
    }
}

impl TryFrom<wire::DocumentRevision> for DocumentRevision {
    type Error = ConvertError;

    fn try_from(revision: wire::DocumentRevision) -> Result<Self> {
        Ok(Self {
            document: name(revision.document)?,
            revision: revision.revision,
        })
    }
}

impl From<Message> for wire::GossipRequest {
    fn from(message: Message) -> Self {
        Self {
            from: message.from.into(),
            members: all_into(message.members),
            loads: all_into(message.loads),
            uses: all_into(message.uses),
            notices: all_into(message.notices),
            documents: all_into(message.documents),
            members_digest: message.members_digest,
            bucket_digests: message.buckets,
        }
    }
}

impl From<Message> for wire::GossipReply {
    fn from(message: Message) -> Self {
        Self {
            members: all_into(message.members),
            loads: all_into(message.loads),
            uses: all_into(message.uses),
            notices: all_into(message.notices),
            documents: all_into(message.documents),
            members_digest: message.members_digest,
            from: message.from.into(),
        }
    }
}

impl TryFrom<wire::GossipRequest> for Message {
    type Error = ConvertError;

    fn try_from(req: wire::GossipRequest) -> Result<Self> {
        bounded(&req.bucket_digests)?;
        Ok(Self {
            from: sender(req.from)?,
            members: try_all(req.members)?,
            loads: try_all(req.loads)?,
            uses: try_all(req.uses)?,
            notices: try_all(req.notices)?,
            documents: try_all(req.documents)?.into(),
            members_digest: req.members_digest,
            buckets: req.bucket_digests,
        })
    }
}

impl TryFrom<wire::GossipReply> for Message {
    type Error = ConvertError;

    fn try_from(reply: wire::GossipReply) -> Result<Self> {
        Ok(Self {
            from: sender(reply.from)?,
            members: try_all(reply.members)?,
            loads: try_all(reply.loads)?,
            uses: try_all(reply.uses)?,
            notices: try_all(reply.notices)?,
            documents: try_all(reply.documents)?.into(),
            members_digest: reply.members_digest,
            buckets: Vec::new(),
        })
    }
}

fn sender(from: String) -> Result<Box<str>> {
    if from.is_empty() {
        return Err(ConvertError::NoSender);
    }
    name(from)
}

fn bounded<T>(entries: &[T]) -> Result<()> {
    if entries.len() > MAX_ENTRIES {
        return Err(ConvertError::TooMany(entries.len()));
    }
    Ok(())
}

fn all_into<T, U: From<T>>(entries: impl IntoIterator<Item = T>) -> Vec<U> {
    entries.into_iter().map(U::from).collect()
}

fn try_all<T, U: TryFrom<T, Error = ConvertError>>(entries: Vec<T>) -> Result<Vec<U>> {
    bounded(&entries)?;
    entries.into_iter().map(U::try_from).collect()
}
