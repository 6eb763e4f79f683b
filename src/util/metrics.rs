//! Metrics in Prometheus form.

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bounds of histograms of seconds, from a token's interval to the longest deadline.
const SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.055, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// Starts to collect metrics. Returns what renders them.
///
/// # Errors
///
/// Fails where metrics are collected already.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), SECONDS)
        .wrap_err("setting the bounds of histograms")?
        .install_recorder()
        .wrap_err("starting to collect metrics")
}
