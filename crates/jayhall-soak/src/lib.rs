//! Soak test: runs gateways as separate processes under random faults and checks their guarantees from
//! the outside.
//!
//! The seed determines the fault schedule: processes are killed, suspended and stopped; links are cut in
//! one direction, blackholed, delayed and reset; the store refuses requests, responds slowly, drops
//! responses and discards its history; back ends crash, drain and misbehave; the configuration changes.
//! Callers send calls throughout. Everything else depends on timing, so a seed reproduces the fault
//! schedule but not the exact interleaving.

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

/// Fault-free time before the first fault.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time after the last fault within which all nodes have to serve calls again.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Fault-free time at the end of a run, in which calls have to be served and usage windows reported.
const VERIFICATION_TIME: Duration = Duration::from_secs(8);
/// Number of concurrent callers in a run.
const CALLER_COUNT: u64 = 24;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Number of gateways, at most 7.
    pub nodes: usize,
    /// Length of the period in which faults start.
    pub time: Duration,
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

/// Executes one run. `slot` is unique among the concurrent runs of a process and less than 32. The
/// settings and logs of the nodes remain in `dir`.
///
/// # Errors
///
/// Fails if the run cannot be set up or a fault cannot be applied. Violations are part of the report.
pub async fn run(plan: Plan, slot: u8, dir: &Path) -> Result<Report> {
    std::fs::create_dir_all(dir).wrap_err("creating the directory of the run")?;
    let world = World::spawn(slot, plan.nodes, dir).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let seed = plan.seed.wrapping_mul(CALLER_COUNT).wrapping_add(caller);
            tokio::spawn(callers::run(Arc::clone(&world), seed, Arc::clone(&is_over)))
        })
        .collect();
    let from = world.history.now() + WARM_UP_TIME;
    let to = from + plan.time;
    let mut faults = faults::plan(plan.seed, from, to, plan.nodes);
    faults.extend(faults::plan_restores(plan.seed, from, to));
    faults.sort_by_key(|(at, _)| *at);
    faults::play(&world, &faults).await?;
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
            .map(|(at, fault)| format!("{:.2} s: {fault:?}", at.as_secs_f64()))
            .collect(),
        violations: checks::check(&events, span),
    })
}
