//! Callers that send a random series of calls of all kinds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;

use crate::caller::{Call, Caller};
use crate::config::{MIXED_ROUTES, OVER_LIMIT, ROUTES, UNLIMITED, route};
use crate::history::{Kind, Outcome};
use crate::world::World;

/// Range of the pause between two calls of a caller, in milliseconds.
const CALL_PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Range of the pause before a long stream, in milliseconds. It is long enough that streams do not start together after
/// a fault has ended others: a usage window counts calls that start at its edges with a tolerance for few.
const LONG_STREAM_PAUSE_MS: std::ops::Range<u64> = 200..4000;
/// Probability that a caller abandons a call.
const ABANDON_PROBABILITY: f64 = 0.06;
/// Range of the time after which a caller abandons a call, in milliseconds.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 40..400;

/// Choice of the node for the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeChoice {
    /// A random node of those that the directory lists.
    Listed,
    /// The node of the last call, over the same connection, until it does not answer any more.
    Same,
}

/// Calls that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Calls {
    /// Calls of all kinds, some of which it abandons.
    Mixed,
    /// Long streams.
    LongStreams,
}

/// Runs one caller until `is_over` is set.
pub(crate) async fn run(
    world: Arc<World>,
    seed: u64,
    calls: Calls,
    choice: NodeChoice,
    is_over: Arc<AtomicBool>,
) {
    let mut caller = Caller::new(world, seed);
    let mut last = None;
    while !is_over.load(Ordering::Relaxed) {
        let pause = caller.rng.random_range(match calls {
            Calls::Mixed => CALL_PAUSE_MS,
            Calls::LongStreams => LONG_STREAM_PAUSE_MS,
        });
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let node = match last {
            Some(node) => Some(node),
            None => caller.pick_node().await,
        };
        if let Some(node) = node {
            let call = match calls {
                Calls::Mixed => draw_call(&mut caller, node),
                Calls::LongStreams => long_stream(&mut caller, node),
            };
            let outcome = caller.send(call).await;
            let is_kept = choice == NodeChoice::Same && outcome != Outcome::NoAnswer;
            last = is_kept.then_some(node);
        }
    }
}

fn draw_call(caller: &mut Caller, node: usize) -> Call {
    let route = ROUTES[caller.rng.random_range(0..MIXED_ROUTES)];
    // Half of the calls are sent by the rate-limited customer.
    let customer = match caller.rng.random_bool(0.5) {
        true => OVER_LIMIT,
        false => UNLIMITED[caller.rng.random_range(0..UNLIMITED.len())],
    };
    let id = caller.draw_id();
    let is_abandoned = caller.rng.random_bool(ABANDON_PROBABILITY);
    let abandoned_after = is_abandoned.then(|| caller.rng.random_range(ABANDON_AFTER_MS));
    Call {
        id,
        node,
        route,
        customer,
        abandoned_after: abandoned_after.map(Duration::from_millis),
    }
}

fn long_stream(caller: &mut Caller, node: usize) -> Call {
    Call {
        id: caller.draw_id(),
        node,
        route: route(Kind::LongStream),
        customer: UNLIMITED[0],
        abandoned_after: None,
    }
}
