//! Open-loop load generator: sends requests at a scenario's rates, however long the answers take, and triggers
//! the scenario's incident.

use std::time::Duration;

use eyre::Result;
use futures::future::join_all;
use jayhall_harness::{Ask, Caller, Fleet};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::outcome::{EngineTokens, RequestOutcome, ScenarioReport};
use super::scenario::{Incident, RequestClass, Scenario};

/// Customers in the fleet's configuration document.
const CUSTOMERS: [&str; 5] = [
    "bekele",
    "hawassa-hoops",
    "selam",
    "grand-hotel",
    "kiln-club",
];
/// Time between the notice and the reclaim of a VM.
const RECLAIM_NOTICE: Duration = Duration::from_secs(8);

/// A request with the time at which it is sent.
struct ScheduledRequest {
    at: Duration,
    customer: &'static str,
    class: RequestClass,
    number: usize,
}

/// Runs a scenario; its incident begins after a third of the time.
pub(crate) async fn run(
    fleet: &mut Fleet,
    scenario: &Scenario,
    seconds: u64,
    seed: u64,
) -> Result<ScenarioReport> {
    let duration = Duration::from_secs(seconds);
    let requests = draw_arrivals(scenario, duration, seed);
    let callers: Vec<(&str, Caller)> = CUSTOMERS
        .iter()
        .map(|customer| (*customer, fleet.caller(customer)))
        .collect();
    let started = Instant::now();
    let outcomes = requests
        .into_iter()
        .map(|request| send(request, &callers, started));
    let (outcomes, incident) = tokio::join!(
        join_all(outcomes),
        trigger_incident(fleet, scenario.incident, started + duration / 3)
    );
    incident?;
    let tokens = engine_tokens(fleet, &outcomes).await;
    Ok(ScenarioReport::new(scenario.name, &outcomes, tokens))
}

/// Draws the arrival times of all requests; each class arrives as a Poisson process.
fn draw_arrivals(scenario: &Scenario, duration: Duration, seed: u64) -> Vec<ScheduledRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for class in scenario.classes {
        let mut at = Duration::ZERO;
        for number in 0.. {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / class.per_second);
            if at >= duration {
                break;
            }
            let customer = class
                .customer
                .unwrap_or(CUSTOMERS[number % CUSTOMERS.len()]);
            requests.push(ScheduledRequest {
                at,
                customer,
                class: *class,
                number,
            });
        }
    }
    requests
}

async fn send(
    request: ScheduledRequest,
    callers: &[(&'static str, Caller)],
    started: Instant,
) -> RequestOutcome {
    sleep_until(started + request.at).await;
    let ask = Ask {
        model: "bucket-assistant".into(),
        text: prompt(&request),
        rank: request.class.rank.into(),
        max_tokens: request.class.answer_tokens,
        is_stream: true,
    };
    let caller = callers.iter().find(|(name, _)| *name == request.customer);
    let answer = match caller {
        Some((_, caller)) => caller.ask(&ask).await.ok(),
        None => None,
    };
    RequestOutcome {
        rank: request.class.rank,
        customer: request.customer,
        answer,
    }
}

/// Returns a prompt whose first half is shared by all prompts of the same customer and rank, so that prefix
/// caches can hit.
fn prompt(request: &ScheduledRequest) -> String {
    let words = request.class.prompt_words;
    let shared = (0..words / 2).map(|i| format!("{}-{}-{i}", request.customer, request.class.rank));
    let unique = (words / 2..words).map(|i| format!("{}-{i}", request.number));
    let mut prompt: Vec<String> = shared.chain(unique).collect();
    prompt.push(format!("len={}", request.class.answer_tokens));
    prompt.join(" ")
}

async fn trigger_incident(fleet: &mut Fleet, incident: Incident, at: Instant) -> Result<()> {
    sleep_until(at).await;
    let vms: Vec<String> = match incident {
        Incident::None => return Ok(()),
        Incident::StoreOutage => {
            return fleet.fault(&fleet.store, &json!({"outage": true})).await;
        }
        Incident::EntryReclaim => vec![fleet.nodes[0].vm.clone()],
        Incident::EngineReclaim => engines(fleet).into_iter().take(2).collect(),
        Incident::ZoneLoss => {
            let zone = fleet.nodes[0].zone;
            let nodes = fleet.nodes.iter().filter(|node| node.zone == zone);
            let backends = fleet.backends.iter().filter(|(b, _)| b.zone == zone);
            nodes
                .map(|node| node.vm.clone())
                .chain(backends.map(|(backend, _)| backend.vm.clone()))
                .collect()
        }
    };
    for vm in &vms {
        fleet.notice(vm, RECLAIM_NOTICE).await?;
    }
    sleep(RECLAIM_NOTICE).await;
    fleet.take_back(&vms);
    Ok(())
}

fn engines(fleet: &Fleet) -> Vec<String> {
    let engines = fleet.backends.iter().filter(|(b, _)| b.kind == "engine");
    engines.map(|(backend, _)| backend.vm.clone()).collect()
}

/// Sums the tokens that the remaining engines have computed. Tokens of reclaimed engines are not counted, as
/// their records are gone.
async fn engine_tokens(fleet: &Fleet, outcomes: &[RequestOutcome]) -> EngineTokens {
    let mut tokens = EngineTokens::default();
    for (backend, process) in &fleet.backends {
        if backend.kind != "engine" {
            continue;
        }
        let Ok(records) = fleet.get(process, "/v1/records").await else {
            continue;
        };
        for record in records.as_array().into_iter().flatten() {
            let number = |key: &str| record[key].as_u64().unwrap_or(0);
            let computed = number("prompt_tokens").saturating_sub(number("cached_tokens"));
            tokens.prompt_computed += computed;
            if number("attempt") > 1 {
                tokens.prompt_computed_again += computed;
            }
        }
    }
    tokens.answer = outcomes
        .iter()
        .filter_map(|outcome| {
            outcome.answer.as_ref()?.usage.as_ref()?["completion_tokens"].as_u64()
        })
        .sum();
    tokens
}
