//! Customers that send calls at a steady rate over all nodes, whether earlier calls have ended or not.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::MissedTickBehavior;

use crate::caller::{Call, Caller};
use crate::config::{BELOW_LIMIT, Customer, LARGE_FLOOD, SMALL_FLOOD, UNITS_PER_CALL, route};
use crate::history::Kind;
use crate::world::World;

/// Concurrent calls of a customer. Calls beyond are not sent.
const MAX_CONCURRENT_CALLS: usize = 100;

/// A customer and the rate of its calls, as a multiple of its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    customer: Customer,
    of_limit: f64,
}

/// Customers that send calls at a steady rate: two far beyond their limits, and one below.
pub(crate) const DEMANDS: [Demand; 3] = [
    Demand {
        customer: SMALL_FLOOD,
        of_limit: 6.0,
    },
    Demand {
        customer: LARGE_FLOOD,
        of_limit: 3.0,
    },
    Demand {
        customer: BELOW_LIMIT,
        of_limit: 0.5,
    },
];

/// Sends the calls of one customer until `is_over` is set.
pub(crate) async fn run(world: Arc<World>, seed: u64, demand: Demand, is_over: Arc<AtomicBool>) {
    let (rate, _) = demand.customer.limit;
    let interval = f64::from(UNITS_PER_CALL) / (rate * demand.of_limit);
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(interval));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut caller = Caller::new(world, seed);
    let places = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    while !is_over.load(Ordering::Relaxed) {
        ticks.tick().await;
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let Some(node) = caller.pick_node().await else {
            continue;
        };
        let call = Call {
            id: caller.draw_id(),
            node,
            route: route(Kind::Idempotent),
            customer: demand.customer,
            abandoned_after: None,
        };
        let call = caller.send(call);
        tokio::spawn(async move {
            call.await;
            drop(place);
        });
    }
    // Waits for the calls under way, so that the history is complete.
    let _all = places.acquire_many(MAX_CONCURRENT_CALLS as u32).await;
}
