//! Selects the engine for the next attempt of a request, and with it the home node to dispatch to.
//!
//! Loads arrive late, by gossip. The attempts that this node has sent since a report are added to
//! it; otherwise all nodes would pick the home that looked idle in the last report. Cache affinity
//! routes requests to an engine that has their prompt prefix cached, as long as the engine's queue
//! allows.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::core::admission::WaitInputs;
use crate::core::fleet::{Backend, FleetView, Route};
use crate::core::id::{NodeId, RankLevel, VmId};
use crate::core::membership::HomeLoad;
use crate::core::request::AcceptedRequest;
use crate::core::routing::{
    Availability, Candidate, Choice, Distance, HealthChange, HealthRules, LinkBudget, LinkShares,
    LoadReport, LoadTable, NEAR_EQUAL_ENGINES, Observation, OutlierDetector, PrefixIndex,
    PromptBlocks, RouteRequest, SentRequest, choose,
};
use crate::core::time::Moment;
use crate::node::Blackboard;

/// Assumed age of a load report when it arrives.
const ASSUMED_REPORT_AGE: Duration = Duration::from_millis(500);
/// Assumed prefill time per prompt token, as no measured value is known here.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(250);
/// Bytes per token on the link between regions, including overhead.
const TOKEN_BYTES: u64 = 24;

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Home node of the engine.
    pub home: NodeId,
    /// Engine that should run the attempt.
    pub engine: VmId,
}

/// An attempt in flight, counted as load of its home node.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    model: Box<str>,
    home: NodeId,
    sent: SentRequest,
}

/// Selects engines by load, distance and cached prompt prefixes.
#[derive(Debug)]
pub struct EngineSelector {
    origin: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    loads: Vec<(Box<str>, LoadTable)>,
    prefixes: PrefixIndex,
    health: OutlierDetector,
    link: LinkBudget,
}

impl Default for EngineSelector {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            state: Mutex::new(State {
                loads: Vec::new(),
                prefixes: PrefixIndex::new(PrefixIndex::MAX_ENTRIES),
                health: OutlierDetector::new(HealthRules::default()),
                link: LinkBudget::new(LinkShares::default(), 1, Moment::ZERO),
            }),
        }
    }
}

impl EngineSelector {
    /// Selects the destination of an attempt. Returns `None` where no engine serves the model.
    pub fn select(
        &self,
        board: &Blackboard,
        request: &AcceptedRequest,
        deadline: Duration,
    ) -> Option<Target> {
        let (level, floor_percent) = level_and_floor(board, &request.rank);
        let now = self.now();
        let prompt = PromptBlocks::of_messages(&request.model, &request.messages);
        let mut state = self.state.lock();
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        let routes = board.routes.read();
        let slots = slots_per_engine_of(board, &request.model);
        let usable: Vec<&Route> = state.usable_routes(routes.serving(&request.model), now);
        for Route { engine, home } in usable {
            let estimate = state.load_book(&request.model).estimate(home, level, now);
            candidates.push(Candidate {
                distance: distance(board, engine),
                wait: estimate.map_or(Duration::ZERO, |load| load.wait(floor_percent)),
                slots,
                cached_tokens: state.prefixes.cached(&engine.vm, &prompt).expected(),
                price_per_hour: 0,
            });
            targets.push((home, &engine.vm));
        }
        let tokens = u64::from(request.prompt_tokens) + u64::from(request.max_tokens);
        let route = RouteRequest {
            deadline,
            prefill_per_token: PREFILL_PER_TOKEN,
            bytes: tokens * TOKEN_BYTES,
            // The wider tolerance used to select homes would hide the savings of cached prompts.
            near_equal: NEAR_EQUAL_ENGINES,
        };
        let choice = choose(&candidates, &route, &mut state.link, now, &mut rand::rng());
        let index = match choice {
            Choice::Local(index) | Choice::CrossRegion(index) => index,
            Choice::None => return None,
        };
        let (home, engine) = targets[index];
        let target = Target {
            home: home.clone(),
            engine: engine.clone(),
        };
        state.prefixes.record_routed(&target.engine, &prompt);
        state.health.start_probe(&target.engine, now);
        Some(target)
    }

    /// Returns the wait of a request at the home with the shortest one; `None` where no engine of
    /// the region serves the model.
    pub fn shortest_wait(&self, board: &Blackboard, model: &str, rank: &str) -> Option<WaitInputs> {
        let (level, floor_percent) = level_and_floor(board, rank);
        let now = self.now();
        let mut state = self.state.lock();
        let load = state.load_book(model);
        board
            .routes
            .read()
            .serving(model)
            .iter()
            .filter(|route| route.engine.region == board.identity.region)
            .filter_map(|route| load.estimate(&route.home, level, now))
            .min_by_key(|load| load.wait(floor_percent))
            .map(|load| WaitInputs {
                free_slots: load.free_slots,
                tokens_ahead: load.tokens_ahead,
                tokens_per_second: load.tokens_per_second,
                floor_percent,
                ..WaitInputs::default()
            })
    }

    /// Records the load report of a home node.
    pub fn record_load(&self, load: &HomeLoad) {
        let as_of = self.now().saturating_sub(ASSUMED_REPORT_AGE);
        let report = LoadReport {
            sequence: load.sequence,
            as_of,
            slots: load.slots,
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens.iter().copied().collect(),
            tokens_per_second: load.tokens_per_second,
        };
        self.state
            .lock()
            .load_book(&load.model)
            .report(&load.node, report);
    }

    /// Counts an attempt sent to a home node as load of that node.
    pub fn attempt_sent(
        &self,
        target: &Target,
        model: &str,
        level: RankLevel,
        cost_tokens: u32,
    ) -> InFlightAttempt {
        let sent = SentRequest {
            at: self.now(),
            level,
            cost_tokens,
        };
        self.state
            .lock()
            .load_book(model)
            .record_sent(&target.home, sent);
        InFlightAttempt {
            model: model.into(),
            home: target.home.clone(),
            sent,
        }
    }

    /// Removes a finished attempt from the load of its home node.
    pub fn attempt_ended(&self, attempt: &InFlightAttempt) {
        let mut state = self.state.lock();
        state
            .load_book(&attempt.model)
            .record_finished(&attempt.home, &attempt.sent);
    }

    /// Sets the engines of the fleet.
    pub fn set_engines(&self, fleet: &FleetView) {
        let engines = fleet.backends.iter().map(|backend| &backend.vm);
        self.state.lock().health.set_engines(engines, self.now());
    }

    /// Records the result of an attempt in the health of its engine.
    pub fn observe(&self, engine: &VmId, observation: Observation) {
        let now = self.now();
        let mut state = self.state.lock();
        let change = state
            .health
            .observe(engine, observation, now, &mut rand::rng());
        match change {
            Some(HealthChange::Ejected { until }) => {
                let for_ms = until.saturating_sub(now).as_millis();
                tracing::warn!(%engine, for_ms, "engine ejected");
            }
            Some(HealthChange::Readmitted) => tracing::info!(%engine, "engine readmitted"),
            Some(HealthChange::EjectionSuppressed) | None => {}
        }
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }
}

impl State {
    /// Returns the engines that are usable or due for a probe, or all engines if there is none.
    fn usable_routes<'a>(&self, routes: &'a [Route], now: Moment) -> Vec<&'a Route> {
        let is_usable = |route: &&Route| {
            matches!(
                self.health.availability(&route.engine.vm, now),
                Availability::Usable | Availability::Probe
            )
        };
        let usable: Vec<&Route> = routes.iter().filter(is_usable).collect();
        if usable.is_empty() {
            routes.iter().collect()
        } else {
            usable
        }
    }

    fn load_book(&mut self, model: &str) -> &mut LoadTable {
        let existing = self.loads.iter().position(|(name, _)| &**name == model);
        let index = existing.unwrap_or_else(|| {
            self.loads.push((model.into(), LoadTable::default()));
            self.loads.len() - 1
        });
        &mut self.loads[index].1
    }
}

/// Returns the slots per engine of a model.
fn slots_per_engine_of(board: &Blackboard, model: &str) -> u32 {
    let config = board.config.read();
    let rule = config.document.model(model);
    rule.map_or(1, |rule| u32::from(rule.slots_per_engine))
}

fn level_and_floor(board: &Blackboard, rank: &str) -> (RankLevel, u8) {
    let config = board.config.read();
    let rule = config.document.rank(rank);
    rule.map_or((0, 0), |rule| (rule.level, rule.floor_percent))
}

fn distance(board: &Blackboard, engine: &Backend) -> Distance {
    let identity = &board.identity;
    if engine.zone == identity.zone {
        Distance::SameZone
    } else if engine.region == identity.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}
