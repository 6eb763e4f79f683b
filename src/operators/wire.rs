//! Bodies of the operators' calls, for the listener and for the command line.

use serde::{Deserialize, Serialize};

use crate::core::document::Problem;
use crate::core::explain::Record;
use crate::core::time::UnixMillis;
use crate::ops::publish::Head;
use crate::util::value::format_hash;

/// A revision with its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Revision; 0 before the first one.
    pub revision: u64,
    /// Whole text.
    pub text: Box<str>,
}

/// A text to publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishBody {
    /// Whole text.
    pub text: Box<str>,
    /// Revision that the author has changed.
    pub base_revision: u64,
    /// Name for the history.
    #[serde(default)]
    pub author: Box<str>,
}

/// A text to check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckBody {
    /// Whole text.
    pub text: Box<str>,
}

/// What was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBody {
    /// Revision in force from now on.
    pub revision: u64,
}

/// One mistake of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Line, counted from 1; 0 for the text as a whole.
    pub line: u32,
    /// Heading.
    pub section: Box<str>,
    /// Key.
    pub key: Box<str>,
    /// What is wrong.
    pub what: Box<str>,
    /// What to write in its place.
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

/// One revision in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision.
    pub revision: u64,
    /// Operator who published it.
    pub author: Box<str>,
    /// Time of publishing.
    pub published_at: UnixMillis,
    /// SHA-256 of the text.
    pub digest: Box<str>,
    /// Headings of the changed sections; absent where they are not known.
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
    /// Unified difference; empty where both are equal.
    pub difference: Box<str>,
}

/// Keys of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysBody {
    /// Customer.
    pub customer: Box<str>,
    /// Hashes of the keys, written `sha256:HEX`.
    pub keys: Vec<Box<str>>,
    /// Revision of the document.
    pub revision: u64,
}

/// A key to add.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddKeyBody {
    /// Hash of the key, written `sha256:HEX`. The key itself is never sent.
    pub hash: Box<str>,
    /// Name for the history.
    #[serde(default)]
    pub author: Box<str>,
}

/// What the node knows of itself and of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Node that answers.
    pub node: Box<str>,
    /// Phase of its life.
    pub phase: Box<str>,
    /// Revision of the document in force on it.
    pub revision: u64,
    /// Nodes.
    pub nodes: Vec<NodeBody>,
    /// Back ends.
    pub backends: Vec<BackendBody>,
    /// Queues of the node that answers.
    pub queues: Vec<QueueBody>,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBody {
    /// Name of this life of the process.
    pub node: Box<str>,
    /// VM.
    pub vm: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// State as last heard.
    pub state: Box<str>,
    /// Where callers connect.
    pub caller_address: Box<str>,
    /// Where operators connect.
    pub operator_address: Box<str>,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendBody {
    /// VM.
    pub vm: Box<str>,
    /// What it does.
    pub kind: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Class of VM.
    pub class: Box<str>,
    /// How it is paid for.
    pub market: Box<str>,
    /// Models or services that it serves.
    pub serves: Vec<Box<str>>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// When the cloud takes it back, if that is announced.
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
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// What was decided about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationBody {
    /// Request.
    pub request_id: Box<str>,
    /// One sentence for each decision.
    pub sentences: Vec<String>,
    /// Decisions with times.
    pub record: Record,
}

/// Answer to the order to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainBody {
    /// Node that leaves.
    pub node: Box<str>,
}
