//! JSON bodies of the operators' API, shared by the listener and the client.

use serde::{Deserialize, Serialize};

use crate::core::document::Problem;
use crate::core::explain::Record;
use crate::core::time::UnixMillis;
use crate::ops::publish::Head;
use crate::util::value::format_hash;

/// A revision of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Revision; 0 if no document was published yet.
    pub revision: u64,
    /// Full text.
    pub text: Box<str>,
}

/// Request to publish a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishBody {
    /// Full text.
    pub text: Box<str>,
    /// Revision on which the text is based.
    pub base_revision: u64,
    /// Author name for the history.
    #[serde(default)]
    pub author: Box<str>,
}

/// Request to validate a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckBody {
    /// Full text.
    pub text: Box<str>,
}

/// Response to a publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBody {
    /// Published revision, which is now in force.
    pub revision: u64,
}

/// A problem of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Line number, counted from 1; 0 for a problem of the whole text.
    pub line: u32,
    /// Heading of the section.
    pub section: Box<str>,
    /// Key; empty for a problem of the whole section.
    pub key: Box<str>,
    /// Description of the problem.
    pub what: Box<str>,
    /// Suggested fix.
    pub remedy: Box<str>,
}

impl From<&Problem> for ProblemBody {
    fn from(problem: &Problem) -> Self {
        Self {
            line: problem.line,
            section: problem.section.clone(),
            key: problem.key.clone(),
            what: problem.what.clone(),
            remedy: problem.remedy.clone(),
        }
    }
}

impl From<ProblemBody> for Problem {
    fn from(body: ProblemBody) -> Self {
        Self {
            line: body.line,
            section: body.section,
            key: body.key,
            what: body.what,
            remedy: body.remedy,
        }
    }
}

/// A revision in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision.
    pub revision: u64,
    /// Operator who published it.
    pub author: Box<str>,
    /// Publication time.
    pub published_at: UnixMillis,
    /// SHA-256 of the text.
    pub digest: Box<str>,
    /// Headings of the changed sections; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changed: Option<Vec<Box<str>>>,
}

impl From<&Head> for HistoryEntry {
    fn from(head: &Head) -> Self {
        let changes = head.changes.as_ref();
        Self {
            revision: head.revision,
            author: head.author.clone(),
            published_at: head.published_at,
            digest: format_hash(&head.digest).into(),
            changed: changes.map(|changes| changes.iter().map(|c| c.heading.clone()).collect()),
        }
    }
}

/// The difference between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffBody {
    /// Unified diff; empty if the revisions are equal.
    pub difference: Box<str>,
}

/// Keys of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysBody {
    /// Customer.
    pub customer: Box<str>,
    /// Hashes of the keys, written `sha256:HEX`.
    pub keys: Vec<Box<str>>,
    /// Revision of the document that has these keys.
    pub revision: u64,
}

/// Request to add a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddKeyBody {
    /// Hash of the key, written `sha256:HEX`. The key itself is never sent.
    pub hash: Box<str>,
    /// Author name for the history.
    #[serde(default)]
    pub author: Box<str>,
}

/// Status of a node and its view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Node that sent this status.
    pub node: Box<str>,
    /// Life-cycle phase of the node.
    pub phase: Box<str>,
    /// Revision of the document in force on the node.
    pub revision: u64,
    /// Known nodes.
    pub nodes: Vec<NodeBody>,
    /// Known back ends.
    pub backends: Vec<BackendBody>,
    /// Queues of the node that sent this status.
    pub queues: Vec<QueueBody>,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBody {
    /// Unique name of the process; a restart gets a new one.
    pub node: Box<str>,
    /// VM.
    pub vm: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Last known membership state.
    pub state: Box<str>,
    /// Listen address for callers.
    pub caller_address: Box<str>,
    /// Listen address for operators.
    pub operator_address: Box<str>,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendBody {
    /// VM.
    pub vm: Box<str>,
    /// `engine` or `service`.
    pub kind: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Machine class of the VM.
    pub class: Box<str>,
    /// Market of the VM: `reclaimable` or `on demand`.
    pub market: Box<str>,
    /// Models or services that it serves.
    pub serves: Vec<Box<str>>,
    /// Whether the back end is leaving.
    pub is_leaving: bool,
    /// Time at which the cloud reclaims the VM, if announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reclaim_at: Option<UnixMillis>,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueBody {
    /// Model.
    pub model: Box<str>,
    /// Rank of work.
    pub rank: Box<str>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}

/// Decisions that were made about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationBody {
    /// Id of the request.
    pub request_id: Box<str>,
    /// Decisions as text, one sentence each.
    pub sentences: Vec<String>,
    /// Decisions with their times.
    pub record: Record,
}

/// Response to a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainBody {
    /// Node that is draining.
    pub node: Box<str>,
}
