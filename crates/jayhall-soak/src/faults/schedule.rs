//! Draws the general fault schedule of a run from its seed.

use std::time::Duration;

use jayhall_harness::{LinkState, StoreFault};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use super::{Fault, STRAY_ANSWER};
use crate::backend::Mode;
use crate::history::Moment;

/// Mean time between two faults that are not simultaneous.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(1100);
/// Probability that the next fault starts at the same time.
const SIMULTANEOUS_PROBABILITY: f64 = 0.25;
/// Limit on the restores of the store in a run.
const MAX_RESTORES: u32 = 2;
/// Random sequence from which restores are drawn.
const RESTORE_STREAM: u64 = 1;

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
