//! The task that drives one shard of the ledger.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::persist::{self, StoreAnswer};
use super::refusal::to_call_refusal;
use super::waiters::{Expired, Waiter, Waiters};
use super::{COMMIT_INTERVAL, IncomingCall, LedgerContext};
use crate::core::id::{AttemptNumber, NodeId};
use crate::core::ledger::{
    Arrival, CommitResult, EntryKey, NextStoreCall, Outcome, Refusal, Settlement, Shard,
    ShardIndex, Step, StoreCallKind,
};
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::verdict::Verdict;

/// Interval between retries while the store fails.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest sleep of the task when nothing is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Retry delay sent to callers whose call is still in progress.
const IN_PROGRESS_RETRY_DELAY: Duration = Duration::from_millis(500);

struct FinishedAttempt {
    key: EntryKey,
    attempt: AttemptNumber,
    settlement: Settlement,
}

/// Drives one shard's state machine.
pub(super) struct ShardTask {
    index: ShardIndex,
    cx: LedgerContext,
    rx: mpsc::Receiver<IncomingCall>,
    shard: Shard,
    waiters: Waiters,
    running: FuturesUnordered<BoxFuture<'static, FinishedAttempt>>,
    store_call: Option<BoxFuture<'static, StoreAnswer>>,
    next_load: Instant,
    next_commit: Instant,
    /// When to retry the store; set while the store fails.
    retry_store_at: Option<Instant>,
    unsettled: Arc<AtomicUsize>,
    reported_unsettled: usize,
}

impl ShardTask {
    pub(super) fn new(
        index: ShardIndex,
        writer: NodeId,
        cx: LedgerContext,
        rx: mpsc::Receiver<IncomingCall>,
        unsettled: Arc<AtomicUsize>,
    ) -> Self {
        let now = Instant::now();
        Self {
            index,
            cx,
            rx,
            shard: Shard::new(writer),
            waiters: Waiters::default(),
            running: FuturesUnordered::new(),
            store_call: None,
            next_load: now,
            next_commit: now,
            retry_store_at: None,
            unsettled,
            reported_unsettled: 0,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            self.begin_store_call();
            self.update_unsettled();
            let wake = self.wake_at();
            tokio::select! {
                biased;
                answer = poll_store_call(&mut self.store_call) => self.handle_store_answer(answer),
                Some(finished) = self.running.next() => self.finish_attempt(finished),
                incoming = self.rx.recv() => match incoming {
                    Some(incoming) => self.handle_call(incoming),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => {}
            }
            self.expire(Instant::now());
        }
    }

    fn retention(&self) -> Duration {
        self.cx.board.config.read().document.rules.ledger_retention
    }

    fn handle_call(&mut self, incoming: IncomingCall) {
        let key = incoming.call.entry_key();
        let digest = incoming.call.digest();
        let now = (self.cx.clock)();
        match self.shard.arrive(now, self.retention(), &key, digest) {
            Arrival::Replay(outcome) => incoming.waiter.answer(replay(outcome)),
            Arrival::Refused(refusal) => self.refuse(&key, &refusal, incoming.waiter),
            Arrival::Queued if self.is_store_down() => {
                self.shard.cancel(&key);
                self.refuse(&key, &Refusal::StoreDown, incoming.waiter);
            }
            Arrival::Queued | Arrival::Joined => {
                metrics::counter!("jayhall_ledger_calls_total").increment(1);
                self.waiters.add(key, incoming.call, incoming.waiter);
            }
        }
    }

    /// Returns whether the store is failing and either the retry time has not come or a retry is in
    /// flight.
    fn is_store_down(&self) -> bool {
        let is_too_early = |until: Instant| Instant::now() < until;
        self.retry_store_at
            .is_some_and(|until| is_too_early(until) || self.store_call.is_some())
    }

    fn refuse(&self, key: &EntryKey, refusal: &Refusal, waiter: Waiter) {
        waiter.answer(self.refusal(key, refusal));
    }

    fn refusal(&self, key: &EntryKey, refusal: &Refusal) -> CallReply {
        let refusal = to_call_refusal(key, refusal, &self.cx.board.members.read());
        metrics::counter!("jayhall_ledger_refusals_total", "cause" => refusal.cause.as_str())
            .increment(1);
        CallReply::Refused(refusal)
    }

    fn begin_store_call(&mut self) {
        let Some(due) = self.store_call_due() else {
            return;
        };
        let now = Instant::now();
        if due > now {
            return;
        }
        let index = self.index;
        let store = self.cx.store.clone();
        match self.shard.next((self.cx.clock)(), self.retention()) {
            NextStoreCall::Idle | NextStoreCall::Wait => self.next_commit = now + COMMIT_INTERVAL,
            NextStoreCall::Load(epochs) => {
                self.next_load = now + COMMIT_INTERVAL;
                let load = async move { persist::load(&*store, index, epochs).await };
                self.store_call = Some(Box::pin(load));
            }
            NextStoreCall::Commit(commit) => {
                self.next_commit = now + COMMIT_INTERVAL;
                metrics::counter!("jayhall_ledger_writes_total").increment(1);
                let commit = async move { persist::commit(&*store, index, commit).await };
                self.store_call = Some(Box::pin(commit));
            }
        }
    }

    /// Returns when the next store call may be made, if one is needed.
    fn store_call_due(&self) -> Option<Instant> {
        let due = match self.shard.next_call_kind() {
            StoreCallKind::Nothing => return None,
            StoreCallKind::Load => self.next_load,
            StoreCallKind::Commit => self.next_commit,
        };
        Some(self.retry_store_at.map_or(due, |until| until.max(due)))
    }

    fn wake_at(&self) -> Instant {
        let idle = Instant::now() + MAX_SLEEP;
        let deadline = self.waiters.next_deadline().unwrap_or(idle);
        let due = self.store_call_due().unwrap_or(idle);
        deadline.min(due).min(idle)
    }

    fn handle_store_answer(&mut self, answer: StoreAnswer) {
        self.store_call = None;
        let now = (self.cx.clock)();
        let steps = match answer {
            StoreAnswer::Loaded(snapshot) => {
                self.store_answered();
                self.shard.handle_load(now, snapshot)
            }
            StoreAnswer::LoadFailed(e) => {
                self.store_failed(&e.to_string());
                self.shard.handle_load_failure()
            }
            StoreAnswer::Committed(result) => {
                match result {
                    CommitResult::Applied(_) | CommitResult::Conflict => self.store_answered(),
                    CommitResult::NotApplied => self.store_failed("a write was not taken"),
                    CommitResult::Unknown => self.next_load = Instant::now(),
                }
                self.shard.handle_commit(now, result)
            }
        };
        for step in steps {
            self.apply_step(step);
        }
    }

    fn store_answered(&mut self) {
        if self.retry_store_at.take().is_some() {
            tracing::info!(shard = self.index, "the store of the ledger has recovered");
        }
    }

    fn store_failed(&mut self, cause: &str) {
        if self.retry_store_at.is_none() {
            tracing::warn!(shard = self.index, cause, "the store of the ledger fails");
        }
        self.retry_store_at = Some(Instant::now() + STORE_RETRY_INTERVAL);
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Dispatch(key, attempt) => self.dispatch(key, attempt),
            Step::Replay(key, outcome) => self.waiters.answer(&key, replay(outcome)),
            Step::Refuse(key, refusal) => {
                let reply = self.refusal(&key, &refusal);
                self.waiters.answer(&key, reply);
            }
        }
    }

    /// Dispatches a call. If all requests for it have expired, settles it as not run instead.
    fn dispatch(&mut self, key: EntryKey, attempt: AttemptNumber) {
        let pending = self.waiters.get(&key);
        let pending = pending.and_then(|p| Some((p.call.clone(), p.deadline()?)));
        match pending {
            Some((call, deadline)) if deadline > Instant::now() => {
                self.spawn_dispatch(key, attempt, call, deadline);
            }
            _ => self.finish_attempt(FinishedAttempt {
                key,
                attempt,
                settlement: Settlement::NotRun,
            }),
        }
    }

    fn spawn_dispatch(
        &self,
        key: EntryKey,
        attempt: AttemptNumber,
        call: Arc<ServiceCall>,
        deadline: Instant,
    ) {
        let settlement = self.cx.dispatch.dispatch(call, deadline);
        self.running.push(Box::pin(async move {
            FinishedAttempt {
                key,
                attempt,
                settlement: settlement.await,
            }
        }));
    }

    /// Replies to callers without waiting for the store; the outcome is stored with the next write.
    fn finish_attempt(&mut self, finished: FinishedAttempt) {
        let reply = match &finished.settlement {
            Settlement::Answered(outcome) => CallReply::Answered {
                outcome: outcome.clone(),
                is_replay: false,
            },
            Settlement::NotRun => self.refusal(&finished.key, &Refusal::NotDispatched),
            Settlement::MayHaveRun => self.refusal(&finished.key, &Refusal::AnswerLost),
        };
        self.shard
            .finish(&finished.key, finished.attempt, finished.settlement);
        self.waiters.answer(&finished.key, reply);
    }

    fn expire(&mut self, now: Instant) {
        for expired in self.waiters.take_expired(now) {
            let reply = self.reply_to_expired(&expired);
            for waiter in expired.waiters {
                waiter.answer(reply.clone());
            }
        }
    }

    /// Returns the reply to expired requests. If no other request waits for the call, withdraws the call
    /// from the shard where possible; otherwise the call may still run.
    fn reply_to_expired(&mut self, expired: &Expired) -> CallReply {
        if !expired.has_other_waiters && self.shard.cancel(&expired.key) {
            return self.refusal(&expired.key, &Refusal::StoreDown);
        }
        CallReply::Refused(CallRefusal {
            verdict: Verdict::MayHaveRun,
            cause: RefusalCause::InProgress,
            retry_after: Some(IN_PROGRESS_RETRY_DELAY),
        })
    }

    fn update_unsettled(&mut self) {
        let running = self.shard.running();
        self.unsettled.fetch_add(running, Ordering::Relaxed);
        self.unsettled
            .fetch_sub(self.reported_unsettled, Ordering::Relaxed);
        self.reported_unsettled = running;
    }
}

fn replay(outcome: Outcome) -> CallReply {
    CallReply::Answered {
        outcome,
        is_replay: true,
    }
}

async fn poll_store_call(call: &mut Option<BoxFuture<'static, StoreAnswer>>) -> StoreAnswer {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
