//! Fault injection: draws the fault schedule from a seed and applies it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use eyre::{Result, eyre};
use jayhall::platform::headers;
use jayhall_harness::{Link, LinkState, StoreFault};
use nix::sys::signal::Signal;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use crate::backend::Mode;
use crate::config::{DRAIN_TIME, PLAIN_SERVICES, STOP_TIMEOUT};
use crate::history::{Moment, Stop, Target};
use crate::world::{ListingState, Node, World, config_version};

/// Mean time between two faults that are not simultaneous.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(1100);
/// Probability that the next fault starts at the same time.
const SIMULTANEOUS_PROBABILITY: f64 = 0.25;
/// Time after a crash until the entry of the back end is deleted: one and a half heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1500);
/// Limit on the restores of the store in a run.
const MAX_RESTORES: u32 = 2;
/// Random sequence from which restores are drawn.
const RESTORE_STREAM: u64 = 1;
/// Time for which a link in the state `Reset` resets connections.
const RESET_DURATION: Duration = Duration::from_millis(60);

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
}

/// Draws the fault schedule of a run, with start times relative to the start of the run.
pub(crate) fn plan(seed: u64, from: Moment, to: Moment, nodes: usize) -> Vec<(Moment, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = from;
    let mut plan = Vec::new();
    while at < to {
        plan.push((at, draw(&mut rng, nodes)));
        if !rng.random_bool(SIMULTANEOUS_PROBABILITY) {
            at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
        }
    }
    plan
}

/// Draws restores of the store, from a random sequence of their own: the other faults of a seed stay as they are.
pub(crate) fn plan_restores(seed: u64, from: Moment, to: Moment) -> Vec<(Moment, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(RESTORE_STREAM);
    let count = rng.random_range(0..=MAX_RESTORES);
    let mut draw = || {
        let at = from + (to - from).mul_f64(rng.random());
        let fault = Fault::RestoreStore {
            age: Duration::from_millis(rng.random_range(500..9000)),
            away: Duration::from_millis(rng.random_range(200..3000)),
        };
        (at, fault)
    };
    (0..count).map(|_| draw()).collect()
}

fn draw(rng: &mut ChaCha8Rng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let time = Duration::from_millis(rng.random_range(300..4000));
    let down = Duration::from_millis(rng.random_range(100..2500));
    let draw: f64 = rng.random();
    match rng.random_range(0..100) {
        0..9 => Fault::Kill { node, down },
        9..11 => Fault::KillAll { down },
        11..19 => Fault::Stop { node, down },
        19..26 => Fault::Freeze { node, time },
        26..28 => Fault::HangUp { node },
        28..35 => Fault::CallersLink {
            node,
            state: link_state(rng),
            time,
        },
        35..45 => Fault::StoreLink {
            node,
            state: link_state(rng),
            time,
        },
        45..49 => Fault::CloudLink {
            node,
            state: link_state(rng),
            time,
        },
        49..57 => Fault::Store {
            fault: store_fault(rng),
            time,
        },
        57..63 => Fault::BackendCrash { draw },
        63..71 => Fault::BackendLeaves {
            draw,
            says_so: rng.random_bool(0.7),
        },
        71..83 => Fault::BackendLink {
            draw,
            state: backend_link_state(rng),
            time,
        },
        83..91 => Fault::BackendMode {
            draw,
            mode: mode(rng),
            time,
        },
        _ => Fault::Configure,
    }
}

fn link_state(rng: &mut ChaCha8Rng) -> LinkState {
    match rng.random_range(0..5) {
        0 => LinkState::Delayed(Duration::from_millis(rng.random_range(20..300))),
        1 => LinkState::CutForward,
        2 => LinkState::CutBack,
        3 => LinkState::Silent,
        _ => LinkState::Reset,
    }
}

fn backend_link_state(rng: &mut ChaCha8Rng) -> LinkState {
    match rng.random_range(0..6) {
        0 => LinkState::Stray(&STRAY_ANSWER),
        _ => link_state(rng),
    }
}

fn store_fault(rng: &mut ChaCha8Rng) -> StoreFault {
    match rng.random_range(0..5) {
        0 => StoreFault::Refuse(503),
        1 => StoreFault::Refuse(429),
        2 => StoreFault::Slow(Duration::from_millis(rng.random_range(50..800))),
        3 => StoreFault::LoseAnswers,
        _ => StoreFault::Forgetful,
    }
}

fn mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..3) {
        0 => Mode::Failing,
        1 => Mode::LosesAnswers,
        _ => Mode::BreaksOff,
    }
}

/// Applies a fault and reverts it after its duration.
///
/// # Errors
///
/// Fails if a process cannot be signalled or started.
pub(crate) async fn apply(world: Arc<World>, fault: Fault) -> Result<()> {
    match fault {
        Fault::Kill { node, down } => kill(&world, &[node], down).await,
        Fault::KillAll { down } => {
            let all: Vec<_> = (0..world.nodes.len()).collect();
            kill(&world, &all, down).await
        }
        Fault::Stop { node, down } => stop(&world, node, down).await,
        Fault::Freeze { node, time } => freeze(&world, node, time).await,
        Fault::HangUp { node } => signal(&world.nodes[node], Signal::SIGHUP),
        Fault::CallersLink { node, state, time } => {
            inject_link_fault(
                &world,
                &world.nodes[node].caller_link,
                Target::Node(node),
                state,
                time,
            )
            .await
        }
        Fault::StoreLink { node, state, time } => {
            inject_link_fault(
                &world,
                &world.nodes[node].store_link,
                Target::Node(node),
                state,
                time,
            )
            .await
        }
        Fault::CloudLink { node, state, time } => {
            inject_link_fault(
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
        Fault::BackendCrash { draw } => crash(&world, draw).await,
        Fault::BackendLeaves { draw, says_so } => leave(&world, draw, says_so).await,
        Fault::BackendLink { draw, state, time } => match world.pick_backend(draw) {
            Some(backend) => {
                let target = Target::Backend(backend.number);
                inject_link_fault(&world, &backend.link, target, state, time).await
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
    }
}

/// Sends a signal to a node, unless it is down.
fn signal(node: &Node, signal: Signal) -> Result<()> {
    match &*node.process.lock() {
        Some(process) => process.signal(signal),
        None => Ok(()),
    }
}

async fn kill(world: &World, nodes: &[usize], down: Duration) -> Result<()> {
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

async fn stop(world: &World, number: usize, down: Duration) -> Result<()> {
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
    let disturbance = world.history.begin_disturbance(Target::Node(number));
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

async fn freeze(world: &World, number: usize, time: Duration) -> Result<()> {
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

async fn inject_link_fault(
    world: &World,
    link: &Link,
    target: Target,
    state: LinkState,
    time: Duration,
) -> Result<()> {
    let _disturbance = world.history.begin_disturbance(target);
    link.set(state);
    let time = match state {
        LinkState::Reset => RESET_DURATION,
        _ => time,
    };
    tokio::time::sleep(time).await;
    link.set(LinkState::Open);
    Ok(())
}

async fn crash(world: &World, draw: f64) -> Result<()> {
    let Some(backend) = world.pick_backend(draw) else {
        return Ok(());
    };
    // The back end never recovers, so the fault has no end.
    std::mem::forget(
        world
            .history
            .begin_disturbance(Target::Backend(backend.number)),
    );
    backend.crash();
    tokio::time::sleep(ENTRY_EXPIRY).await;
    world
        .set_listing(backend.number, ListingState::Gone)
        .await?;
    world.add_backend(backend.service, backend.zone).await
}

async fn leave(world: &World, draw: f64, says_so: bool) -> Result<()> {
    let Some(backend) = world.pick_backend(draw) else {
        return Ok(());
    };
    world.add_backend(backend.service, backend.zone).await?;
    let listed = match says_so {
        true => ListingState::Draining,
        false => ListingState::Gone,
    };
    world.set_listing(backend.number, listed).await?;
    // The back end serves for twice the drain period, longer than required.
    tokio::time::sleep(DRAIN_TIME * 2).await;
    if says_so {
        world
            .set_listing(backend.number, ListingState::Gone)
            .await?;
    }
    std::mem::forget(
        world
            .history
            .begin_disturbance(Target::Backend(backend.number)),
    );
    backend.crash();
    Ok(())
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
