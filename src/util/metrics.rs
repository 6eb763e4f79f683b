//! Metrics in the Prometheus text format.

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bucket bounds of histograms in seconds, from the interval between tokens to the longest deadline.
const SECONDS_BUCKETS: &[f64] = &[
    0.005, 0.01, 0.025, 0.055, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// Installs the metrics recorder and returns the handle that renders its metrics.
///
/// # Errors
///
/// Fails if a recorder is already installed.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), SECONDS_BUCKETS)
        .wrap_err("setting the bounds of histograms")?
        .install_recorder()
        .wrap_err("starting to collect metrics")
}
