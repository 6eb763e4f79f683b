//! Soak test: runs gateways as separate processes under random faults and checks their guarantees from
//! the outside.
//!
//! The seed determines the fault schedule: processes are killed, suspended and stopped; links are cut in
//! one direction, blackholed, delayed and reset; the store refuses requests, responds slowly, drops
//! responses and discards its history; back ends crash, drain and misbehave; the configuration changes.
//! Then follow troubles in groups: back ends that fall silent together and go on, series of graceful stops
//! and slow readers beside configuration changes; or nodes that restart together and links between nodes
//! that are slow or cut. Callers send calls throughout, two customers far beyond their limits. Everything else depends on timing, so a seed reproduces the fault
//! schedule but not the exact interleaving.

mod backend;
mod bodies;
mod caller;
mod callers;
pub mod checks;
mod cloud;
mod config;
mod faults;
pub mod history;
mod node;
mod paced;
mod slow_reader;
mod world;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

use callers::{Calls, NodeChoice};
use checks::{Span, Violation};
use faults::Fault;
use history::Moment;
use tokio::task::JoinHandle;
use world::World;

/// Fault-free time before the first fault.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time after the last fault within which all nodes have to serve calls again.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Fault-free time at the end of a run, in which calls have to be served and usage windows reported.
const VERIFICATION_TIME: Duration = Duration::from_secs(8);
/// Fault-free time between the general faults and the troubles.
const PAUSE_TIME: Duration = Duration::from_secs(6);
/// Number of callers in a run that send a random series of calls, and of those that send long streams.
const CALLER_COUNTS: (u64, u64) = (24, 15);
/// Number of both.
const CALLER_COUNT: u64 = CALLER_COUNTS.0 + CALLER_COUNTS.1;
/// Of this number of callers, one keeps its connection as long as the node answers.
const CALLERS_PER_KEPT_CONNECTION: u64 = 3;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Number of gateways, at most 250.
    pub nodes: usize,
    /// Length of the period in which general faults start; there are none if it is zero.
    pub time: Duration,
    /// Length of the period in which troubles start; there are none if it is zero.
    pub trouble_time: Duration,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of calls sent by all callers.
    pub calls: usize,
    /// Number of calls answered with a success status.
    pub served: usize,
    /// Fault schedule, one line per fault.
    pub faults: Vec<String>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

/// Executes one run. `slot` is unique among the concurrent runs of a process, which together have less than 256 runs
/// and nodes. The settings and logs of the nodes remain in `dir`.
///
/// # Errors
///
/// Fails if the run cannot be set up or a fault cannot be applied. Violations are part of the report.
pub async fn run(plan: Plan, slot: u8, dir: &Path) -> Result<Report> {
    std::fs::create_dir_all(dir).wrap_err("creating the directory of the run")?;
    let world = World::spawn(slot, plan.nodes, dir).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&world, plan.seed, &is_over);
    let mut faults = play_general(&world, plan).await?;
    faults.extend(play_troubles(&world, plan).await?);
    let recovered = world.history.now() + RECOVERY_TIME;
    tokio::time::sleep(RECOVERY_TIME + VERIFICATION_TIME).await;
    let end = world.history.now();
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|e| eyre!("caller task failed: {e}"))?;
    }
    let span = Span {
        recovered,
        end,
        wall_start: world.history.wall_start,
    };
    let events = world.history.lock();
    Ok(Report {
        calls: events.attempts.len(),
        served: events
            .attempts
            .iter()
            .filter(|a| a.outcome.is_success())
            .count(),
        faults: faults
            .iter()
            .map(|(at, fault)| format!("{:.2} s: {fault}", at.as_secs_f64()))
            .collect(),
        violations: checks::check(&events, span),
    })
}

fn start_callers(world: &Arc<World>, seed: u64, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let seed_of = |caller: u64| {
        let count = CALLER_COUNT + paced::DEMANDS.len() as u64;
        seed.wrapping_mul(count).wrapping_add(caller)
    };
    let mixed = (0..CALLER_COUNT).map(|caller| {
        let choice = match caller % CALLERS_PER_KEPT_CONNECTION {
            0 => NodeChoice::Same,
            _ => NodeChoice::Listed,
        };
        let calls = match caller < CALLER_COUNTS.0 {
            true => Calls::Mixed,
            false => Calls::LongStreams,
        };
        let is_over = Arc::clone(is_over);
        tokio::spawn(callers::run(
            Arc::clone(world),
            seed_of(caller),
            calls,
            choice,
            is_over,
        ))
    });
    let paced = (CALLER_COUNT..)
        .zip(paced::DEMANDS)
        .map(|(caller, demand)| {
            let is_over = Arc::clone(is_over);
            tokio::spawn(paced::run(
                Arc::clone(world),
                seed_of(caller),
                demand,
                is_over,
            ))
        });
    mixed.chain(paced).collect()
}

/// Plays the general faults of a run.
async fn play_general(world: &Arc<World>, plan: Plan) -> Result<Vec<(Moment, Fault)>> {
    if plan.time.is_zero() {
        return Ok(Vec::new());
    }
    let from = world.history.now() + WARM_UP_TIME;
    let to = from + plan.time;
    let mut faults = faults::plan(plan.seed, from, to, plan.nodes);
    faults.extend(faults::plan_restores(plan.seed, from, to));
    faults.sort_by_key(|(at, _)| *at);
    faults::play(world, &faults).await?;
    Ok(faults)
}

/// Plays the troubles of a run.
async fn play_troubles(world: &Arc<World>, plan: Plan) -> Result<Vec<(Moment, Fault)>> {
    if plan.trouble_time.is_zero() {
        return Ok(Vec::new());
    }
    let from = world.history.now() + PAUSE_TIME;
    let to = from + plan.trouble_time;
    let mut faults = faults::plan_troubles(plan.seed, from, to, plan.nodes);
    faults.sort_by_key(|(at, _)| *at);
    faults::play(world, &faults).await?;
    Ok(faults)
}
