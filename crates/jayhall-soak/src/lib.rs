//! Runs gateways as separate processes under random faults, and checks the promises from outside.
//!
//! A seed decides the series of faults: processes are killed, suspended and stopped, links are cut one
//! way, silenced, delayed and reset, the store refuses, is slow, loses answers and forgets its history,
//! back ends crash, leave and do wrong, and the configuration changes. Callers go on all the while. What
//! happens beside the faults depends on timing, so that a seed repeats the faults and not each step.

mod backend;
mod callers;
pub mod checks;
mod cloud;
mod config;
mod faults;
pub mod history;
mod world;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

use checks::{Span, Violation};
use world::World;

/// Calm time before the first fault.
const BEFORE: Duration = Duration::from_secs(2);
/// Time after the last fault until everything serves again.
const RECOVERY: Duration = Duration::from_secs(10);
/// Calm time at the end in which calls are served and windows of usage are reported.
const AFTER: Duration = Duration::from_secs(8);
/// Callers of one run.
const CALLERS: u64 = 24;

/// What a run is like.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Decides the faults.
    pub seed: u64,
    /// Gateways, 7 at most.
    pub nodes: usize,
    /// Time in which faults begin.
    pub time: Duration,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Calls of all callers.
    pub calls: usize,
    /// Calls with a success.
    pub served: usize,
    /// Faults, as they were planned.
    pub faults: Vec<String>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Plays one run. `slot` tells runs of one process beside each other apart; it is below 32. Settings and
/// logs of the nodes are left in `dir`.
///
/// # Errors
///
/// Fails where the run cannot be set up or a fault not be applied; broken promises are in the report.
pub async fn run(plan: Plan, slot: u8, dir: &Path) -> Result<Report> {
    std::fs::create_dir_all(dir).wrap_err("making the folder of a run")?;
    let world = World::spawn(slot, plan.nodes, dir).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let seed = plan.seed.wrapping_mul(CALLERS).wrapping_add(caller);
            tokio::spawn(callers::run(Arc::clone(&world), seed, Arc::clone(&is_over)))
        })
        .collect();
    let from = world.history.now() + BEFORE;
    let faults = faults::plan(plan.seed, from, from + plan.time, plan.nodes);
    faults::play(&world, &faults).await?;
    let recovered = world.history.now() + RECOVERY;
    tokio::time::sleep(RECOVERY + AFTER).await;
    let end = world.history.now();
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller
            .await
            .map_err(|e| eyre!("a caller ended early: {e}"))?;
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
            .map(|(at, fault)| format!("{:.2} s: {fault:?}", at.as_secs_f64()))
            .collect(),
        violations: checks::check(&events, span),
    })
}
