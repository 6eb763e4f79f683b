//! Callers that read large responses of one node slowly.

use std::sync::Arc;

use futures::future::join_all;

use crate::caller::Call;
use crate::config::{UNLIMITED, route};
use crate::history::Kind;
use crate::slow_reader;
use crate::world::World;

/// Lets `readers` callers read a large response of a node each, at the same time.
pub(super) async fn read_slowly(world: &Arc<World>, node: usize, readers: usize) {
    let calls = (0..readers).map(|_| Call {
        id: format!("{:016x}", rand::random::<u64>()).into(),
        node,
        route: route(Kind::Large),
        customer: UNLIMITED[0],
        abandoned_after: None,
    });
    join_all(calls.map(|call| slow_reader::run(Arc::clone(world), call))).await;
}
