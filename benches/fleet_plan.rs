//! Benchmark of one planning round of the fleet controller over the number of engines.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use jayhall::core::fleet::{
    ClassCapacity, EngineBounds, EngineVm, Market, ModelDemand, ModelInput, Offer, PlanInput,
    Refusals, Supply, next_steps, plan,
};
use jayhall::core::time::Moment;

const ZONES: usize = 16;
const MODELS: usize = 10;
const ENGINE_TOKENS_PER_SECOND: u64 = 1000;

fn supply(zone: usize) -> Supply {
    Supply {
        zone: format!("zone-{zone}").into(),
        class: "gpu-small".into(),
        market: Market::Reclaimable,
    }
}

fn offers() -> Vec<Offer> {
    let offer = |zone: usize| Offer {
        zone: supply(zone).zone,
        class: supply(zone).class,
        reclaimable: 700_000 + 10_000 * zone as u64,
        on_demand: 3_000_000,
        currency: "USD".into(),
    };
    (0..ZONES).map(offer).collect()
}

fn engines(count: usize) -> Vec<EngineVm> {
    let engine = |i: usize| EngineVm {
        vm: format!("vm-{i:05}").into(),
        supply: supply(i % ZONES),
        model: Some(format!("model-{}", i % MODELS).into()),
        is_ready: true,
    };
    (0..count).map(engine).collect()
}

fn models(engines: usize) -> Vec<ModelInput> {
    let rate = (engines / MODELS) as u64 * ENGINE_TOKENS_PER_SECOND;
    let model = |i: usize| ModelInput {
        demand: ModelDemand {
            model: format!("model-{i}").into(),
            tokens_per_second: [rate / 4, rate / 2].into_iter().collect(),
        },
        bounds: EngineBounds {
            min: 1,
            max: engines as u32,
        },
        classes: vec![ClassCapacity {
            class: "gpu-small".into(),
            tokens_per_second: ENGINE_TOKENS_PER_SECOND,
        }],
    };
    (0..MODELS).map(model).collect()
}

fn planning_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("fleet_round");
    for count in [340, 1350, 5400] {
        let (offers, engines, models) = (offers(), engines(count), models(count));
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let input = PlanInput {
                    models: &models,
                    offers: &offers,
                    risks: &[],
                    engines: &engines,
                    refusals: &Refusals::default(),
                    zones: &[],
                    replacement_time: Duration::from_secs(180),
                };
                let plan = plan(&input, Moment::ZERO, |_, _, need| need);
                black_box(next_steps(&plan, &engines, &[], 8))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, planning_round);
criterion_main!(benches);
