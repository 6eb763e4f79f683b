//! The limit of one back end, which follows the samples of its calls.

use std::time::Duration;

use super::profile::Profile;
use super::sample::{BANDS, Sample, band_of, calls_below};
use crate::core::time::Moment;

/// Time after a decrease in which a limit does not grow.
const HOLD: Duration = Duration::from_secs(3);
/// Time between two steps of growth by one call while calls near the limit are as fast as others.
const GROWTH_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two steps of growth while nothing is known of calls near the limit.
const DRIFT_INTERVAL: Duration = Duration::from_secs(2);
/// Ratio of the times near the limit and below it up to which the limit grows.
const MAX_GROWTH_RATIO: f64 = 1.25;
/// Factor of a decrease if nothing is known of calls at low occupancy.
const DECREASE: f64 = 0.5;
/// Smallest limit as a fraction of the places, so that calls still show whether the back end is as slow as before.
const MIN_PART: f64 = 0.125;
/// Factor by which the mean time of a back end's calls deviates enough to be reported first.
const DEVIATION: f64 = 1.3;

/// A change of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before the change.
    pub before: u32,
    /// Limit after it.
    pub after: u32,
    /// Number of places.
    pub places: u32,
    /// Weight of the samples that it is based on.
    pub samples: f64,
    /// Time since the last of these.
    pub age: Duration,
}

impl LimitChange {
    /// Returns whether the limit has fallen or has grown to the number of places.
    pub fn is_notable(&self) -> bool {
        self.after < self.before || self.after == self.places
    }
}

/// Number of calls of all nodes that a back end takes well.
///
/// It falls at once to the occupancy from which on calls are slower, and grows step by step to the number of places
/// unless new samples show the same again: a back end may have recovered, and only calls beyond the limit show it.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    places: u32,
    calls: u32,
    profile: Profile,
    grows_at: Moment,
}

impl ConcurrencyLimit {
    /// Creates the limit of a back end with this number of places, of which nothing is known.
    pub fn new(places: u32) -> Self {
        Self {
            places: places.max(1),
            calls: places.max(1),
            profile: Profile::default(),
            grows_at: Moment::ZERO,
        }
    }

    /// Returns the limit.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Returns the limit as a fraction of the places.
    pub fn fraction(&self) -> f64 {
        f64::from(self.calls) / f64::from(self.places)
    }

    /// Returns whether the limit is below the number of places.
    pub fn is_reduced(&self) -> bool {
        self.calls < self.places
    }

    /// Returns whether the back end differs from the others of its service, so that its samples matter most.
    pub fn deviates(&self) -> bool {
        let mean = self.profile.mean().unwrap_or(1.0);
        self.is_reduced() || !(1.0 / DEVIATION..=DEVIATION).contains(&mean)
    }

    /// Returns whether nothing is left to remember.
    pub fn is_idle(&self, now: Moment) -> bool {
        !self.is_reduced() && self.profile.is_empty(now)
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: &Sample, now: Moment) {
        let relative = sample.measured.relative();
        self.profile.add(sample.band, relative, now);
    }

    /// Adjusts the limit to the samples. `service` has the samples of all back ends of the service. Returns the
    /// change, if there is one.
    pub fn adjust(&mut self, service: &mut Profile, now: Moment) -> Option<LimitChange> {
        self.profile.decay(now);
        service.decay(now);
        let before = self.calls;
        let samples = self.profile.weight();
        let slow_from = self.profile.slow_from(service);
        let is_slow_when_busy = self.profile.is_slow_when_busy(service);
        match slow_from {
            Some(band) => self.lower(calls_below(band, self.places), band, service, now),
            None if is_slow_when_busy => {
                let calls = (f64::from(before) * DECREASE) as u32;
                self.lower(calls, BANDS / 2, service, now);
            }
            None if self.is_reduced() && now >= self.grows_at => self.grow(now),
            None => {}
        }
        (self.calls != before).then(|| LimitChange {
            before,
            after: self.calls,
            places: self.places,
            samples,
            age: self.profile.age(now),
        })
    }

    /// Lowers the limit, unless it is lower already. It remembers the samples from `band` on; growth is to be judged by
    /// new ones.
    fn lower(&mut self, calls: u32, band: usize, service: &mut Profile, now: Moment) {
        self.calls = self.smallest().max(calls).min(self.calls);
        self.grows_at = now + HOLD;
        service.subtract(&self.profile.take_from(band));
    }

    /// Raises the limit by one call, unless calls near it are slower than others.
    fn grow(&mut self, now: Moment) {
        let near_limit = band_of(self.calls, self.places).unwrap_or(BANDS - 1);
        let interval = match self.profile.ratio_from(near_limit) {
            Some(ratio) if ratio > MAX_GROWTH_RATIO => return,
            Some(_) => GROWTH_INTERVAL,
            None => DRIFT_INTERVAL,
        };
        self.calls += 1;
        self.grows_at = now + interval;
    }

    fn smallest(&self) -> u32 {
        (f64::from(self.places) * MIN_PART).ceil() as u32
    }
}
