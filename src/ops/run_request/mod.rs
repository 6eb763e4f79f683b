//! Runs the requests that this node serves: makes attempts until each answer is complete or given
//! up.

mod count;

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::BoxStream;
use rand::RngExt;
use tokio::time::{Instant, sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

use crate::core::answer::{ApplyResult, Failure};
use crate::core::dispatch::{Attachment, DispatchEvent, DispatchOrder};
use crate::core::estimate::{DEFAULT_ANSWER_TOKENS, work_tokens};
use crate::core::explain::Decision;
use crate::core::id::{AttemptNumber, RankLevel, TokenOffset};
use crate::core::request::AcceptedRequest;
use crate::core::routing::Observation;
use crate::core::verdict::Verdict;
use crate::node::NodeContext;
use crate::ops::choose_home::{EngineSelector, Target};
use crate::ops::home::Home;
use crate::ops::replicate::Replicator;
use crate::ops::requests::{Entry, Role};
use crate::util::time::{as_millis_u32, unix_now};

/// Time without an event from a home node after which the attempt is abandoned and another one
/// made.
const HOME_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of sending a dispatch order to a home node.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Initial upper bound of the backoff between attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Retry delay sent to callers when no engine could start a request before its deadline.
const NO_ENGINE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Runs the requests that this node serves.
#[derive(Debug)]
pub struct Runner {
    cx: NodeContext,
    home: Arc<Home>,
    replicator: Arc<Replicator>,
    engine_selector: Arc<EngineSelector>,
}

/// State carried over from one attempt of a request to the next.
#[derive(Debug, Default)]
struct RetryState {
    attachment: Option<Attachment>,
    kv_blob: Option<Box<[u8]>>,
    may_have_run: bool,
    failures: u32,
}

/// Result of an attempt.
enum AttemptResult {
    /// This node has nothing more to do for the request.
    Done,
    /// The attempt failed or the request was moved; another attempt has to be made.
    Retry { cause: Box<str> },
    /// The request is given up.
    GiveUp(Failure),
}

impl Runner {
    /// Creates a runner.
    pub fn new(
        cx: NodeContext,
        home: Arc<Home>,
        replicator: Arc<Replicator>,
        engine_selector: Arc<EngineSelector>,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            home,
            replicator,
            engine_selector,
        })
    }

    /// Spawns a task that runs a request.
    pub fn spawn(self: &Arc<Self>, entry: Arc<Entry>) {
        tokio::spawn(Arc::clone(self).run(entry));
    }

    async fn run(self: Arc<Self>, entry: Arc<Entry>) {
        let mut retry_state = RetryState {
            attachment: entry.engine(),
            may_have_run: entry.engine().is_some(),
            ..RetryState::default()
        };
        while entry.role() == Role::Serving && entry.is_open() {
            match self.attempt(&entry, &mut retry_state).await {
                AttemptResult::Done => return,
                AttemptResult::GiveUp(failure) => {
                    self.fail(&entry, failure);
                    return;
                }
                AttemptResult::Retry { cause } => {
                    entry.note(Decision::Moved {
                        cause,
                        tokens_kept: entry.token_count(),
                    });
                    metrics::counter!("jayhall_attempts_repeated_total").increment(1);
                    sleep(backoff(retry_state.failures)).await;
                    retry_state.failures += 1;
                }
            }
        }
    }

    fn fail(&self, entry: &Entry, failure: Failure) {
        entry.note(Decision::Refused {
            cause: failure.cause.clone(),
            verdict: failure.verdict,
            retry_after_ms: failure.retry_after_ms,
        });
        entry.fail(failure);
        self.replicator.schedule_update(entry);
    }

    async fn attempt(&self, entry: &Arc<Entry>, retry_state: &mut RetryState) -> AttemptResult {
        let snapshot = entry.snapshot();
        let Some(time_left) = self.time_left(&snapshot.request, snapshot.tokens.is_empty()) else {
            return AttemptResult::GiveUp(Failure {
                cause: "no engine could start it before its deadline".into(),
                verdict: retry_state.verdict(),
                retry_after_ms: as_millis_u32(NO_ENGINE_RETRY_DELAY),
            });
        };
        let Some(target) = self.select_target(&snapshot.request, time_left, retry_state) else {
            return AttemptResult::Retry {
                cause: "no engine serves the model at present".into(),
            };
        };
        let attempt = entry.begin_attempt();
        let order = DispatchOrder {
            attempt,
            from: self.cx.board.identity.node.clone(),
            prior_tokens: snapshot.tokens,
            request: snapshot.request,
            preferred_engine: Some(target.engine.clone()),
            attachment: retry_state.attachment.take(),
            kv_blob: retry_state.kv_blob.take(),
            deadline_ms: as_millis_u32(time_left),
        };
        let level = self.rank_level(&order.request.rank);
        let cost = work_tokens(order.request.prompt_tokens, DEFAULT_ANSWER_TOKENS);
        let in_flight =
            self.engine_selector
                .attempt_sent(&target, &order.request.model, level, cost);
        let begun = Instant::now();
        let before = entry.token_count();
        let outcome = self
            .dispatch_and_follow(entry, order, &target, retry_state)
            .await;
        self.engine_selector.attempt_ended(&in_flight);
        self.record_health(&target, &outcome, entry, before, begun.elapsed());
        outcome
    }

    /// Updates the health of the engine from the result of an attempt.
    fn record_health(
        &self,
        target: &Target,
        outcome: &AttemptResult,
        entry: &Entry,
        tokens_before: TokenOffset,
        took: Duration,
    ) {
        let observation = match outcome {
            AttemptResult::Done if entry.is_open() => return,
            AttemptResult::Done => {
                let made = entry.token_count().saturating_sub(tokens_before).max(1);
                Observation::Answered {
                    token_interval: took / made,
                }
            }
            AttemptResult::Retry { .. } => Observation::Failed,
            AttemptResult::GiveUp(_) => return,
        };
        self.engine_selector.observe(&target.engine, observation);
    }

    fn rank_level(&self, rank: &str) -> RankLevel {
        let config = self.cx.board.config.read();
        config.document.rank(rank).map_or(0, |rule| rule.level)
    }

    /// Returns the time left until the deadline for the first token. Returns `None` where the
    /// deadline has passed without a token, and zero where it has passed after one.
    fn time_left(&self, request: &AcceptedRequest, has_no_token: bool) -> Option<Duration> {
        let config = self.cx.board.config.read();
        let deadline = config
            .document
            .rank(&request.rank)
            .map_or(MAX_BACKOFF, |rule| rule.deadline);
        let waited = Duration::from_millis(unix_now().saturating_sub(request.accepted_at));
        match deadline.checked_sub(waited) {
            Some(left) if !left.is_zero() => Some(left),
            _ if has_no_token => None,
            _ => Some(Duration::ZERO),
        }
    }

    fn select_target(
        &self,
        request: &AcceptedRequest,
        time_left: Duration,
        retry_state: &RetryState,
    ) -> Option<Target> {
        let attached_target = retry_state.attachment.as_ref().and_then(|attachment| {
            let fleet = self.cx.board.fleet.read();
            let engine = fleet.get(&attachment.engine)?;
            let home = self.cx.board.homes.read().get(&engine.vm)?.clone();
            Some(Target {
                home,
                engine: engine.vm.clone(),
            })
        });
        attached_target.or_else(|| {
            self.engine_selector
                .select(&self.cx.board, request, time_left)
        })
    }

    async fn dispatch_and_follow(
        &self,
        entry: &Arc<Entry>,
        order: DispatchOrder,
        target: &Target,
        retry_state: &mut RetryState,
    ) -> AttemptResult {
        let attempt = order.attempt;
        let mut events = match self.send_order(target, order).await {
            Ok(events) => events,
            Err(outcome) => return outcome,
        };
        let mut changes = entry.watch();
        loop {
            let event = tokio::select! {
                event = timeout(HOME_IDLE_TIMEOUT, events.next()) => event,
                () = wait_until_not_serving(entry, &mut changes) => return AttemptResult::Done,
            };
            let Ok(Some(event)) = event else {
                self.drop_connection(target);
                retry_state.attachment = entry.engine();
                retry_state.may_have_run = true;
                return AttemptResult::Retry {
                    cause: format!("node {} fell silent", target.home).into(),
                };
            };
            if let Some(outcome) = self.apply_event(entry, attempt, event, target, retry_state) {
                return outcome;
            }
        }
    }

    /// Applies one event. Returns the result of the attempt if the event ended it.
    fn apply_event(
        &self,
        entry: &Arc<Entry>,
        attempt: AttemptNumber,
        event: DispatchEvent,
        target: &Target,
        retry_state: &mut RetryState,
    ) -> Option<AttemptResult> {
        match event {
            DispatchEvent::Queued {
                position,
                expected_wait_ms,
            } => {
                if position > 0 && retry_state.failures == 0 {
                    note_queued(entry, target, position, expected_wait_ms);
                }
                None
            }
            DispatchEvent::Started {
                engine,
                engine_attempt,
                waited_ms,
            } => {
                retry_state.may_have_run = true;
                entry.set_engine(Some(Attachment {
                    engine: engine.clone(),
                    attempt: engine_attempt,
                }));
                entry.note(Decision::Started {
                    engine,
                    attempt,
                    waited_ms,
                });
                None
            }
            DispatchEvent::Tokens { offset, tokens } => {
                if !tokens.is_empty() {
                    retry_state.failures = 0;
                    if offset == 0 {
                        count::first_token(entry);
                    }
                    self.replicate_if_grown(entry, entry.apply_tokens(attempt, offset, tokens))
                } else {
                    None
                }
            }
            DispatchEvent::Finished { total, completion } => {
                count::tokens(entry, &completion, total);
                entry.note(Decision::Completed {
                    prompt_tokens: completion.prompt_tokens,
                    cached_tokens: completion.cached_tokens,
                    completion_tokens: total,
                });
                self.replicate_if_grown(entry, entry.apply_end(attempt, total, completion));
                Some(AttemptResult::Done)
            }
            DispatchEvent::Refused {
                cause,
                verdict,
                retry_after_ms,
            } => {
                retry_state.may_have_run |= verdict != Verdict::NotRun;
                Some(AttemptResult::GiveUp(Failure {
                    cause,
                    verdict: retry_state.verdict(),
                    retry_after_ms,
                }))
            }
            DispatchEvent::Moved {
                cause,
                attachment,
                kv_blob,
                verdict,
            } => {
                retry_state.may_have_run |= verdict != Verdict::NotRun;
                retry_state.attachment = attachment;
                retry_state.kv_blob = kv_blob;
                if retry_state.attachment.is_none() {
                    entry.set_engine(None);
                }
                Some(AttemptResult::Retry { cause })
            }
        }
    }

    fn replicate_if_grown(&self, entry: &Entry, applied: ApplyResult) -> Option<AttemptResult> {
        match applied {
            ApplyResult::Grown => {
                self.replicator.schedule_update(entry);
                None
            }
            ApplyResult::Unchanged => None,
            ApplyResult::StaleAttempt => Some(AttemptResult::Done),
        }
    }

    async fn send_order(
        &self,
        target: &Target,
        order: DispatchOrder,
    ) -> Result<BoxStream<'static, DispatchEvent>, AttemptResult> {
        if target.home == self.cx.board.identity.node {
            return Ok(ReceiverStream::new(self.home.dispatch(order)).boxed());
        }
        let retry = |cause: String| AttemptResult::Retry {
            cause: cause.into(),
        };
        let members = self.cx.board.members.read();
        let Some(member) = members.get(&target.home) else {
            return Err(retry(format!("node {} is gone", target.home)));
        };
        let address = member.peer_address;
        let mut client = self.cx.pool.client(address);
        let opened = timeout(ORDER_TIMEOUT, client.dispatch(wire_order(&order))).await;
        match opened {
            Ok(Ok(res)) => Ok(res
                .into_inner()
                .take_while(|event| futures::future::ready(event.is_ok()))
                .filter_map(|event| async { DispatchEvent::try_from(event.ok()?).ok() })
                .boxed()),
            Ok(Err(_)) | Err(_) => {
                self.cx.pool.disconnect(address);
                Err(retry(format!("node {} took no order", target.home)))
            }
        }
    }

    /// Drops the connection to a home node that sent nothing in time, so that the next attempt
    /// opens a new one.
    fn drop_connection(&self, target: &Target) {
        if let Some(member) = self.cx.board.members.read().get(&target.home) {
            self.cx.pool.disconnect(member.peer_address);
        }
    }
}

impl RetryState {
    fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

fn wire_order(order: &DispatchOrder) -> jayhall_wire::DispatchRequest {
    order.into()
}

fn note_queued(entry: &Entry, target: &Target, position: u32, expected_wait_ms: u32) {
    let is_noted = entry
        .record()
        .entries
        .iter()
        .any(|known| matches!(known.decision, Decision::Queued { .. }));
    if !is_noted {
        entry.note(Decision::Queued {
            home: target.home.clone(),
            position,
            expected_wait_ms,
        });
    }
}

/// Waits until this node no longer serves the request.
async fn wait_until_not_serving(entry: &Entry, changes: &mut tokio::sync::watch::Receiver<()>) {
    while entry.role() == Role::Serving {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn backoff(failures: u32) -> Duration {
    let longest = MIN_BACKOFF
        .saturating_mul(1 << failures.min(10))
        .min(MAX_BACKOFF);
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}
