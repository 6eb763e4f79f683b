//! Faults of node processes: kills, graceful stops and suspensions.

use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::Result;
use nix::sys::signal::Signal;

use crate::config::STOP_TIMEOUT;
use crate::history::{Stop, Target};
use crate::node::Node;
use crate::world::World;

/// Sends a signal to a node, unless it is down.
pub(super) fn signal(node: &Node, signal: Signal) -> Result<()> {
    match &*node.process.lock() {
        Some(process) => process.signal(signal),
        None => Ok(()),
    }
}

pub(super) async fn kill(world: &World, nodes: &[usize], down: Duration) -> Result<()> {
    let disturbance: Vec<_> = nodes
        .iter()
        .map(|node| world.history.begin_disturbance(Target::Node(*node)))
        .collect();
    for node in nodes {
        // Dropping a process kills it.
        world.nodes[*node].process.lock().take();
    }
    tokio::time::sleep(down).await;
    start(world, nodes)?;
    drop(disturbance);
    Ok(())
}

/// Starts the given nodes, except those that are running or stopping.
fn start(world: &World, nodes: &[usize]) -> Result<()> {
    for node in nodes {
        let node = &world.nodes[*node];
        if node.process.lock().is_none() && !node.is_stopping.load(Ordering::Relaxed) {
            node.start()?;
        }
    }
    Ok(())
}

pub(super) async fn stop(world: &World, number: usize, down: Duration) -> Result<()> {
    let node = &world.nodes[number];
    let at = world.history.now();
    if !begin_stop(node)? {
        return Ok(());
    }
    let ended = wait_for_exit(node).await;
    node.is_stopping.store(false, Ordering::Relaxed);
    let took = world.history.now().saturating_sub(at);
    let stop = match ended {
        StopOutcome::Itself(is_success) => Some((Some(took), is_success)),
        StopOutcome::TooLate => Some((None, false)),
        StopOutcome::Killed => None,
    };
    if let Some((took, is_success)) = stop {
        world.history.lock().stops.push(Stop {
            node: number,
            at,
            took,
            is_success,
        });
    }
    let disturbance = world.history.begin_planned(Target::Node(number));
    tokio::time::sleep(down).await;
    start(world, &[number])?;
    drop(disturbance);
    Ok(())
}

/// Sends SIGTERM to a node, unless it is down or already stopping.
fn begin_stop(node: &Node) -> Result<bool> {
    let process = node.process.lock();
    match &*process {
        Some(process) if !node.is_stopping.swap(true, Ordering::Relaxed) => {
            process.terminate()?;
            Ok(true)
        }
        _ => Ok(false),
    }
}

/// How a process ended after SIGTERM.
enum StopOutcome {
    /// The process exited; the value is whether it succeeded.
    Itself(bool),
    /// Another fault killed the process.
    Killed,
    /// The process exceeded the stop timeout and was killed.
    TooLate,
}

async fn wait_for_exit(node: &Node) -> StopOutcome {
    let deadline = tokio::time::Instant::now() + STOP_TIMEOUT + Duration::from_secs(1);
    while tokio::time::Instant::now() < deadline {
        {
            let mut process = node.process.lock();
            let Some(stopping) = process.as_mut() else {
                return StopOutcome::Killed;
            };
            if let Some(is_success) = stopping.ended() {
                *process = None;
                return StopOutcome::Itself(is_success);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    node.process.lock().take();
    StopOutcome::TooLate
}

pub(super) async fn freeze(world: &World, number: usize, time: Duration) -> Result<()> {
    let node = &world.nodes[number];
    let id = match &*node.process.lock() {
        Some(process) => {
            process.freeze()?;
            process.id()
        }
        None => return Ok(()),
    };
    let _disturbance = world.history.begin_disturbance(Target::Node(number));
    tokio::time::sleep(time).await;
    match &*node.process.lock() {
        Some(process) if process.id() == id => process.thaw(),
        // Another fault ended the suspended process.
        _ => Ok(()),
    }
}
