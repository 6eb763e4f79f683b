//! Runs one attempt on one engine.

use std::time::Duration;

use futures::StreamExt;
use tokio::time::{Instant, timeout};

use super::run::{Ended, Run};
use crate::core::dispatch::Attachment;
use crate::core::fleet::Backend;
use crate::core::id::RankLevel;
use crate::core::request::Completion;
use crate::core::verdict::Verdict;
use crate::sources::engine::{EngineAttempt, EngineClient, EngineError, EngineEvent, EngineStream};
use crate::util::time::unix_now;

/// Time without an event after which a stream is reopened over a new connection.
const SILENCE: Duration = Duration::from_secs(1);
/// Time without a new token, across all connections, after which the engine is given up.
const STALL: Duration = Duration::from_secs(15);
/// Time before a reclaim at which the remainder of an answer is moved to another engine.
const MOVE_MARGIN: Duration = Duration::from_secs(3);
/// Timeout of an export of the engine's KV cache.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of an attempt on an engine.
pub(super) enum Outcome {
    /// The run has ended and its readers were notified.
    Ended,
    /// The engine was busy and did not start the attempt; the run has to be queued again.
    Requeue { pause: Duration },
}

/// Why reading a stream stopped.
enum Read {
    Finished,
    EndedElsewhere,
    Broken,
    Silent,
}

/// Runs an attempt on an engine until it ends.
pub(super) async fn run_on_engine(
    engines: &EngineClient,
    run: &Run,
    engine: &Backend,
    attach: bool,
    priority: RankLevel,
) -> Outcome {
    if run.has_ended() {
        return Outcome::Ended;
    }
    let attachment = run.order.attachment.clone().filter(|_| attach);
    let engine_attempt = attachment.as_ref().map_or(run.attempt, |a| a.attempt);
    let opened = match &attachment {
        Some(attachment) => {
            let id = &run.order.request.id;
            engines
                .attach(engine.address, id, attachment, run.base)
                .await
        }
        None => start(engines, run, engine, priority).await,
    };
    let stream = match opened {
        Ok(stream) => stream,
        Err(EngineError::Busy { retry_after, .. }) => {
            return Outcome::Requeue { pause: retry_after };
        }
        Err(e) => {
            end_moved(run, &e.to_string(), e.verdict());
            return Outcome::Ended;
        }
    };
    run.begin_running(&engine.vm, engine_attempt);
    let attachment = Attachment {
        engine: engine.vm.clone(),
        attempt: engine_attempt,
    };
    read_to_end(engines, run, engine, &attachment, stream).await;
    Outcome::Ended
}

async fn start(
    engines: &EngineClient,
    run: &Run,
    engine: &Backend,
    priority: RankLevel,
) -> crate::sources::engine::Result<EngineStream> {
    let attempt = EngineAttempt {
        request: &run.order.request,
        attempt: run.attempt,
        priority,
        prior_tokens: &run.order.prior_tokens,
        kv_blob: run.order.kv_blob.as_deref(),
    };
    engines.start(engine.address, attempt).await
}

async fn read_to_end(
    engines: &EngineClient,
    run: &Run,
    engine: &Backend,
    attachment: &Attachment,
    mut stream: EngineStream,
) {
    let id = &run.order.request.id;
    let mut last_token = Instant::now();
    loop {
        let before = run.next_offset();
        let read = read_stream(run, &mut stream).await;
        if run.next_offset() > before {
            last_token = Instant::now();
        }
        if run.is_moving() {
            wait_for_end(run).await;
            return;
        }
        match read {
            Read::Finished => return,
            Read::EndedElsewhere => {
                cancel_unless_continued(engines, run, engine).await;
                return;
            }
            Read::Silent | Read::Broken if last_token.elapsed() >= STALL => {
                end_moved(
                    run,
                    "the engine made no token for too long",
                    Verdict::MayHaveRun,
                );
                let _ = engines.cancel(engine.address, id).await;
                return;
            }
            Read::Silent | Read::Broken => {}
        }
        let from = run.next_offset();
        match engines.attach(engine.address, id, attachment, from).await {
            Ok(attached) => stream = attached,
            Err(e) => {
                end_moved(run, &e.to_string(), e.verdict());
                return;
            }
        }
    }
}

async fn read_stream(run: &Run, stream: &mut EngineStream) -> Read {
    let mut state = run.state.subscribe();
    loop {
        let next = tokio::select! {
            next = timeout(SILENCE, stream.next()) => next,
            _ = state.wait_for(|state| state.ended.is_some()) => return Read::EndedElsewhere,
        };
        match next {
            Err(_) => return Read::Silent,
            Ok(None | Some(Err(_))) => return Read::Broken,
            Ok(Some(Ok(EngineEvent::Token { offset, text }))) => {
                if !run.take_token(offset, text) {
                    return Read::Broken;
                }
            }
            Ok(Some(Ok(EngineEvent::Finished(completion))))
                if run.next_offset() < completion.completion_tokens =>
            {
                return Read::Broken;
            }
            Ok(Some(Ok(EngineEvent::Finished(completion)))) => {
                run.end(Ended::Finished(without_prior(run, completion)));
                return Read::Finished;
            }
        }
    }
}

/// Waits until the task that moves the run off its engine has ended it.
async fn wait_for_end(run: &Run) {
    let mut state = run.state.subscribe();
    let _ = state.wait_for(|state| state.ended.is_some()).await;
}

/// Returns the completion with the prompt tokens to charge. An engine that continues an answer also
/// counts the tokens generated before as prompt, but the caller did not send them.
fn without_prior(run: &Run, completion: Completion) -> Completion {
    let prompt_tokens = completion.prompt_tokens.saturating_sub(run.base);
    Completion {
        prompt_tokens,
        cached_tokens: completion.cached_tokens.min(prompt_tokens),
        ..completion
    }
}

async fn cancel_unless_continued(engines: &EngineClient, run: &Run, engine: &Backend) {
    let continues = matches!(
        run.state.borrow().ended,
        Some(Ended::Moved {
            engine_continues: true,
            ..
        })
    );
    if !continues {
        let _ = engines.cancel(engine.address, &run.order.request.id).await;
    }
}

fn end_moved(run: &Run, cause: &str, verdict: Verdict) {
    run.end(Ended::Moved {
        cause: cause.into(),
        engine_continues: false,
        kv_blob: None,
        verdict,
    });
}

/// Returns whether the runs of an engine have to be moved now.
pub(super) fn must_move(engine: &Backend) -> bool {
    match engine.reclaim_at {
        Some(at) => unix_now() + u64::try_from(MOVE_MARGIN.as_millis()).unwrap_or(0) >= at,
        None => engine.is_leaving,
    }
}

/// Exports the KV cache of an attempt from an engine that is leaving and ends the run with `Moved`,
/// so that the remainder runs elsewhere.
pub(super) async fn move_off(engines: EngineClient, run: std::sync::Arc<Run>, engine: Backend) {
    let id = run.order.request.id.clone();
    let exported = timeout(EXPORT_TIMEOUT, engines.export_kv(engine.address, &id)).await;
    let kv_blob = match exported {
        Ok(Ok(exported)) => Some(exported.blob),
        _ => None,
    };
    run.end(Ended::Moved {
        cause: format!("the cloud takes back the engine {}", engine.vm).into(),
        engine_continues: false,
        kv_blob,
        verdict: Verdict::MayHaveRun,
    });
}
