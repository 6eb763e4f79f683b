//! Runs one attempt on one engine.

use std::time::Duration;

use futures::StreamExt;
use tokio::time::{Instant, timeout};

use super::run::{Run, RunEnd};
use crate::core::dispatch::Attachment;
use crate::core::fleet::Backend;
use crate::core::id::RankLevel;
use crate::core::request::Completion;
use crate::core::verdict::Verdict;
use crate::sources::engine::{EngineAttempt, EngineClient, EngineError, EngineEvent, EngineStream};
use crate::util::time::unix_now;

/// Time without an event after which a stream is reopened over a new connection.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a new token, across all connections, after which the engine is given up.
const TOKEN_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time before a reclaim at which the remainder of an answer is moved to another engine.
const RECLAIM_MOVE_MARGIN: Duration = Duration::from_secs(3);
/// Timeout of an export of the engine's KV cache.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of an attempt on an engine.
pub(super) enum EngineOutcome {
    /// The run has ended and its readers were notified.
    Done,
    /// The engine was busy and did not start the attempt; the run has to be queued again.
    Requeue { pause: Duration },
}

/// Why reading a stream stopped.
enum StreamEnd {
    Finished,
    RunEnded,
    Broken,
    IdleTimeout,
}

/// Runs an attempt on an engine until it ends.
pub(super) async fn run_on_engine(
    engines: &EngineClient,
    run: &Run,
    engine: &Backend,
    attach: bool,
    priority: RankLevel,
) -> EngineOutcome {
    if run.has_ended() {
        return EngineOutcome::Done;
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
            return EngineOutcome::Requeue { pause: retry_after };
        }
        Err(e) => {
            end_moved(run, &e.to_string(), e.verdict());
            return EngineOutcome::Done;
        }
    };
    run.begin_running(&engine.vm, engine_attempt);
    let attachment = Attachment {
        engine: engine.vm.clone(),
        attempt: engine_attempt,
    };
    read_to_end(engines, run, engine, &attachment, stream).await;
    EngineOutcome::Done
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
            wait_until_ended(run).await;
            return;
        }
        match read {
            StreamEnd::Finished => return,
            StreamEnd::RunEnded => {
                cancel_unless_engine_continues(engines, run, engine).await;
                return;
            }
            StreamEnd::IdleTimeout | StreamEnd::Broken
                if last_token.elapsed() >= TOKEN_STALL_TIMEOUT =>
            {
                end_moved(
                    run,
                    "the engine made no token for too long",
                    Verdict::MayHaveRun,
                );
                let _ = engines.cancel(engine.address, id).await;
                return;
            }
            StreamEnd::IdleTimeout | StreamEnd::Broken => {}
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

async fn read_stream(run: &Run, stream: &mut EngineStream) -> StreamEnd {
    let mut state = run.state.subscribe();
    loop {
        let next = tokio::select! {
            next = timeout(STREAM_IDLE_TIMEOUT, stream.next()) => next,
            _ = state.wait_for(|state| state.ended.is_some()) => return StreamEnd::RunEnded,
        };
        match next {
            Err(_) => return StreamEnd::IdleTimeout,
            Ok(None | Some(Err(_))) => return StreamEnd::Broken,
            Ok(Some(Ok(EngineEvent::Token { offset, text }))) => {
                if !run.add_token(offset, text) {
                    return StreamEnd::Broken;
                }
            }
            Ok(Some(Ok(EngineEvent::Finished(completion))))
                if run.next_offset() < completion.completion_tokens =>
            {
                return StreamEnd::Broken;
            }
            Ok(Some(Ok(EngineEvent::Finished(completion)))) => {
                run.end(RunEnd::Finished(without_prior_tokens(run, completion)));
                return StreamEnd::Finished;
            }
        }
    }
}

/// Waits until the task that moves the run off its engine has ended it.
async fn wait_until_ended(run: &Run) {
    let mut state = run.state.subscribe();
    let _ = state.wait_for(|state| state.ended.is_some()).await;
}

/// Returns the completion with the prompt tokens to charge. An engine that continues an answer also
/// counts the tokens generated before as prompt, but the caller did not send them.
fn without_prior_tokens(run: &Run, completion: Completion) -> Completion {
    let prompt_tokens = completion.prompt_tokens.saturating_sub(run.base);
    Completion {
        prompt_tokens,
        cached_tokens: completion.cached_tokens.min(prompt_tokens),
        ..completion
    }
}

async fn cancel_unless_engine_continues(engines: &EngineClient, run: &Run, engine: &Backend) {
    let continues = matches!(
        run.state.borrow().ended,
        Some(RunEnd::Moved {
            engine_continues: true,
            ..
        })
    );
    if !continues {
        let _ = engines.cancel(engine.address, &run.order.request.id).await;
    }
}

fn end_moved(run: &Run, cause: &str, verdict: Verdict) {
    run.end(RunEnd::Moved {
        cause: cause.into(),
        engine_continues: false,
        kv_blob: None,
        verdict,
    });
}

/// Returns whether the runs of an engine have to be moved now.
pub(super) fn is_move_due(engine: &Backend) -> bool {
    match engine.reclaim_at {
        Some(at) => unix_now() + u64::try_from(RECLAIM_MOVE_MARGIN.as_millis()).unwrap_or(0) >= at,
        None => engine.is_leaving,
    }
}

/// Exports the KV cache of an attempt from an engine that is leaving and ends the run with `Moved`,
/// so that the remainder runs elsewhere.
pub(super) async fn move_run_off_engine(
    engines: EngineClient,
    run: std::sync::Arc<Run>,
    engine: Backend,
) {
    let id = run.order.request.id.clone();
    let exported = timeout(EXPORT_TIMEOUT, engines.export_kv(engine.address, &id)).await;
    let kv_blob = match exported {
        Ok(Ok(exported)) => Some(exported.blob),
        _ => None,
    };
    run.end(RunEnd::Moved {
        cause: format!("the cloud takes back the engine {}", engine.vm).into(),
        engine_continues: false,
        kv_blob,
        verdict: Verdict::MayHaveRun,
    });
}
