//! Request queues of a home node: one queue per model, served by the engines whose home is this
//! node.
//!
//! Each engine has one home node, the only node that dispatches to it. Engines report their load
//! late, so several dispatchers would overload them. While views of the membership differ, two
//! nodes may both act as the home of an engine; the engine then rejects requests beyond its slots
//! and the home retries after a pause, which costs latency but breaks nothing.

mod assigned_engines;
mod drive;
mod queue;
mod run;
mod subscribe;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::core::dispatch::{Attachment, DispatchEvent, DispatchOrder};
use crate::core::document::Document;
use crate::core::fleet::Backend;
use crate::core::id::{ModelName, RankLevel, RequestId, VmId};
use crate::core::queue::WaitingTokens;
use crate::core::verdict::Verdict;
use crate::node::{NodeContext, Phase};

use assigned_engines::AssignedEngines;
use queue::ModelQueue;
pub use queue::RankWaiting;
use run::{Run, RunEnd};

/// Time after which a run without a reader is cancelled and dropped.
pub(crate) const UNREAD_RUN_TTL: Duration = Duration::from_secs(10);
/// Interval of the check for passed deadlines and leaving engines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the event channel to one reader.
const EVENT_BUFFER: usize = 64;

/// Stream of the events of one attempt.
pub type DispatchEvents = mpsc::Receiver<DispatchEvent>;

/// Queues and runs of the engines whose home is this node.
#[derive(Debug)]
pub struct Home {
    cx: NodeContext,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queues: HashMap<ModelName, ModelQueue>,
    runs: HashMap<RequestId, Arc<Run>>,
    engines: HashMap<VmId, EngineUse>,
}

/// Use of one engine by this home.
#[derive(Clone, Copy, Debug, Default)]
struct EngineUse {
    running: u32,
    /// While set and in the future, no new request is sent to the engine, because it was full or
    /// unreachable.
    paused_until: Option<Instant>,
}

/// Load of one model at this home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Requests that the model's engines can run at once.
    pub slots: u32,
    /// Requests that are running on the model's engines.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Queued requests by rank.
    pub waiting_by_rank: Vec<RankWaiting>,
    /// Estimated tokens of queued requests by rank level.
    pub waiting_tokens: WaitingTokens,
    /// Throughput of all slots in tokens per second; 0 before the first observation.
    pub tokens_per_second: u32,
}

impl Home {
    /// Creates the home and starts its periodic checks.
    pub fn spawn(cx: NodeContext) -> Arc<Self> {
        let home = Arc::new(Self {
            cx,
            state: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&home).sweep());
        home
    }

    /// Accepts a dispatch order and returns the events of its attempt. The last event ends the
    /// attempt.
    pub fn dispatch(self: &Arc<Self>, order: DispatchOrder) -> DispatchEvents {
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        let offset = u32::try_from(order.prior_tokens.len()).unwrap_or(u32::MAX);
        match self.accept_order(order) {
            Ok(run) => subscribe::spawn(run, offset, tx),
            Err(refusal) => {
                let _ = tx.try_send(refusal);
            }
        }
        rx
    }

    /// Cancels a request's run if it belongs to `attempt` or an earlier one. Returns whether there
    /// was such a run.
    pub fn cancel(&self, request: &str, attempt: u32) -> bool {
        let run = self.state.lock().runs.get(request).cloned();
        match run {
            Some(run) if run.attempt <= attempt => {
                run.cancel();
                true
            }
            _ => false,
        }
    }

    /// Returns the load of each model.
    pub fn loads(&self) -> Vec<(ModelName, ModelLoad)> {
        let assigned = AssignedEngines::of(&self.cx.board);
        let state = self.state.lock();
        assigned
            .models()
            .into_iter()
            .map(|model| {
                let load = state.load_of(&assigned, &model);
                (model, load)
            })
            .collect()
    }

    /// Ends all runs with `Moved` because this node is leaving; serving nodes then dispatch them
    /// elsewhere.
    pub fn leave(&self) {
        let runs: Vec<_> = self.state.lock().runs.values().cloned().collect();
        for run in runs {
            run.end(RunEnd::Moved {
                cause: "the node that kept its queue is leaving".into(),
                engine_continues: true,
                kv_blob: None,
                verdict: Verdict::NotRun,
            });
        }
    }

    fn accept_order(self: &Arc<Self>, order: DispatchOrder) -> Result<Arc<Run>, DispatchEvent> {
        if *self.cx.board.phase.read() >= Phase::Leaving {
            let cause = "the node that would keep its queue is leaving";
            return Err(moved_event(cause, order.attachment));
        }
        let existing = self.state.lock().runs.get(&order.request.id).cloned();
        if let Some(run) = existing {
            if run.attempt > order.attempt {
                return Err(moved_event("a later attempt has begun", order.attachment));
            }
            if run.can_continue(&order) {
                return Ok(run);
            }
            run.cancel();
        }
        let assigned = AssignedEngines::of(&self.cx.board);
        let attached = order
            .attachment
            .as_ref()
            .and_then(|attachment| self.cx.board.fleet.read().get(&attachment.engine).cloned());
        if attached.is_none() && !assigned.has_engines(&order.request.model) {
            return Err(moved_event("this node has no engine for the model", None));
        }
        let run = Arc::new(Run::new(order));
        let mut state = self.state.lock();
        state
            .runs
            .insert(run.order.request.id.clone(), Arc::clone(&run));
        match attached {
            Some(engine) => self.start_on_engine(&mut state, Arc::clone(&run), engine, true),
            None => {
                let model = run.order.request.model.clone();
                self.enqueue(&mut state, Arc::clone(&run));
                self.dispatch_queued(&mut state, &assigned, &model);
            }
        }
        Ok(run)
    }

    /// Adds a request to the queue of its model.
    fn enqueue(&self, state: &mut State, run: Arc<Run>) {
        let config = self.cx.board.config.read();
        state
            .queues
            .entry(run.order.request.model.clone())
            .or_insert_with(ModelQueue::new)
            .push(run, &config.document);
    }

    /// Dispatches queued requests of a model while engines have free slots.
    fn dispatch_queued(
        self: &Arc<Self>,
        state: &mut State,
        assigned: &AssignedEngines,
        model: &str,
    ) {
        let now = Instant::now();
        while let Some(engine) = state.free_engine(assigned, model, now) {
            let popped = state.queues.get_mut(model).and_then(ModelQueue::pop);
            let Some((run, preferred)) = popped else {
                return;
            };
            let preferred = preferred.and_then(|vm| state.preferred(assigned, model, &vm, now));
            self.start_on_engine(state, run, preferred.unwrap_or(engine), false);
        }
    }

    fn start_on_engine(
        self: &Arc<Self>,
        state: &mut State,
        run: Arc<Run>,
        engine: Backend,
        attach: bool,
    ) {
        state.engines.entry(engine.vm.clone()).or_default().running += 1;
        tokio::spawn(Arc::clone(self).run_attempt(run, engine, attach));
    }

    async fn run_attempt(self: Arc<Self>, run: Arc<Run>, engine: Backend, attach: bool) {
        let begun = Instant::now();
        let priority = self.rank_level(&run.order.request.rank);
        let outcome = drive::run_on_engine(&self.cx.engines, &run, &engine, attach, priority).await;
        let assigned = AssignedEngines::of(&self.cx.board);
        let mut state = self.state.lock();
        let engine_use = state.engines.entry(engine.vm.clone()).or_default();
        engine_use.running = engine_use.running.saturating_sub(1);
        let pause = match outcome {
            drive::EngineOutcome::Done => None,
            drive::EngineOutcome::Requeue { pause } => Some(pause),
        };
        engine_use.paused_until = pause.map(|pause| Instant::now() + pause);
        let model = &run.order.request.model;
        if let Some(queue) = state.queues.get_mut(model) {
            queue.settle(&run, begun.elapsed());
        }
        if pause.is_some() {
            self.enqueue(&mut state, Arc::clone(&run));
        }
        self.dispatch_queued(&mut state, &assigned, model);
    }

    fn rank_level(&self, rank: &str) -> RankLevel {
        let config = self.cx.board.config.read();
        config.document.rank(rank).map_or(0, |rule| rule.level)
    }

    /// Periodically applies deadlines, dispatches queued requests, moves runs off leaving engines
    /// and drops abandoned runs.
    async fn sweep(self: Arc<Self>) {
        let mut tick = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            tick.tick().await;
            let assigned = AssignedEngines::of(&self.cx.board);
            let mut state = self.state.lock();
            state.runs.retain(|_, run| !run.expire_unread());
            let config = self.cx.board.config.read();
            let models: Vec<_> = state.queues.keys().cloned().collect();
            for model in models {
                if assigned.has_engines(&model) {
                    state.refresh_queue(&assigned, &model, &config.document);
                    self.dispatch_queued(&mut state, &assigned, &model);
                } else if let Some(queue) = state.queues.remove(&model) {
                    queue.move_all("this node has no engine for the model any more");
                }
            }
            drop(state);
            self.move_from_leaving_engines();
        }
    }

    fn move_from_leaving_engines(&self) {
        let fleet = self.cx.board.fleet.read();
        let runs: Vec<_> = self.state.lock().runs.values().cloned().collect();
        for run in runs {
            let Some(engine) = run.engine().and_then(|vm| fleet.get(&vm).cloned()) else {
                continue;
            };
            if drive::is_move_due(&engine) && run.begin_move() {
                tokio::spawn(drive::move_run_off_engine(
                    self.cx.engines.clone(),
                    run,
                    engine,
                ));
            }
        }
    }
}

impl State {
    /// Updates the rules of a queue, ends its expired requests and reports queue positions.
    fn refresh_queue(&mut self, assigned: &AssignedEngines, model: &str, doc: &Document) {
        let slots = assigned.total_slots(model);
        if let Some(queue) = self.queues.get_mut(model) {
            queue.set_rules(doc);
            queue.end_expired(Instant::now());
            queue.update_queue_positions(slots);
        }
    }

    fn load_of(&self, assigned: &AssignedEngines, model: &str) -> ModelLoad {
        let engines = assigned.engines(model);
        let running = engines
            .iter()
            .filter_map(|engine| self.engines.get(&engine.vm))
            .map(|engine_use| engine_use.running)
            .sum();
        let slots = assigned.total_slots(model);
        let queue = self.queues.get(model);
        ModelLoad {
            slots,
            running,
            waiting: queue.map_or(0, ModelQueue::len),
            waiting_by_rank: queue.map(ModelQueue::waiting_by_rank).unwrap_or_default(),
            waiting_tokens: queue.map(ModelQueue::waiting_tokens).unwrap_or_default(),
            tokens_per_second: queue.map_or(0, |queue| queue.tokens_per_second(slots)),
        }
    }

    fn is_free(&self, vm: &str, slots: u32, now: Instant) -> bool {
        self.engines.get(vm).is_none_or(|engine_use| {
            engine_use.running < slots && engine_use.paused_until.is_none_or(|until| until <= now)
        })
    }

    fn running(&self, vm: &str) -> u32 {
        self.engines
            .get(vm)
            .map_or(0, |engine_use| engine_use.running)
    }

    /// Returns the engine with the fewest runs among those with a free slot.
    fn free_engine(
        &self,
        assigned: &AssignedEngines,
        model: &str,
        now: Instant,
    ) -> Option<Backend> {
        let slots = assigned.slots(model);
        assigned
            .engines(model)
            .iter()
            .filter(|engine| self.is_free(&engine.vm, slots, now))
            .min_by_key(|engine| self.running(&engine.vm))
            .cloned()
    }

    /// Returns the engine that a request prefers, if it has a free slot.
    fn preferred(
        &self,
        assigned: &AssignedEngines,
        model: &str,
        vm: &str,
        now: Instant,
    ) -> Option<Backend> {
        assigned
            .engines(model)
            .iter()
            .find(|engine| &*engine.vm == vm && self.is_free(vm, assigned.slots(model), now))
            .cloned()
    }
}

/// Returns the event that rejects an order so that the serving node tries another home. An
/// attachment to an engine is kept for the next attempt.
fn moved_event(cause: &str, attachment: Option<Attachment>) -> DispatchEvent {
    DispatchEvent::Moved {
        cause: cause.into(),
        attachment,
        kv_blob: None,
        verdict: Verdict::NotRun,
    }
}
