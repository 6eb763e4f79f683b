//! Compares the cost per thousand tokens of the fleet plan with that of naive strategies, while zones lose their
//! reclaimable VMs.
//!
//! Deterministic simulation: `cargo run --release --example fleet_cost`.

use std::time::Duration;

use jayhall::core::fleet::{
    ClassCapacity, EngineBounds, EngineVm, FleetPlan, Market, MicroPrice, ModelDemand, ModelInput,
    Need, NeedWindow, Offer, PlanInput, Refusals, Step, Supply, next_steps, plan,
};
use jayhall::core::id::ZoneId;
use jayhall::core::time::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Zones with the hourly price of a reclaimable VM, in millionths of the currency unit.
const ZONES: [(&str, MicroPrice); 3] = [
    ("addis-1", 900_000),
    ("addis-2", 1_000_000),
    ("hawassa-1", 700_000),
];
/// Hourly price of an on-demand VM, in millionths of the currency unit.
const ON_DEMAND_PRICE: MicroPrice = 3_000_000;
/// Tokens per second that one engine serves.
const ENGINE_TOKENS_PER_SECOND: u64 = 1000;
/// Tokens per second of urgent demand.
const URGENT_TOKENS_PER_SECOND: u64 = 3200;
/// Tokens per second of all other demand.
const OTHER_TOKENS_PER_SECOND: u64 = 8000;
/// Simulated duration of one run.
const RUN_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Simulated duration of one step.
const TICK: Duration = Duration::from_secs(10);
/// Time from starting a VM to its first token.
const START_DELAY: Duration = Duration::from_secs(180);
/// Time after the loss of a zone in which it refuses to start reclaimable VMs.
const OUTAGE_DURATION: Duration = Duration::from_secs(3600);
/// Number of zone losses in one run.
const ZONE_LOSSES_PER_RUN: usize = 3;
/// Number of runs; the seeds are 0 to `RUNS - 1`.
const RUNS: u64 = 20;
/// Maximum number of engines that start or load a model at the same time.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Seconds within which the planned capacity should work off a backlog.
const BACKLOG_DRAIN_SECONDS: u64 = 600;

#[derive(Clone, Copy, Debug)]
enum Strategy {
    Plan,
    NoFloor,
    CheapestZone,
    AllOnDemand,
}

struct FleetEngine {
    engine: EngineVm,
    ready_at: Moment,
}

#[derive(Default)]
struct Totals {
    cost_micros: f64,
    urgent_served: u64,
    urgent_late: u64,
    other_served: u64,
    largest_backlog: u64,
    /// Number of steps in which some urgent work was late.
    late_ticks: u64,
}

struct Simulation {
    strategy: Strategy,
    fleet: Vec<FleetEngine>,
    refusals: Refusals,
    window: NeedWindow,
    /// Times at which zones are lost.
    losses: Vec<(Moment, &'static str)>,
    backlog: u64,
    started: u64,
    totals: Totals,
}

impl Simulation {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let losses = (0..ZONE_LOSSES_PER_RUN).map(|_| {
            let at = Duration::from_secs(rng.random_range(3600..RUN_DURATION.as_secs()));
            (at, ZONES[rng.random_range(0..ZONES.len())].0)
        });
        Self {
            strategy,
            fleet: Vec::new(),
            refusals: Refusals::default(),
            window: NeedWindow::new(Duration::from_secs(300)),
            losses: losses.collect(),
            backlog: 0,
            started: 0,
            totals: Totals::default(),
        }
    }

    fn has_outage(&self, zone: &str, now: Moment) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|(at, lost)| *lost == zone && *at <= now && now < *at + OUTAGE_DURATION)
    }

    /// Simulates one day. The first hour is not counted, since the fleet starts from nothing.
    fn simulate(mut self) -> Totals {
        let mut now = Moment::ZERO;
        while now < RUN_DURATION {
            self.remove_lost_engines(now);
            self.reconcile(now);
            self.serve(now);
            now += TICK;
        }
        self.totals
    }

    fn remove_lost_engines(&mut self, now: Moment) {
        let zones_out: Vec<&str> = ZONES.iter().map(|(zone, _)| *zone).collect();
        let zones_out: Vec<&str> = zones_out
            .into_iter()
            .filter(|z| self.has_outage(z, now))
            .collect();
        self.fleet.retain(|running| {
            let supply = &running.engine.supply;
            supply.market == Market::OnDemand || !zones_out.contains(&&*supply.zone)
        });
    }

    fn reconcile(&mut self, now: Moment) {
        for running in &mut self.fleet {
            running.engine.is_ready = running.engine.model.is_some() && running.ready_at <= now;
        }
        let engines: Vec<EngineVm> = self.fleet.iter().map(|r| r.engine.clone()).collect();
        let plan = self.plan(&engines, now);
        for step in next_steps(&plan, &engines, &[], MAX_CONCURRENT_LOADS) {
            self.apply_step(step, now);
        }
    }

    fn plan(&mut self, engines: &[EngineVm], now: Moment) -> FleetPlan {
        let offers = offers();
        self.exclude_unused_market(now);
        let model = ModelInput {
            demand: ModelDemand {
                model: "assistant".into(),
                tokens_per_second: [
                    URGENT_TOKENS_PER_SECOND,
                    OTHER_TOKENS_PER_SECOND + self.backlog / BACKLOG_DRAIN_SECONDS,
                ]
                .into_iter()
                .collect(),
            },
            bounds: EngineBounds { min: 1, max: 60 },
            classes: vec![ClassCapacity {
                class: "gpu-small".into(),
                tokens_per_second: ENGINE_TOKENS_PER_SECOND,
            }],
        };
        let zones: Vec<ZoneId> = match self.strategy {
            Strategy::CheapestZone => vec!["hawassa-1".into()],
            _ => Vec::new(),
        };
        let input = PlanInput {
            models: &[model],
            offers: &offers,
            risks: &[],
            engines,
            refusals: &self.refusals,
            zones: &zones,
            replacement_time: START_DELAY,
        };
        let (window, strategy) = (&mut self.window, self.strategy);
        plan(&input, now, |_, _, need| {
            let need = window.update(need, now);
            match strategy {
                Strategy::Plan => need,
                _ => Need { floor: 0, ..need },
            }
        })
    }

    /// Marks the market that a naive strategy does not use as refused until the next step.
    fn exclude_unused_market(&mut self, now: Moment) {
        let excluded = match self.strategy {
            Strategy::Plan => return,
            Strategy::NoFloor | Strategy::CheapestZone => Market::OnDemand,
            Strategy::AllOnDemand => Market::Reclaimable,
        };
        let supplies = offers().into_iter().map(|offer| offer.supply(excluded));
        self.refusals
            .set_remote_refusals(supplies.map(|supply| (supply, now + TICK)));
    }

    fn apply_step(&mut self, step: Step, now: Moment) {
        match step {
            Step::Start { supply, model, .. } => {
                if supply.market == Market::Reclaimable && self.has_outage(&supply.zone, now) {
                    self.refusals.refused(supply, now);
                    return;
                }
                self.refusals.started(&supply);
                self.started += 1;
                self.fleet.push(FleetEngine {
                    engine: EngineVm {
                        vm: format!("vm-{:05}", self.started).into(),
                        supply,
                        model: Some(model),
                        is_ready: false,
                    },
                    ready_at: now + START_DELAY,
                });
            }
            Step::Retire { vm, .. } => self.fleet.retain(|r| r.engine.vm != vm),
            Step::Load { .. } => {}
        }
    }

    /// Serves urgent work first. Urgent work beyond the capacity counts as late; other work joins the backlog.
    fn serve(&mut self, now: Moment) {
        let seconds = TICK.as_secs();
        let hours = TICK.as_secs_f64() / 3600.0;
        if now < Duration::from_secs(3600) {
            return;
        }
        let prices = self.fleet.iter().map(|r| price(&r.engine.supply));
        self.totals.cost_micros += prices.sum::<MicroPrice>() as f64 * hours;
        let ready = self.fleet.iter().filter(|r| r.ready_at <= now).count() as u64;
        let capacity = ready * ENGINE_TOKENS_PER_SECOND * seconds;
        let urgent = (URGENT_TOKENS_PER_SECOND * seconds).min(capacity);
        let other = (OTHER_TOKENS_PER_SECOND * seconds + self.backlog).min(capacity - urgent);
        self.backlog = OTHER_TOKENS_PER_SECOND * seconds + self.backlog - other;
        let late = URGENT_TOKENS_PER_SECOND * seconds - urgent;
        self.totals.urgent_served += urgent;
        self.totals.urgent_late += late;
        self.totals.late_ticks += u64::from(late > 0);
        self.totals.other_served += other;
        self.totals.largest_backlog = self.totals.largest_backlog.max(self.backlog);
    }
}

fn offers() -> Vec<Offer> {
    let offer = |(zone, price): &(&str, MicroPrice)| Offer {
        zone: (*zone).into(),
        class: "gpu-small".into(),
        reclaimable: *price,
        on_demand: ON_DEMAND_PRICE,
        currency: "USD".into(),
    };
    ZONES.iter().map(offer).collect()
}

fn price(supply: &Supply) -> MicroPrice {
    let zone = ZONES.iter().find(|(zone, _)| *zone == &*supply.zone);
    match (supply.market, zone) {
        (Market::Reclaimable, Some((_, price))) => *price,
        _ => ON_DEMAND_PRICE,
    }
}

fn main() {
    println!(
        "{RUNS} runs of a day with {ZONE_LOSSES_PER_RUN} losses of a zone each; urgent {URGENT_TOKENS_PER_SECOND} and other {OTHER_TOKENS_PER_SECOND} tokens/s"
    );
    println!(
        "strategy       USD per 1000 tokens   urgent late   minutes late a run   largest backlog"
    );
    for strategy in [
        Strategy::Plan,
        Strategy::NoFloor,
        Strategy::CheapestZone,
        Strategy::AllOnDemand,
    ] {
        let runs = (0..RUNS).map(|seed| Simulation::new(strategy, seed).simulate());
        let runs: Vec<Totals> = runs.collect();
        let sum = |of: fn(&Totals) -> u64| runs.iter().map(of).sum::<u64>() as f64;
        let cost: f64 = runs.iter().map(|run| run.cost_micros).sum();
        let urgent = sum(|run| run.urgent_served);
        let late = sum(|run| run.urgent_late);
        let per_thousand = cost / 1e6 / ((urgent + sum(|run| run.other_served)) / 1000.0);
        let late_share = 100.0 * late / (urgent + late);
        let minutes = sum(|run| run.late_ticks) * TICK.as_secs_f64() / 60.0 / RUNS as f64;
        let backlog = runs.iter().map(|run| run.largest_backlog).max();
        println!(
            "{:<14} {per_thousand:>19.6} {late_share:>12.3}% {minutes:>20.1} {:>13} tokens",
            format!("{strategy:?}"),
            backlog.unwrap_or(0)
        );
    }
}
