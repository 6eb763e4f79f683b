//! Fault injection: draws the fault schedule from a seed and applies it.

mod backends;
mod display;
mod links;
mod nodes;
mod readers;
mod schedule;
mod troubles;

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use eyre::{Result, eyre};
use futures::future::try_join_all;
use jayhall::platform::headers;
use jayhall_harness::{LinkState, StoreFault};
use nix::sys::signal::Signal;

use crate::backend::Mode;
use crate::config::PLAIN_SERVICES;
use crate::history::{Moment, Target};
use crate::world::{World, config_version};

pub(crate) use schedule::{plan, plan_restores};
pub(crate) use troubles::plan_troubles;

/// Time after a crash until the entry of the back end is deleted: one and a half heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1500);
/// Response without a request, as a defective back end sends it.
static STRAY_ANSWER: LazyLock<String> = LazyLock::new(|| {
    format!(
        "HTTP/1.1 200 OK\r\n{}: stray\r\nContent-Length: 5\r\n\r\nstray",
        headers::ATTEMPT
    )
});

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Kills a node and restarts it after `down`.
    Kill { node: usize, down: Duration },
    /// Kills all nodes simultaneously and restarts them after `down`.
    KillAll { down: Duration },
    /// Stops a node gracefully and restarts it after `down`.
    Stop { node: usize, down: Duration },
    /// Suspends a node's process for `time`.
    Freeze { node: usize, time: Duration },
    /// Sends SIGHUP to a node, which reloads unchanged settings.
    HangUp { node: usize },
    /// Injects a fault into the link between callers and a node.
    CallersLink {
        node: usize,
        state: LinkState,
        time: Duration,
    },
    /// Injects a fault into the link between a node and the store.
    StoreLink {
        node: usize,
        state: LinkState,
        time: Duration,
    },
    /// Injects a fault into the link between a node and the cloud.
    CloudLink {
        node: usize,
        state: LinkState,
        time: Duration,
    },
    /// Injects a fault into the store, for all nodes.
    Store { fault: StoreFault, time: Duration },
    /// Replaces the store's data, after it has refused all calls for `away`, by a copy from the begin of the
    /// fault, which is then `age` old.
    RestoreStore { age: Duration, away: Duration },
    /// Crashes a back end, and starts a replacement.
    BackendCrash { draw: f64 },
    /// Drains a back end, or deletes its entry without draining, and starts a replacement.
    BackendLeaves { draw: f64, says_so: bool },
    /// Injects a fault into the link to a back end.
    BackendLink {
        draw: f64,
        state: LinkState,
        time: Duration,
    },
    /// Sets the failure mode of a back end.
    BackendMode {
        draw: f64,
        mode: Mode,
        time: Duration,
    },
    /// Writes a configuration version that moves a route to the other service.
    Configure,
    /// Silences a part of the back ends together, which then go on with the same calls.
    Silence {
        services: Services,
        /// Fraction of the back ends.
        share: f64,
        /// Seed of the order from which the back ends are taken.
        order: u64,
        time: Duration,
    },
    /// Large responses of a node are read slowly.
    SlowReaders { node: usize, readers: usize },
    /// Kills the given number of nodes, from `first` on, together and restarts them after `down`.
    KillMany {
        first: usize,
        count: usize,
        down: Duration,
    },
    /// Suspends the given number of nodes, from `first` on, together.
    FreezeMany {
        first: usize,
        count: usize,
        time: Duration,
    },
    /// Delays all links between nodes.
    PeerDelay { delay: Duration, time: Duration },
    /// Cuts the links between the nodes below `first_part` and the others.
    PeerSplit { first_part: usize, time: Duration },
}

/// Services whose back ends fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Services {
    All,
    Streams,
}

/// Returns the numbers of `count` nodes from `first` on, where the first node follows the last.
fn nodes_from(world: &World, first: usize, count: usize) -> Vec<usize> {
    let nodes = world.nodes.len();
    (0..count.min(nodes))
        .map(|at| (first + at) % nodes)
        .collect()
}

/// Applies a fault and reverts it after its duration.
///
/// # Errors
///
/// Fails if a process cannot be signalled or started.
pub(crate) async fn apply(world: Arc<World>, fault: Fault) -> Result<()> {
    match fault {
        Fault::Kill { node, down } => nodes::kill(&world, &[node], down).await,
        Fault::KillAll { down } => {
            let all: Vec<_> = (0..world.nodes.len()).collect();
            nodes::kill(&world, &all, down).await
        }
        Fault::Stop { node, down } => nodes::stop(&world, node, down).await,
        Fault::Freeze { node, time } => nodes::freeze(&world, node, time).await,
        Fault::HangUp { node } => nodes::signal(&world.nodes[node], Signal::SIGHUP),
        Fault::CallersLink { node, state, time } => {
            links::inject_link_fault(
                &world,
                &world.nodes[node].caller_link,
                Target::Node(node),
                state,
                time,
            )
            .await
        }
        Fault::StoreLink { node, state, time } => {
            links::inject_link_fault(
                &world,
                &world.nodes[node].store_link,
                Target::Node(node),
                state,
                time,
            )
            .await
        }
        Fault::CloudLink { node, state, time } => {
            links::inject_link_fault(
                &world,
                &world.nodes[node].cloud_link,
                Target::Cloud,
                state,
                time,
            )
            .await
        }
        Fault::Store { fault, time } => {
            let _disturbance = world.history.begin_disturbance(Target::Store);
            world.store.set(fault);
            tokio::time::sleep(time).await;
            world.store.set(StoreFault::None);
            Ok(())
        }
        Fault::RestoreStore { age, away } => {
            let copy = world.store.store().copy();
            tokio::time::sleep(age).await;
            let _disturbance = world.history.begin_disturbance(Target::Store);
            world.store.set(StoreFault::Refuse(503));
            tokio::time::sleep(away).await;
            world.restore_store(&copy).await?;
            world.store.set(StoreFault::None);
            // Entries of back ends that have ended expire.
            tokio::time::sleep(ENTRY_EXPIRY).await;
            world.rewrite_departures().await
        }
        Fault::BackendCrash { draw } => backends::crash(&world, draw).await,
        Fault::BackendLeaves { draw, says_so } => backends::leave(&world, draw, says_so).await,
        Fault::BackendLink { draw, state, time } => match world.pick_backend(draw) {
            Some(backend) => {
                let target = Target::Backend(backend.number);
                links::inject_link_fault(&world, &backend.link, target, state, time).await
            }
            None => Ok(()),
        },
        Fault::BackendMode { draw, mode, time } => {
            if let Some(backend) = world.pick_backend(draw) {
                let _disturbance = world
                    .history
                    .begin_disturbance(Target::Backend(backend.number));
                backend.set_mode(mode);
                tokio::time::sleep(time).await;
                backend.set_mode(Mode::Sound);
            }
            Ok(())
        }
        Fault::Configure => {
            let version = world.history.lock().versions.len() as u64;
            let to = PLAIN_SERVICES[(version % 2) as usize];
            world.configure(config_version(version), to).await
        }
        Fault::Silence {
            services,
            share,
            order,
            time,
        } => {
            backends::silence(&world, services, share, order, time).await;
            Ok(())
        }
        Fault::SlowReaders { node, readers } => {
            readers::read_slowly(&world, node, readers).await;
            Ok(())
        }
        Fault::KillMany { first, count, down } => {
            nodes::kill(&world, &nodes_from(&world, first, count), down).await
        }
        Fault::FreezeMany { first, count, time } => {
            let nodes = nodes_from(&world, first, count);
            let frozen = nodes.iter().map(|node| nodes::freeze(&world, *node, time));
            try_join_all(frozen).await.map(drop)
        }
        Fault::PeerDelay { delay, time } => {
            links::delay_peers(&world, delay, time).await;
            Ok(())
        }
        Fault::PeerSplit { first_part, time } => {
            links::split_peers(&world, first_part, time).await;
            Ok(())
        }
    }
}

/// Applies the faults of a schedule at their start times and waits until all have ended.
///
/// # Errors
///
/// Fails with the error of the first fault in the schedule that could not be applied.
pub(crate) async fn play(world: &Arc<World>, plan: &[(Moment, Fault)]) -> Result<()> {
    let mut running = Vec::new();
    for (at, fault) in plan {
        let wait = at.saturating_sub(world.history.now());
        tokio::time::sleep(wait).await;
        running.push(tokio::spawn(apply(Arc::clone(world), *fault)));
    }
    for fault in running {
        fault.await.map_err(|e| eyre!("fault task failed: {e}"))??;
    }
    Ok(())
}
