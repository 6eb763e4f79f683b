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

use super::outcome::{Asked, EngineTokens, ScenarioReport};
use super::scenario::{Incident, Kind, Scenario};

/// Customers in the fleet's configuration document.
const CUSTOMERS: [&str; 5] = [
    "bekele",
    "hawassa-hoops",
    "selam",
    "grand-hotel",
    "kiln-club",
];
/// Time between the notice and the reclaim of a VM.
const NOTICE: Duration = Duration::from_secs(8);

/// A request with the time at which it is sent.
struct Due {
    at: Duration,
    customer: &'static str,
    kind: Kind,
    number: usize,
}

/// Runs a scenario; its incident begins after a third of the time.
pub(crate) async fn run(
    fleet: &mut Fleet,
    scenario: &Scenario,
    seconds: u64,
    seed: u64,
) -> Result<ScenarioReport> {
    let length = Duration::from_secs(seconds);
    let due = arrivals(scenario, length, seed);
    let callers: Vec<(&str, Caller)> = CUSTOMERS
        .iter()
        .map(|customer| (*customer, fleet.caller(customer)))
        .collect();
    let begun = Instant::now();
    let asked = due.into_iter().map(|due| ask(due, &callers, begun));
    let (asked, incident) = tokio::join!(
        join_all(asked),
        happen(fleet, scenario.incident, begun + length / 3)
    );
    incident?;
    let tokens = engine_tokens(fleet, &asked).await;
    Ok(ScenarioReport::new(scenario.name, &asked, tokens))
}

/// Draws the arrival times of all requests; each kind arrives as a Poisson process.
fn arrivals(scenario: &Scenario, length: Duration, seed: u64) -> Vec<Due> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut due = Vec::new();
    for kind in scenario.kinds {
        let mut at = Duration::ZERO;
        for number in 0.. {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / kind.per_second);
            if at >= length {
                break;
            }
            let customer = kind.customer.unwrap_or(CUSTOMERS[number % CUSTOMERS.len()]);
            due.push(Due {
                at,
                customer,
                kind: *kind,
                number,
            });
        }
    }
    due
}

async fn ask(due: Due, callers: &[(&'static str, Caller)], begun: Instant) -> Asked {
    sleep_until(begun + due.at).await;
    let ask = Ask {
        model: "bucket-assistant".into(),
        text: prompt(&due),
        rank: due.kind.rank.into(),
        max_tokens: due.kind.answer_tokens,
        is_stream: true,
    };
    let caller = callers.iter().find(|(name, _)| *name == due.customer);
    let answer = match caller {
        Some((_, caller)) => caller.ask(&ask).await.ok(),
        None => None,
    };
    Asked {
        rank: due.kind.rank,
        customer: due.customer,
        answer,
    }
}

/// Returns a prompt whose first half is shared by all prompts of the same customer and rank, so that prefix
/// caches can hit.
fn prompt(due: &Due) -> String {
    let words = due.kind.prompt_words;
    let shared = (0..words / 2).map(|i| format!("{}-{}-{i}", due.customer, due.kind.rank));
    let own = (words / 2..words).map(|i| format!("{}-{i}", due.number));
    let mut prompt: Vec<String> = shared.chain(own).collect();
    prompt.push(format!("len={}", due.kind.answer_tokens));
    prompt.join(" ")
}

async fn happen(fleet: &mut Fleet, incident: Incident, at: Instant) -> Result<()> {
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
        fleet.notice(vm, NOTICE).await?;
    }
    sleep(NOTICE).await;
    fleet.take_back(&vms);
    Ok(())
}

fn engines(fleet: &Fleet) -> Vec<String> {
    let engines = fleet.backends.iter().filter(|(b, _)| b.kind == "engine");
    engines.map(|(backend, _)| backend.vm.clone()).collect()
}

/// Sums the tokens that the remaining engines have computed. Tokens of reclaimed engines are not counted, as
/// their records are gone.
async fn engine_tokens(fleet: &Fleet, asked: &[Asked]) -> EngineTokens {
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
    tokens.answer = asked
        .iter()
        .filter_map(|asked| asked.answer.as_ref()?.usage.as_ref()?["completion_tokens"].as_u64())
        .sum();
    tokens
}
