//! The home of engines: one queue for each model over the engines that the node is home of.
//!
//! Only the home of an engine dispatches to it, so that nodes do not overrun engines that report their
//! load late. Two nodes may believe for a while that they are home of the same engine; the engine
//! refuses what exceeds its slots, and the home waits and asks again, so that this costs time only.

mod charge;
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

use charge::Charge;
use queue::ModelQueue;
pub use queue::RankWaiting;
use run::{Ended, Run};

/// Time for which a run goes on without a reader.
pub(crate) const LINGER: Duration = Duration::from_secs(10);
/// Time between two looks at deadlines and at leaving engines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Events that a slow reader may be behind.
const EVENT_BUFFER: usize = 64;

/// Events of one attempt.
pub type DispatchEvents = mpsc::Receiver<DispatchEvent>;

/// The home of engines.
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

/// What the home has given to one engine.
#[derive(Clone, Copy, Debug, Default)]
struct EngineUse {
    running: u32,
    /// Until when the engine gets nothing new, after it was full or out of reach.
    paused_until: Option<Instant>,
}

/// What a home has and does for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Requests that the engines may run at once.
    pub slots: u32,
    /// Requests that they run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that wait, by rank.
    pub waiting_by_rank: Vec<RankWaiting>,
    /// Tokens that wait, by rank level.
    pub waiting_tokens: WaitingTokens,
    /// Tokens a second of all slots together; 0 before the first observation.
    pub tokens_per_second: u32,
}

impl Home {
    /// Starts the home's controllers.
    pub fn spawn(cx: NodeContext) -> Arc<Self> {
        let home = Arc::new(Self {
            cx,
            state: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&home).sweep());
        home
    }

    /// Takes an order and returns its events. The last one ends the attempt.
    pub fn dispatch(self: &Arc<Self>, order: DispatchOrder) -> DispatchEvents {
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        let offset = u32::try_from(order.prior_tokens.len()).unwrap_or(u32::MAX);
        match self.take(order) {
            Ok(run) => subscribe::spawn(run, offset, tx),
            Err(refusal) => {
                let _ = tx.try_send(refusal);
            }
        }
        rx
    }

    /// Ends an attempt. Returns whether there was one.
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

    /// Returns what the home has and does for each model.
    pub fn loads(&self) -> Vec<(ModelName, ModelLoad)> {
        let charge = Charge::of(&self.cx.board);
        let state = self.state.lock();
        charge
            .models()
            .into_iter()
            .map(|model| {
                let load = state.load_of(&charge, &model);
                (model, load)
            })
            .collect()
    }

    /// Ends all runs with a move, since this node leaves.
    pub fn leave(&self) {
        let runs: Vec<_> = self.state.lock().runs.values().cloned().collect();
        for run in runs {
            run.end(Ended::Moved {
                cause: "the node that kept its queue is leaving".into(),
                engine_continues: true,
                kv_blob: None,
                verdict: Verdict::NotRun,
            });
        }
    }

    fn take(self: &Arc<Self>, order: DispatchOrder) -> Result<Arc<Run>, DispatchEvent> {
        if *self.cx.board.phase.read() >= Phase::Leaving {
            let cause = "the node that would keep its queue is leaving";
            return Err(moved(cause, order.attachment));
        }
        let known = self.state.lock().runs.get(&order.request.id).cloned();
        if let Some(run) = known {
            if run.attempt > order.attempt {
                return Err(moved("a later attempt has begun", order.attachment));
            }
            if run.can_continue(&order) {
                return Ok(run);
            }
            run.cancel();
        }
        let charge = Charge::of(&self.cx.board);
        let attached = order
            .attachment
            .as_ref()
            .and_then(|attachment| self.cx.board.fleet.read().get(&attachment.engine).cloned());
        if attached.is_none() && !charge.has(&order.request.model) {
            return Err(moved("this node has no engine for the model", None));
        }
        let run = Arc::new(Run::new(order));
        let mut state = self.state.lock();
        state
            .runs
            .insert(run.order.request.id.clone(), Arc::clone(&run));
        match attached {
            Some(engine) => self.start(&mut state, Arc::clone(&run), engine, true),
            None => {
                let model = run.order.request.model.clone();
                self.queue(&mut state, Arc::clone(&run));
                self.pump(&mut state, &charge, &model);
            }
        }
        Ok(run)
    }

    /// Puts a request into its model's queue.
    fn queue(&self, state: &mut State, run: Arc<Run>) {
        let config = self.cx.board.config.read();
        state
            .queues
            .entry(run.order.request.model.clone())
            .or_insert_with(ModelQueue::new)
            .push(run, &config.document);
    }

    /// Gives waiting requests of a model to free engines.
    fn pump(self: &Arc<Self>, state: &mut State, charge: &Charge, model: &str) {
        let now = Instant::now();
        while let Some(engine) = state.free_engine(charge, model, now) {
            let popped = state.queues.get_mut(model).and_then(ModelQueue::pop);
            let Some((run, preferred)) = popped else {
                return;
            };
            let preferred = preferred.and_then(|vm| state.preferred(charge, model, &vm, now));
            self.start(state, run, preferred.unwrap_or(engine), false);
        }
    }

    fn start(self: &Arc<Self>, state: &mut State, run: Arc<Run>, engine: Backend, attach: bool) {
        state.engines.entry(engine.vm.clone()).or_default().running += 1;
        tokio::spawn(Arc::clone(self).drive(run, engine, attach));
    }

    async fn drive(self: Arc<Self>, run: Arc<Run>, engine: Backend, attach: bool) {
        let begun = Instant::now();
        let priority = self.level(&run.order.request.rank);
        let outcome = drive::run_on_engine(&self.cx.engines, &run, &engine, attach, priority).await;
        let charge = Charge::of(&self.cx.board);
        let mut state = self.state.lock();
        let engine_use = state.engines.entry(engine.vm.clone()).or_default();
        engine_use.running = engine_use.running.saturating_sub(1);
        let pause = match outcome {
            drive::Outcome::Ended => None,
            drive::Outcome::Requeue { pause } => Some(pause),
        };
        engine_use.paused_until = pause.map(|pause| Instant::now() + pause);
        let model = &run.order.request.model;
        if let Some(queue) = state.queues.get_mut(model) {
            queue.settle(&run, begun.elapsed());
        }
        if pause.is_some() {
            self.queue(&mut state, Arc::clone(&run));
        }
        self.pump(&mut state, &charge, model);
    }

    fn level(&self, rank: &str) -> RankLevel {
        let config = self.cx.board.config.read();
        config.document.rank(rank).map_or(0, |rule| rule.level)
    }

    /// Looks at deadlines, at leaving engines and at runs that have ended.
    async fn sweep(self: Arc<Self>) {
        let mut tick = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            tick.tick().await;
            let charge = Charge::of(&self.cx.board);
            let mut state = self.state.lock();
            state.runs.retain(|_, run| !run.is_forgotten());
            let config = self.cx.board.config.read();
            let models: Vec<_> = state.queues.keys().cloned().collect();
            for model in models {
                if charge.has(&model) {
                    state.prepare(&charge, &model, &config.document);
                    self.pump(&mut state, &charge, &model);
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
            if drive::must_move(&engine) && run.begin_move() {
                tokio::spawn(drive::move_off(self.cx.engines.clone(), run, engine));
            }
        }
    }
}

impl State {
    /// Brings a queue's rules, deadlines and positions up to date.
    fn prepare(&mut self, charge: &Charge, model: &str, doc: &Document) {
        let slots = charge.total_slots(model);
        if let Some(queue) = self.queues.get_mut(model) {
            queue.set_rules(doc);
            queue.end_expired(Instant::now());
            queue.tell_positions(slots);
        }
    }

    fn load_of(&self, charge: &Charge, model: &str) -> ModelLoad {
        let engines = charge.engines(model);
        let running = engines
            .iter()
            .filter_map(|engine| self.engines.get(&engine.vm))
            .map(|engine_use| engine_use.running)
            .sum();
        let slots = charge.total_slots(model);
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
    fn free_engine(&self, charge: &Charge, model: &str, now: Instant) -> Option<Backend> {
        let slots = charge.slots(model);
        charge
            .engines(model)
            .iter()
            .filter(|engine| self.is_free(&engine.vm, slots, now))
            .min_by_key(|engine| self.running(&engine.vm))
            .cloned()
    }

    /// Returns the engine that a request prefers, if it is free.
    fn preferred(&self, charge: &Charge, model: &str, vm: &str, now: Instant) -> Option<Backend> {
        charge
            .engines(model)
            .iter()
            .find(|engine| &*engine.vm == vm && self.is_free(vm, charge.slots(model), now))
            .cloned()
    }
}

/// Returns the refusal of an order that another home can take; an engine to attach to stays one.
fn moved(cause: &str, attachment: Option<Attachment>) -> DispatchEvent {
    DispatchEvent::Moved {
        cause: cause.into(),
        attachment,
        kv_blob: None,
        verdict: Verdict::NotRun,
    }
}
