//! Which engine, and so which home, gets the next attempt of a request.
//!
//! Loads come late by gossip; what this node has sent since is added, so that nodes do not all choose
//! the home that looked idle in the last report. Prompts that an engine holds already draw their
//! followers to it, as far as its queue allows.

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

/// Usual age of a report when it arrives.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time that an engine takes to compute one prompt token, where nothing else is known.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(250);
/// Bytes of a token on the link between regions, overhead included.
const TOKEN_BYTES: u64 = 24;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Home of the engine.
    pub home: NodeId,
    /// Engine that should run it.
    pub engine: VmId,
}

/// An attempt that was counted when it was sent.
#[derive(Clone, Debug)]
pub struct Counted {
    model: Box<str>,
    home: NodeId,
    sent: SentRequest,
}

/// Chooses engines by load, distance and held prompts.
#[derive(Debug)]
pub struct HomeChoice {
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

impl Default for HomeChoice {
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

impl HomeChoice {
    /// Returns where an attempt goes, or `None` where no engine serves the model.
    pub fn choose(
        &self,
        board: &Blackboard,
        request: &AcceptedRequest,
        deadline: Duration,
    ) -> Option<Target> {
        let (level, floor_percent) = rank_of(board, &request.rank);
        let now = self.now();
        let prompt = PromptBlocks::of_messages(&request.model, &request.messages);
        let mut state = self.state.lock();
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        let routes = board.routes.read();
        let slots = slots_of(board, &request.model);
        let usable: Vec<&Route> = state.usable(routes.serving(&request.model), now);
        for Route { engine, home } in usable {
            let estimate = state.load(&request.model).estimate(home, level, now);
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
            // The wider span for homes would hide what cached prompts save.
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

    /// Returns what a request of a rank would wait for at the home that starts it first; `None` where
    /// no engine of the region serves the model.
    pub fn shortest_wait(&self, board: &Blackboard, model: &str, rank: &str) -> Option<WaitInputs> {
        let (level, floor_percent) = rank_of(board, rank);
        let now = self.now();
        let mut state = self.state.lock();
        let load = state.load(model);
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

    /// Takes in a home's report.
    pub fn report(&self, load: &HomeLoad) {
        let as_of = self.now().saturating_sub(REPORT_DELAY);
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
            .load(&load.model)
            .report(&load.node, report);
    }

    /// Counts an attempt that goes to a home.
    pub fn begin(
        &self,
        target: &Target,
        model: &str,
        level: RankLevel,
        cost_tokens: u32,
    ) -> Counted {
        let sent = SentRequest {
            at: self.now(),
            level,
            cost_tokens,
        };
        self.state
            .lock()
            .load(model)
            .record_sent(&target.home, sent);
        Counted {
            model: model.into(),
            home: target.home.clone(),
            sent,
        }
    }

    /// Counts the end of an attempt.
    pub fn end(&self, counted: &Counted) {
        let mut state = self.state.lock();
        state
            .load(&counted.model)
            .record_finished(&counted.home, &counted.sent);
    }

    /// Sets which engines there are.
    pub fn set_engines(&self, fleet: &FleetView) {
        let engines = fleet.backends.iter().map(|backend| &backend.vm);
        self.state.lock().health.set_engines(engines, self.now());
    }

    /// Learns how an attempt on an engine ended.
    pub fn observe(&self, engine: &VmId, observation: Observation) {
        let now = self.now();
        let mut state = self.state.lock();
        let change = state
            .health
            .observe(engine, observation, now, &mut rand::rng());
        match change {
            Some(HealthChange::Ejected { until }) => {
                let for_ms = until.saturating_sub(now).as_millis();
                tracing::warn!(%engine, for_ms, "engine gets no requests for a while");
            }
            Some(HealthChange::Readmitted) => tracing::info!(%engine, "engine gets requests again"),
            Some(HealthChange::EjectionSuppressed) | None => {}
        }
    }

    fn now(&self) -> Moment {
        self.origin.elapsed()
    }
}

impl State {
    /// Returns the engines that get requests; all of them where none does.
    fn usable<'a>(&self, routes: &'a [Route], now: Moment) -> Vec<&'a Route> {
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

    fn load(&mut self, model: &str) -> &mut LoadTable {
        let known = self.loads.iter().position(|(name, _)| &**name == model);
        let index = known.unwrap_or_else(|| {
            self.loads.push((model.into(), LoadTable::default()));
            self.loads.len() - 1
        });
        &mut self.loads[index].1
    }
}

/// Returns the slots of one engine of a model.
fn slots_of(board: &Blackboard, model: &str) -> u32 {
    let config = board.config.read();
    let rule = config.document.model(model);
    rule.map_or(1, |rule| u32::from(rule.slots_per_engine))
}

fn rank_of(board: &Blackboard, rank: &str) -> (RankLevel, u8) {
    let config = board.config.read();
    let rule = config.document.rank(rank);
    rule.map_or((0, 0), |rule| (rule.level, rule.floor_percent))
}

fn distance(board: &Blackboard, engine: &Backend) -> Distance {
    let own = &board.identity;
    if engine.zone == own.zone {
        Distance::SameZone
    } else if engine.region == own.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}
