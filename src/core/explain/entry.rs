//! One decision, with its cause.

use serde::{Deserialize, Serialize};

use crate::core::id::{AttemptNumber, CustomerId, ModelName, NodeId, RankName, ServiceName, VmId};
use crate::core::time::UnixMillis;
use crate::core::verdict::Verdict;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A request for a model's answer was accepted.
    Accepted {
        /// Node that accepted it.
        node: NodeId,
        /// Customer who asked.
        customer: CustomerId,
        /// Rank of work.
        rank: RankName,
        /// Model asked for.
        model: ModelName,
        /// Prompt length in tokens.
        prompt_tokens: u32,
        /// Node that keeps the second copy, if there is one.
        replica: Option<NodeId>,
    },
    /// The request waits for an engine.
    Queued {
        /// Node that keeps the queue.
        home: NodeId,
        /// Requests in front of it.
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
    /// The answer goes on elsewhere.
    Moved {
        /// Why.
        cause: Box<str>,
        /// Tokens that were made before.
        tokens_kept: u32,
    },
    /// Another node took over the serving of the request.
    HandedOver {
        /// Node that served it before.
        from: NodeId,
        /// Node that serves it now.
        to: NodeId,
        /// Why.
        cause: Box<str>,
    },
    /// The second copy is kept elsewhere, or nowhere for now.
    ReplicaChanged {
        /// Node that keeps the second copy, if there is one.
        replica: Option<NodeId>,
        /// Why.
        cause: Box<str>,
    },
    /// The answer is whole.
    Completed {
        /// Prompt tokens charged.
        prompt_tokens: u32,
        /// Prompt tokens that the engine had cached.
        cached_tokens: u32,
        /// Answer tokens charged.
        completion_tokens: u32,
    },
    /// The request was refused or given up on.
    Refused {
        /// Why.
        cause: Box<str>,
        /// Whether it may have run.
        verdict: Verdict,
        /// Milliseconds after which it makes sense to ask again.
        retry_after_ms: u32,
    },
    /// A call of a plain service was taken up.
    CallAccepted {
        /// Node that took it up.
        node: NodeId,
        /// Customer who asked.
        customer: CustomerId,
        /// Service asked for.
        service: ServiceName,
    },
    /// A call was written to the ledger before it was sent.
    CallRecorded {
        /// Number of the ledger's shard.
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

/// One decision with the time of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// When it was decided.
    pub at: UnixMillis,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
}

impl RecordEntry {
    /// Returns the entry as one sentence for a reader without technical background.
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
