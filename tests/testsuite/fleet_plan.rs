//! Comparison of the fleet plan with brute-force models, and behaviour of plans and steps.

use std::time::Duration;

use jayhall::core::fleet::{
    ClassCapacity, EngineBounds, EngineVm, FleetPlan, Market, ModelDemand, ModelInput, Need,
    NeedWindow, Offer, Place, PlanInput, Refusals, Step, StepCause, Supply, ZoneRisk, next_steps,
    place, plan,
};
use jayhall::core::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ZONES: [&str; 3] = ["addis-1", "addis-2", "hawassa-1"];
const DISCOUNT_PERCENT: u64 = 10;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

/// Returns the best rank over all placements, by trying every number of VMs in every place.
fn brute_force_rank(need: Need, places: &[Place]) -> (u32, u32, u64) {
    let max_count = need.wanted + need.floor;
    let mut best = (u32::MAX, u32::MAX, u64::MAX);
    let mut counts = vec![0_u32; places.len()];
    loop {
        let total: u32 = counts.iter().sum();
        let possible = places.iter().zip(&counts);
        let is_possible = possible
            .clone()
            .all(|(p, n)| p.available.is_none_or(|a| *n <= a));
        if total <= need.max && is_possible {
            let lost = possible
                .clone()
                .filter(|(p, _)| p.market == Market::Reclaimable);
            let remaining_after_zone_loss = total - lost.map(|(_, n)| *n).max().unwrap_or(0);
            let cost = possible.map(|(p, n)| {
                let running = u64::from(p.running.min(p.available.unwrap_or(u32::MAX)).min(*n));
                running * (p.price - p.price * DISCOUNT_PERCENT / 100)
                    + (u64::from(*n) - running) * p.price
            });
            let floor_shortfall = need.floor.saturating_sub(remaining_after_zone_loss);
            let shortfall = need.wanted.saturating_sub(total);
            best = best.min((floor_shortfall, shortfall, cost.sum()));
        }
        let Some(at) = counts.iter().position(|n| *n < max_count) else {
            return best;
        };
        counts[..at].fill(0);
        counts[at] += 1;
    }
}

fn places() -> impl Strategy<Value = Vec<Place>> {
    let place = (1..40_u64, 0..4_u32, prop::option::of(0..4_u32));
    prop::collection::vec(place, 2..=5).prop_map(|places| {
        let places = places.into_iter().enumerate();
        let places = places.map(|(i, (price, running, available))| Place {
            zone: ZONES[i / 2].into(),
            market: [Market::Reclaimable, Market::OnDemand][i % 2],
            price: price * 100,
            running,
            available,
        });
        places.collect()
    })
}

fn need() -> impl Strategy<Value = Need> {
    (0..=3_u32, 0..=2_u32, 0..=3_u32).prop_map(|(floor, more, spare)| Need {
        wanted: floor + more,
        floor,
        max: floor + more + spare,
    })
}

#[test]
fn the_placement_is_as_good_as_the_brute_force_optimum() {
    runner(1, 200)
        .run(&(need(), places()), |(need, places)| {
            let placement = place(need, &places, DISCOUNT_PERCENT);
            prop_assert_eq!(placement.rank(), brute_force_rank(need, &places));
            prop_assert!(placement.total() <= need.max);
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_window_returns_the_maximum_need() {
    let steps = prop::collection::vec((0..30_u64, need()), 1..40);
    runner(2, 100)
        .run(&steps, |steps| {
            let mut window = NeedWindow::new(Duration::from_secs(60));
            let mut seen: Vec<(u64, Need)> = Vec::new();
            let mut now = 0;
            for (wait, need) in steps {
                now += wait;
                seen.push((now, need));
                let recent = seen.iter().filter(|(at, _)| at + 60 >= now);
                let wanted = recent.clone().map(|(_, n)| n.wanted).max().unwrap();
                let floor = recent.map(|(_, n)| n.floor).max().unwrap();
                let largest = window.update(need, Moment::from_secs(now));
                prop_assert_eq!(largest.wanted, wanted.min(need.max));
                prop_assert_eq!(largest.floor, floor.min(need.max));
            }
            Ok(())
        })
        .unwrap();
}

fn supply(zone: &str, market: Market) -> Supply {
    Supply {
        zone: zone.into(),
        class: "gpu-small".into(),
        market,
    }
}

fn offers() -> Vec<Offer> {
    let prices = [("addis-1", 900), ("addis-2", 1000), ("hawassa-1", 700)];
    let offer = |(zone, price): (&str, u64)| Offer {
        zone: zone.into(),
        class: "gpu-small".into(),
        reclaimable: price,
        on_demand: 3000,
        currency: "USD".into(),
    };
    prices.into_iter().map(offer).collect()
}

fn model(name: &str, urgent: u64, other: u64) -> ModelInput {
    ModelInput {
        demand: ModelDemand {
            model: name.into(),
            tokens_per_second: [urgent, other].into_iter().collect(),
        },
        bounds: EngineBounds { min: 1, max: 40 },
        classes: vec![ClassCapacity {
            class: "gpu-small".into(),
            tokens_per_second: 1000,
        }],
    }
}

/// A simulated fleet in which steps take effect immediately.
#[derive(Default)]
struct Fleet {
    engines: Vec<EngineVm>,
    refusals: Refusals,
    risks: Vec<ZoneRisk>,
    started: usize,
}

impl Fleet {
    fn plan(&self, models: &[ModelInput], offers: &[Offer], now: Moment) -> FleetPlan {
        let input = PlanInput {
            models,
            offers,
            risks: &self.risks,
            engines: &self.engines,
            refusals: &self.refusals,
            zones: &[],
            replacement_time: Duration::from_secs(120),
        };
        plan(&input, now, |_, _, need| need)
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Start { supply, .. } => {
                self.started += 1;
                self.engines.push(EngineVm {
                    vm: format!("vm-{:03}", self.started).into(),
                    supply,
                    model: None,
                    is_ready: false,
                });
            }
            Step::Load { vm, model, .. } => {
                let engine = self.engines.iter_mut().find(|e| e.vm == vm).unwrap();
                engine.model = Some(model);
                engine.is_ready = true;
            }
            Step::Retire { vm, .. } => self.engines.retain(|e| e.vm != vm),
        }
    }

    /// Applies steps until the plan has none, and returns the number of rounds. Panics after 40 rounds.
    fn apply_all_steps(&mut self, models: &[ModelInput], offers: &[Offer]) -> usize {
        for round in 0..40 {
            let plan = self.plan(models, offers, Moment::ZERO);
            let steps = next_steps(&plan, &self.engines, &[], 4);
            if steps.is_empty() {
                return round;
            }
            for step in steps {
                self.apply_step(step);
            }
        }
        panic!("the fleet does not reach a stable state");
    }

    fn count(&self, zone: &str, market: Market) -> usize {
        let matching = self.engines.iter();
        matching
            .filter(|e| e.supply == supply(zone, market))
            .count()
    }
}

#[test]
fn reclaimable_vms_spread_over_zones_suffice_for_the_floor() {
    let mut fleet = Fleet::default();
    fleet.apply_all_steps(&[model("assistant", 3200, 0)], &offers());
    let counts = ZONES.map(|zone| fleet.count(zone, Market::Reclaimable));
    assert_eq!(counts, [2, 2, 2]);
    assert_eq!(fleet.engines.len(), 6);
}

#[test]
fn refused_reclaimable_starts_are_replaced_on_demand_until_the_backoff_ends() {
    let mut fleet = Fleet::default();
    let models = [model("assistant", 3200, 0)];
    for zone in ["addis-2", "hawassa-1"] {
        let until = fleet
            .refusals
            .refused(supply(zone, Market::Reclaimable), Moment::ZERO);
        assert_eq!(until, Moment::from_secs(30));
    }
    fleet.apply_all_steps(&models, &offers());
    let on_demand: usize = ZONES.map(|z| fleet.count(z, Market::OnDemand)).iter().sum();
    assert_eq!(
        (on_demand, fleet.count("addis-1", Market::Reclaimable)),
        (4, 0)
    );
    let later = fleet.plan(&models, &offers(), Moment::from_secs(31));
    let on_demand = ZONES.map(|z| later.models[0].placement.count(z, Market::OnDemand));
    assert_eq!(on_demand, [0; 3]);
    let again = supply("addis-2", Market::Reclaimable);
    let until = fleet.refusals.refused(again, Moment::from_secs(31));
    assert_eq!(until, Moment::from_secs(91));
}

#[test]
fn a_lost_zone_is_replaced_with_urgent_engines_first() {
    let mut fleet = Fleet::default();
    let models = [model("batch", 0, 9000), model("assistant", 3200, 0)];
    fleet.apply_all_steps(&models, &offers());
    fleet.engines.retain(|e| &*e.supply.zone != "hawassa-1");
    for market in [Market::Reclaimable, Market::OnDemand] {
        fleet
            .refusals
            .refused(supply("hawassa-1", market), Moment::ZERO);
    }
    let serving = |fleet: &Fleet, name: &str| {
        let serves = |e: &&EngineVm| e.model.as_deref() == Some(name);
        fleet.engines.iter().filter(serves).count()
    };
    assert!(
        serving(&fleet, "assistant") >= 4,
        "the floor must hold after the loss of the zone"
    );
    let plan = fleet.plan(&models, &offers(), Moment::ZERO);
    let steps = next_steps(&plan, &fleet.engines, &[], 4);
    let causes: Vec<StepCause> = steps
        .iter()
        .filter_map(|step| match step {
            Step::Start { cause, .. } => Some(*cause),
            _ => None,
        })
        .collect();
    assert_eq!(causes.len(), 4, "the number of concurrent loads is limited");
    assert!(causes.is_sorted());
    fleet.apply_all_steps(&models, &offers());
    assert_eq!(serving(&fleet, "batch"), 9);
}

#[test]
fn an_engine_is_retired_only_after_its_replacement_serves() {
    let mut fleet = Fleet::default();
    let models = [model("assistant", 3200, 0)];
    fleet.apply_all_steps(&models, &offers());
    let mut raised_prices = offers();
    raised_prices[1].reclaimable = 2900;
    for _ in 0..20 {
        let plan = fleet.plan(&models, &raised_prices, Moment::ZERO);
        let steps = next_steps(&plan, &fleet.engines, &[], 4);
        if steps.is_empty() {
            break;
        }
        for step in steps {
            fleet.apply_step(step);
        }
        let ready = fleet.engines.iter().filter(|e| e.is_ready).count();
        assert!(ready >= 4, "the floor must hold during the replacement");
    }
    assert_eq!(fleet.count("addis-2", Market::Reclaimable), 0);
}

#[test]
fn small_price_changes_cause_no_steps_and_reclaim_risk_raises_the_price() {
    let mut fleet = Fleet::default();
    let models = [model("batch", 0, 3000)];
    fleet.apply_all_steps(&models, &offers());
    let started = fleet.started;
    let mut changed = offers();
    changed[2].reclaimable = 930;
    assert_eq!(fleet.apply_all_steps(&models, &changed), 0);
    assert_eq!(fleet.started, started);
    let mut risky = Fleet {
        risks: vec![ZoneRisk {
            zone: "hawassa-1".into(),
            reclaims_per_thousand_hours: 12_000,
        }],
        ..Fleet::default()
    };
    risky.apply_all_steps(&models, &offers());
    assert!(risky.count("addis-1", Market::Reclaimable) >= 2);
}

#[test]
fn a_model_that_no_class_can_run_keeps_its_engines() {
    let mut fleet = Fleet::default();
    let mut models = [model("assistant", 3200, 0)];
    fleet.apply_all_steps(&models, &offers());
    let count = fleet.engines.len();
    assert_eq!(fleet.apply_all_steps(&models, &[]), 0);
    models[0].classes.clear();
    assert_eq!(fleet.apply_all_steps(&models, &offers()), 0);
    assert_eq!(fleet.engines.len(), count);
    fleet.apply_all_steps(&[], &offers());
    assert_eq!(
        fleet.engines.len(),
        0,
        "the engines of a removed model must be retired"
    );
}

#[test]
fn a_model_cannot_use_engines_of_another_where_starts_are_refused() {
    let mut fleet = Fleet::default();
    let batch = model("batch", 0, 3000);
    fleet.apply_all_steps(std::slice::from_ref(&batch), &offers());
    for zone in ZONES {
        for market in [Market::Reclaimable, Market::OnDemand] {
            fleet.refusals.refused(supply(zone, market), Moment::ZERO);
        }
    }
    let plan = fleet.plan(
        &[batch, model("assistant", 800, 0)],
        &offers(),
        Moment::ZERO,
    );
    let shortfalls = ["assistant", "batch"].map(|m| plan.model(m).unwrap().placement.shortfall);
    assert_eq!(shortfalls, [1, 0]);
}
