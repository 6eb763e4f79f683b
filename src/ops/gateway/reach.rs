//! Notes whether this node reaches the back ends of each service, and probes those from which it is cut off.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::attempt::GatewayContext;
use crate::core::gateway::reachability::Change;

/// Interval between two attempts to connect to a back end while the node is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Records that a back end was reached.
pub fn note_reached(cx: &GatewayContext, service: &str) {
    if cx.state.reach.lock().record_reached(service) == Change::Regained {
        cx.state.backends.lock().reset_backoff(service);
        tracing::info!(dependency = "back ends", service, "dependency reached");
    }
}

/// Records that no connection to a back end could be made.
pub fn note_unreached(cx: &GatewayContext, service: &str, backend: &str) {
    let now = cx.state.now();
    let listed = {
        let backends = cx.state.backends.lock();
        backends.accepting(service, now).count()
    };
    let mut reach = cx.state.reach.lock();
    if reach.record_unreached(service, backend, listed.max(1)) == Change::CutOff {
        drop(reach);
        tracing::warn!(
            dependency = "back ends",
            service,
            backend,
            listed,
            "dependency lost; other nodes forward the calls of this one"
        );
    }
}

/// Tries to connect to back ends from which this node is cut off until the task is dropped.
pub async fn probe(cx: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let services: Vec<_> = cx.state.reach.lock().cut_off().cloned().collect();
        for service in services {
            probe_service(&cx, &service).await;
        }
    }
}

async fn probe_service(cx: &GatewayContext, service: &str) {
    let address = {
        let now = cx.state.now();
        let backends = cx.state.backends.lock();
        let accepting = backends.accepting(service, now);
        let addresses = accepting.map(|entry| entry.backend.address);
        addresses.choose(&mut rand::rng())
    };
    let Some(address) = address else {
        return;
    };
    match cx.pool.connect(address).await {
        Ok(()) => note_reached(cx, service),
        Err(e) => tracing::debug!(service, error = %e, "back ends still not reached"),
    }
}
