//! Latency that the system adds to a direct connection to an engine.

use std::time::Duration;

use eyre::{Result, ensure};
use jayhall_harness::{Ask, Caller, Fleet};
use serde::Serialize;

use super::outcome::Percentiles;

/// Requests sent in sequence over each path.
const REQUESTS: usize = 60;
/// Tokens in each answer.
const ANSWER_TOKENS: u32 = 20;

/// Latencies of the same requests through the system and directly to an engine, without other load.
#[derive(Debug, Serialize)]
pub(crate) struct Overhead {
    direct_first_token_ms: Percentiles,
    first_token_ms: Percentiles,
    direct_token_interval_ms: Percentiles,
    token_interval_ms: Percentiles,
}

/// Latencies measured over one path.
struct Timings {
    first: Vec<Duration>,
    intervals: Vec<Duration>,
}

/// Measures the direct path, then the path through the system.
pub(crate) async fn measure(fleet: &Fleet) -> Result<Overhead> {
    let system_caller = fleet.caller("bekele");
    let engine = fleet
        .backends
        .iter()
        .find(|(backend, _)| backend.kind == "engine")
        .map(|(_, process)| process.address(""));
    ensure!(engine.is_some(), "the fleet has no engine");
    let direct_caller = fleet
        .caller("bekele")
        .with_nodes(engine.into_iter().collect());
    let direct_timings = measure_requests(&direct_caller, "straight").await?;
    let system_timings = measure_requests(&system_caller, "through").await?;
    Ok(Overhead {
        direct_first_token_ms: Percentiles::of(direct_timings.first),
        first_token_ms: Percentiles::of(system_timings.first),
        direct_token_interval_ms: Percentiles::of(direct_timings.intervals),
        token_interval_ms: Percentiles::of(system_timings.intervals),
    })
}

async fn measure_requests(caller: &Caller, path: &str) -> Result<Timings> {
    let mut timings = Timings {
        first: Vec::new(),
        intervals: Vec::new(),
    };
    for n in 0..REQUESTS {
        let ask = Ask {
            model: "bucket-assistant".into(),
            text: format!("Question {n} asked {path}. len={ANSWER_TOKENS}"),
            rank: "urgent".into(),
            max_tokens: ANSWER_TOKENS,
            is_stream: true,
        };
        let answer = caller.ask(&ask).await?;
        ensure!(answer.is_whole, "an answer asked {path} is incomplete");
        timings.first.extend(answer.first_text);
        timings.intervals.extend(answer.intervals);
    }
    Ok(timings)
}

impl Overhead {
    pub(crate) fn print(&self) {
        println!("\nwithout other load, p50 / p95 / p99 ms");
        println!(
            "  first token:    direct {}, through the system {}",
            self.direct_first_token_ms.text(),
            self.first_token_ms.text()
        );
        println!(
            "  token interval: direct {}, through the system {}",
            self.direct_token_interval_ms.text(),
            self.token_interval_ms.text()
        );
    }
}
