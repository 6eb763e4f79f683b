//! Faults of back ends: crashes, departures and silences.

use std::time::Duration;

use eyre::Result;
use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;
use rand::seq::SliceRandom;

use super::{ENTRY_EXPIRY, Services};
use crate::config::{DRAIN_TIME, STREAM_SERVICE};
use crate::history::Target;
use crate::world::{ListingState, World};

pub(super) async fn crash(world: &World, draw: f64) -> Result<()> {
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

pub(super) async fn leave(world: &World, draw: f64, says_so: bool) -> Result<()> {
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

/// Silences a part of the back ends together.
pub(super) async fn silence(
    world: &World,
    services: Services,
    share: f64,
    order: u64,
    time: Duration,
) {
    let mut backends = world.ready_backends();
    backends.retain(|b| services == Services::All || b.service == STREAM_SERVICE);
    backends.shuffle(&mut ChaCha8Rng::seed_from_u64(order));
    let count = (backends.len() as f64 * share).ceil() as usize;
    join_all(backends.iter().take(count).map(|b| b.silence(time))).await;
}
