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

use crate::core::answer::{Applied, GivenUp};
use crate::core::dispatch::{Attachment, DispatchEvent, DispatchOrder};
use crate::core::estimate::{DEFAULT_ANSWER_TOKENS, work_tokens};
use crate::core::explain::Decision;
use crate::core::id::{AttemptNumber, RankLevel, TokenOffset};
use crate::core::request::AcceptedRequest;
use crate::core::routing::Observation;
use crate::core::verdict::Verdict;
use crate::node::NodeContext;
use crate::ops::choose_home::{HomeChoice, Target};
use crate::ops::home::Home;
use crate::ops::replicate::Replicator;
use crate::ops::requests::{Entry, Role};
use crate::util::time::{as_millis_u32, unix_now};

/// Time without an event from a home node after which the attempt is abandoned and another one
/// made.
const HOME_SILENCE: Duration = Duration::from_secs(2);
/// Timeout of sending a dispatch order to a home node.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Initial upper bound of the backoff between attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Retry delay sent to callers when no engine could start a request before its deadline.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(2);

/// Runs the requests that this node serves.
#[derive(Debug)]
pub struct Runner {
    cx: NodeContext,
    home: Arc<Home>,
    replicator: Arc<Replicator>,
    choice: Arc<HomeChoice>,
}

/// State carried over from one attempt of a request to the next.
#[derive(Debug, Default)]
struct Carried {
    attachment: Option<Attachment>,
    kv_blob: Option<Box<[u8]>>,
    may_have_run: bool,
    failures: u32,
}

/// Result of an attempt.
enum Outcome {
    /// This node has nothing more to do for the request.
    Done,
    /// The attempt failed or the request was moved; another attempt has to be made.
    Again { cause: Box<str> },
    /// The request is given up.
    GiveUp(GivenUp),
}

impl Runner {
    /// Creates a runner.
    pub fn new(
        cx: NodeContext,
        home: Arc<Home>,
        replicator: Arc<Replicator>,
        choice: Arc<HomeChoice>,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            home,
            replicator,
            choice,
        })
    }

    /// Spawns a task that runs a request.
    pub fn spawn(self: &Arc<Self>, entry: Arc<Entry>) {
        tokio::spawn(Arc::clone(self).run(entry));
    }

    async fn run(self: Arc<Self>, entry: Arc<Entry>) {
        let mut carried = Carried {
            attachment: entry.engine(),
            may_have_run: entry.engine().is_some(),
            ..Carried::default()
        };
        while entry.role() == Role::Serving && entry.is_open() {
            match self.attempt(&entry, &mut carried).await {
                Outcome::Done => return,
                Outcome::GiveUp(given_up) => {
                    self.give_up(&entry, given_up);
                    return;
                }
                Outcome::Again { cause } => {
                    entry.note(Decision::Moved {
                        cause,
                        tokens_kept: entry.token_count(),
                    });
                    metrics::counter!("jayhall_attempts_repeated_total").increment(1);
                    sleep(backoff(carried.failures)).await;
                    carried.failures += 1;
                }
            }
        }
    }

    fn give_up(&self, entry: &Entry, given_up: GivenUp) {
        entry.note(Decision::Refused {
            cause: given_up.cause.clone(),
            verdict: given_up.verdict,
            retry_after_ms: given_up.retry_after_ms,
        });
        entry.give_up(given_up);
        self.replicator.touch(entry);
    }

    async fn attempt(&self, entry: &Arc<Entry>, carried: &mut Carried) -> Outcome {
        let snapshot = entry.snapshot();
        let Some(time_left) = self.time_left(&snapshot.request, snapshot.tokens.is_empty()) else {
            return Outcome::GiveUp(GivenUp {
                cause: "no engine could start it before its deadline".into(),
                verdict: carried.verdict(),
                retry_after_ms: as_millis_u32(NO_ENGINE_RETRY),
            });
        };
        let Some(target) = self.target(&snapshot.request, time_left, carried) else {
            return Outcome::Again {
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
            attachment: carried.attachment.take(),
            kv_blob: carried.kv_blob.take(),
            deadline_ms: as_millis_u32(time_left),
        };
        let level = self.level(&order.request.rank);
        let cost = work_tokens(order.request.prompt_tokens, DEFAULT_ANSWER_TOKENS);
        let counted = self
            .choice
            .begin(&target, &order.request.model, level, cost);
        let begun = Instant::now();
        let before = entry.token_count();
        let outcome = self.follow(entry, order, &target, carried).await;
        self.choice.end(&counted);
        self.observe(&target, &outcome, entry, before, begun.elapsed());
        outcome
    }

    /// Updates the health of the engine from the result of an attempt.
    fn observe(
        &self,
        target: &Target,
        outcome: &Outcome,
        entry: &Entry,
        tokens_before: TokenOffset,
        took: Duration,
    ) {
        let observation = match outcome {
            Outcome::Done if entry.is_open() => return,
            Outcome::Done => {
                let made = entry.token_count().saturating_sub(tokens_before).max(1);
                Observation::Answered {
                    token_interval: took / made,
                }
            }
            Outcome::Again { .. } => Observation::Failed,
            Outcome::GiveUp(_) => return,
        };
        self.choice.observe(&target.engine, observation);
    }

    fn level(&self, rank: &str) -> RankLevel {
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

    fn target(
        &self,
        request: &AcceptedRequest,
        time_left: Duration,
        carried: &Carried,
    ) -> Option<Target> {
        let attached = carried.attachment.as_ref().and_then(|attachment| {
            let fleet = self.cx.board.fleet.read();
            let engine = fleet.get(&attachment.engine)?;
            let home = self.cx.board.homes.read().get(&engine.vm)?.clone();
            Some(Target {
                home,
                engine: engine.vm.clone(),
            })
        });
        attached.or_else(|| self.choice.choose(&self.cx.board, request, time_left))
    }

    async fn follow(
        &self,
        entry: &Arc<Entry>,
        order: DispatchOrder,
        target: &Target,
        carried: &mut Carried,
    ) -> Outcome {
        let attempt = order.attempt;
        let mut events = match self.open(target, order).await {
            Ok(events) => events,
            Err(outcome) => return outcome,
        };
        let mut changes = entry.watch();
        loop {
            let event = tokio::select! {
                event = timeout(HOME_SILENCE, events.next()) => event,
                () = left_serving(entry, &mut changes) => return Outcome::Done,
            };
            let Ok(Some(event)) = event else {
                self.forget(target);
                carried.attachment = entry.engine();
                carried.may_have_run = true;
                return Outcome::Again {
                    cause: format!("node {} fell silent", target.home).into(),
                };
            };
            if let Some(outcome) = self.take(entry, attempt, event, target, carried) {
                return outcome;
            }
        }
    }

    /// Applies one event. Returns the result of the attempt if the event ended it.
    fn take(
        &self,
        entry: &Arc<Entry>,
        attempt: AttemptNumber,
        event: DispatchEvent,
        target: &Target,
        carried: &mut Carried,
    ) -> Option<Outcome> {
        match event {
            DispatchEvent::Queued {
                position,
                expected_wait_ms,
            } => {
                if position > 0 && carried.failures == 0 {
                    note_queued(entry, target, position, expected_wait_ms);
                }
                None
            }
            DispatchEvent::Started {
                engine,
                engine_attempt,
                waited_ms,
            } => {
                carried.may_have_run = true;
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
                    carried.failures = 0;
                    if offset == 0 {
                        count::first_token(entry);
                    }
                    self.applied(entry, entry.apply_tokens(attempt, offset, tokens))
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
                self.applied(entry, entry.apply_end(attempt, total, completion));
                Some(Outcome::Done)
            }
            DispatchEvent::Refused {
                cause,
                verdict,
                retry_after_ms,
            } => {
                carried.may_have_run |= verdict != Verdict::NotRun;
                Some(Outcome::GiveUp(GivenUp {
                    cause,
                    verdict: carried.verdict(),
                    retry_after_ms,
                }))
            }
            DispatchEvent::Moved {
                cause,
                attachment,
                kv_blob,
                verdict,
            } => {
                carried.may_have_run |= verdict != Verdict::NotRun;
                carried.attachment = attachment;
                carried.kv_blob = kv_blob;
                if carried.attachment.is_none() {
                    entry.set_engine(None);
                }
                Some(Outcome::Again { cause })
            }
        }
    }

    fn applied(&self, entry: &Entry, applied: Applied) -> Option<Outcome> {
        match applied {
            Applied::Grown => {
                self.replicator.touch(entry);
                None
            }
            Applied::Unchanged => None,
            Applied::StaleAttempt => Some(Outcome::Done),
        }
    }

    async fn open(
        &self,
        target: &Target,
        order: DispatchOrder,
    ) -> Result<BoxStream<'static, DispatchEvent>, Outcome> {
        if target.home == self.cx.board.identity.node {
            return Ok(ReceiverStream::new(self.home.dispatch(order)).boxed());
        }
        let again = |cause: String| Outcome::Again {
            cause: cause.into(),
        };
        let members = self.cx.board.members.read();
        let Some(member) = members.get(&target.home) else {
            return Err(again(format!("node {} is gone", target.home)));
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
                self.cx.pool.forget(address);
                Err(again(format!("node {} took no order", target.home)))
            }
        }
    }

    /// Drops the connection to a home node that sent nothing in time, so that the next attempt
    /// opens a new one.
    fn forget(&self, target: &Target) {
        if let Some(member) = self.cx.board.members.read().get(&target.home) {
            self.cx.pool.forget(member.peer_address);
        }
    }
}

impl Carried {
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
async fn left_serving(entry: &Entry, changes: &mut tokio::sync::watch::Receiver<()>) {
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
