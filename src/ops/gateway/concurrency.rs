//! Adjusts the learned limits of back ends, and reports them in metrics and log.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::state::GatewayState;
use crate::core::gateway::backends::Backends;
use crate::core::gateway::concurrency::{ConcurrencyLimit, LimitChange};
use crate::core::gateway::routes::ServiceName;
use crate::util::time::as_millis_u64;

/// Interval between adjustments.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);
/// Limit on the lines that are logged in one round.
const MAX_LINES_PER_ROUND: usize = 2;

/// Limits of a service's back ends.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLimits {
    backends: u32,
    reduced: u32,
    /// Sum of the limits, as fractions of the places.
    fractions: f64,
}

/// Adjusts the limits until the task is dropped.
pub async fn run(state: Arc<GatewayState>) {
    let mut recorded_at = state.now();
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let now = state.now();
        let changes = state.backends.lock().adjust_limits(now);
        log_changes(&changes);
        if now.saturating_sub(recorded_at) >= METRICS_INTERVAL {
            recorded_at = now;
            let limits = limits_by_service(&state.backends.lock());
            record_metrics(&limits);
        }
    }
}

fn limits_by_service(backends: &Backends) -> HashMap<ServiceName, ServiceLimits> {
    let mut limits: HashMap<ServiceName, ServiceLimits> = HashMap::new();
    for entry in backends.iter() {
        let limit = entry.concurrency();
        let service = limits.entry(entry.backend.service.clone()).or_default();
        service.backends += 1;
        service.reduced += u32::from(limit.is_some_and(ConcurrencyLimit::is_reduced));
        service.fractions += limit.map_or(1.0, ConcurrencyLimit::fraction);
    }
    limits
}

fn record_metrics(limits: &HashMap<ServiceName, ServiceLimits>) {
    for (service, limits) in limits {
        let name = service.to_string();
        metrics::gauge!("jayhall_gateway_reduced_backends", "service" => name.clone())
            .set(limits.reduced);
        metrics::gauge!("jayhall_gateway_mean_concurrency_limit", "service" => name)
            .set(limits.fractions / f64::from(limits.backends.max(1)));
    }
}

/// Logs decreases, and increases up to the number of places; the steps between them are regular.
fn log_changes(changes: &[(Box<str>, LimitChange)]) {
    let notable = changes.iter().filter(|(_, change)| change.is_notable());
    let left_out = notable.clone().count().saturating_sub(MAX_LINES_PER_ROUND);
    for (backend, change) in notable.take(MAX_LINES_PER_ROUND) {
        tracing::info!(
            backend = &**backend,
            before = change.before,
            after = change.after,
            places = change.places,
            samples = change.samples.round(),
            newest_ms = as_millis_u64(change.age),
            left_out,
            "concurrency limit of a back end changed"
        );
    }
}
