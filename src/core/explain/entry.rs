//! Decisions about requests, with their causes.

use serde::{Deserialize, Serialize};

use crate::core::id::{AttemptNumber, CustomerId, ModelName, NodeId, RankName, ServiceName, VmId};
use crate::core::time::UnixMillis;
use crate::core::verdict::Verdict;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A request to a model was accepted.
    Accepted {
        /// Node that accepted it.
        node: NodeId,
        /// Customer of the request.
        customer: CustomerId,
        /// Rank of the request.
        rank: RankName,
        /// Requested model.
        model: ModelName,
        /// Prompt length in tokens.
        prompt_tokens: u32,
        /// Node that holds the replica, if there is one.
        replica: Option<NodeId>,
    },
    /// The request waits for an engine.
    Queued {
        /// Home node, which owns the queue.
        home: NodeId,
        /// Number of requests ahead in the queue.
        position: u32,
        /// Expected wait in milliseconds.
        expected_wait_ms: u32,
    },
    /// An engine started an attempt.
    Started {
        /// Engine's VM.
        engine: VmId,
        /// Attempt number.
        attempt: AttemptNumber,
        /// Time in the queue, in milliseconds.
        waited_ms: u32,
    },
    /// Generation continues on another engine.
    Moved {
        /// Cause of the move.
        cause: Box<str>,
        /// Tokens generated before the move.
        tokens_kept: u32,
    },
    /// Another node took over the request.
    HandedOver {
        /// Node that served it before.
        from: NodeId,
        /// Node that serves it now.
        to: NodeId,
        /// Cause of the handover.
        cause: Box<str>,
    },
    /// The replica moved to another node, or there is none for now.
    ReplicaChanged {
        /// Node that holds the replica, if there is one.
        replica: Option<NodeId>,
        /// Cause of the change.
        cause: Box<str>,
    },
    /// The answer is complete.
    Completed {
        /// Prompt tokens charged.
        prompt_tokens: u32,
        /// Prompt tokens that the engine had cached.
        cached_tokens: u32,
        /// Answer tokens charged.
        completion_tokens: u32,
    },
    /// The request was refused or abandoned.
    Refused {
        /// Cause of the refusal.
        cause: Box<str>,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Delay after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// A call to a plain service was accepted.
    CallAccepted {
        /// Node that accepted it.
        node: NodeId,
        /// Customer of the call.
        customer: CustomerId,
        /// Requested service.
        service: ServiceName,
    },
    /// A call was written to the ledger before it was sent.
    CallRecorded {
        /// Shard of the ledger.
        shard: u16,
    },
    /// A call was sent to a back end.
    CallSent {
        /// Back end's VM.
        backend: VmId,
    },
    /// The outcome of a call is known.
    CallEnded {
        /// HTTP status.
        status: u16,
        /// Whether the outcome is that of an earlier call with the same key.
        is_replay: bool,
    },
}

/// A decision with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Time of the decision.
    pub at: UnixMillis,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

impl RecordEntry {
    /// Returns the entry as a sentence for readers without technical background.
    pub fn sentence(&self) -> String {
        self.decision.sentence()
    }
}

impl Decision {
    fn sentence(&self) -> String {
        match self {
            Self::Accepted {
                node,
                customer,
                rank,
                model,
                prompt_tokens,
                replica,
            } => {
                let copy = match replica {
                    Some(replica) => format!("a second copy is kept by {replica}"),
                    None => "no other node could keep a second copy".into(),
                };
                format!(
                    "{node} accepted the request of {customer} ({rank}) for {model}: about \
                     {prompt_tokens} tokens to read; {copy}."
                )
            }
            Self::Queued {
                home,
                position,
                expected_wait_ms,
            } => format!(
                "It waited for a free engine at {home} behind {position} others; the expected wait \
                 was {expected_wait_ms} ms."
            ),
            Self::Started {
                engine,
                attempt,
                waited_ms,
            } => format!(
                "Engine {engine} started it after a wait of {waited_ms} ms (attempt {attempt})."
            ),
            Self::Moved { cause, tokens_kept } => {
                format!("It went on elsewhere with {tokens_kept} tokens kept, because {cause}.")
            }
            Self::HandedOver { from, to, cause } => {
                format!("{to} took it over from {from}, because {cause}.")
            }
            Self::ReplicaChanged { replica, cause } => match replica {
                Some(replica) => {
                    format!("The second copy is now kept by {replica}, because {cause}.")
                }
                None => format!("There was no second copy for a while, because {cause}."),
            },
            Self::Completed {
                prompt_tokens,
                cached_tokens,
                completion_tokens,
            } => format!(
                "The answer is whole. Charged: {prompt_tokens} tokens read ({cached_tokens} of them \
                 from memory) and {completion_tokens} tokens written."
            ),
            Self::Refused {
                cause,
                verdict,
                retry_after_ms,
            } => {
                let ran = match verdict {
                    Verdict::NotRun => "It was not run and nothing is charged",
                    Verdict::Ran => "It had run",
                    Verdict::MayHaveRun => "It may have run",
                };
                format!(
                    "It was refused, because {cause}. {ran}; the caller was told to come back after \
                     {retry_after_ms} ms."
                )
            }
            Self::CallAccepted {
                node,
                customer,
                service,
            } => format!("{node} took up the call of {customer} to {service}."),
            Self::CallRecorded { shard } => format!(
                "The call was written to part {shard} of the ledger before it was sent, so that it \
                 cannot run twice."
            ),
            Self::CallSent { backend } => format!("The call was sent to {backend}."),
            Self::CallEnded { status, is_replay } => {
                if *is_replay {
                    format!(
                        "The outcome of the earlier call with the same key was given again (status \
                         {status}); nothing ran a second time."
                    )
                } else {
                    format!("The back end answered with status {status}.")
                }
            }
        }
    }
}
