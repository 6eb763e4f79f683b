//! How many calls at once each back end takes well, learned from the time that calls take there.
//!
//! Designed for services whose back ends differ in speed, some of which slow down long before their places are full,
//! and for fleets in which a node sends a back end less than one call a second. So nodes exchange samples: the
//! occupancy at which a call was placed, and its time in proportion to what this node's calls of the service take on
//! average. That proportion cancels what all back ends have in common, among it an overload of the node itself.
//!
//! The limit of a back end steers placement and never refuses a call.

mod limit;
mod profile;
mod sample;
mod sample_log;

use std::collections::HashMap;
use std::time::Duration;

use super::routes::ServiceName;
use crate::core::time::Moment;

pub use limit::{ConcurrencyLimit, LimitChange};
pub use profile::Profile;
pub use sample::{BANDS, Measured, Sample, SampleStart, band_of};
pub use sample_log::SampleLog;

/// Weight of a call in the moving average of a service's times, once there have been many.
const MEAN_WEIGHT: f64 = 0.02;

/// Samples of a service's back ends together.
#[derive(Debug, Default)]
pub struct ServiceSamples {
    /// Moving average of the time of this node's calls as a multiple of their nominal time.
    mean: f64,
    /// Number of calls in the average.
    calls: u32,
    /// Samples of all back ends of the service.
    pub profile: Profile,
}

impl ServiceSamples {
    /// Returns the time of a call in proportion to the average of this node's calls, and adds it to the average.
    pub fn relative(&mut self, took: Duration, nominal: Duration) -> f64 {
        let ratio = took.as_secs_f64() / nominal.as_secs_f64().max(1e-3);
        self.calls = self.calls.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.calls));
        self.mean += (ratio - self.mean) * weight;
        ratio / self.mean.max(1e-6)
    }
}

/// What this node learns of all back ends together.
#[derive(Debug, Default)]
pub struct ConcurrencySamples {
    services: HashMap<ServiceName, ServiceSamples>,
    /// Samples to report to other nodes.
    pub log: SampleLog,
}

impl ConcurrencySamples {
    /// Returns the samples of a service.
    pub fn service(&mut self, service: &str) -> &mut ServiceSamples {
        self.services.entry(service.into()).or_default()
    }

    /// Forgets services without samples, and nodes that have sent none for long.
    pub fn expire(&mut self, now: Moment) {
        self.log.expire(now);
        self.services
            .retain(|_, samples| !samples.profile.is_empty(now));
    }
}
