//! Learning how many calls each back end takes well; see [`crate::core::gateway::concurrency`].

use std::time::Duration;

use super::{BackendId, Backends, CallPlace, Entry, short_name};
use crate::core::gateway::concurrency::{
    ConcurrencyLimit, ConcurrencySamples, LimitChange, Measured, Sample, band_of,
};
use crate::core::gateway::observed::Observer;
use crate::core::gateway::origin::Origin;
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

impl Backends {
    /// Creates a list of back ends whose limits are learned.
    pub fn learning_limits() -> Self {
        Self {
            samples: Some(ConcurrencySamples::default()),
            ..Self::default()
        }
    }

    /// Returns whether limits are learned.
    pub fn learns_limits(&self) -> bool {
        self.samples.is_some()
    }

    /// Records the time `took` until the back end answered a call or sent its first event.
    pub fn record_time(&mut self, place: &CallPlace, took: Duration, now: Moment) {
        let (Some(samples), Some(start)) = (&mut self.samples, place.sample) else {
            return;
        };
        let service = samples.service(&place.backend.service);
        let relative = service.relative(took, start.nominal);
        self.record_sample(place, Measured::Relative(relative), now);
    }

    /// Records what a call of this node has shown. Its occupancy is the larger one of those when it was placed and now:
    /// nodes know late of each other's calls.
    pub(super) fn record_sample(&mut self, place: &CallPlace, measured: Measured, now: Moment) {
        let (Some(samples), Some(start)) = (&mut self.samples, place.sample) else {
            return;
        };
        let entry = self.entries.get_mut(&place.backend.id);
        let Some(entry) = entry.filter(|e| e.backend.started == place.backend.started) else {
            return;
        };
        let calls = entry.load().calls.max(start.calls);
        let Some(band) = band_of(calls, entry.backend.slots) else {
            return;
        };
        let sample = Sample {
            backend: short_name(&place.backend.id),
            band,
            measured,
        };
        samples.log.push(sample, Observer::Node, now);
        add_sample(entry, samples, &sample, now);
    }

    /// Applies samples of another node or availability zone. Numbers show which of them are new.
    pub fn apply_samples(
        &mut self,
        from: &Origin,
        incarnation: Incarnation,
        reported: &[(u64, Sample)],
        observer: Observer,
        now: Moment,
    ) {
        let Some(samples) = &mut self.samples else {
            return;
        };
        for sample in samples.log.accept(from, incarnation, reported, now) {
            if observer == Observer::Zone {
                samples.log.push(sample, Observer::Zone, now);
            }
            let id = self.by_short_name.get(&sample.backend);
            let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) else {
                continue;
            };
            add_sample(entry, samples, &sample, now);
        }
    }

    /// Returns at most `max` recent samples of `observer` or a smaller group of nodes, with their numbers.
    pub fn samples_to_report(
        &self,
        observer: Observer,
        max: usize,
        now: Moment,
    ) -> Vec<(u64, Sample)> {
        let Some(samples) = &self.samples else {
            return Vec::new();
        };
        let deviates = |backend: u32| {
            let id = self.by_short_name.get(&backend);
            let entry = id.and_then(|id| self.entries.get(id));
            let limit = entry.and_then(Entry::concurrency);
            limit.is_some_and(ConcurrencyLimit::deviates)
        };
        samples.log.to_report(observer, max, deviates, now)
    }

    /// Adjusts all limits to the samples. Returns the changes.
    pub fn adjust_limits(&mut self, now: Moment) -> Vec<(BackendId, LimitChange)> {
        let mut changes = Vec::new();
        let Some(samples) = &mut self.samples else {
            return changes;
        };
        for entry in self.entries.values_mut() {
            let Some(limit) = &mut entry.concurrency else {
                continue;
            };
            let service = samples.service(&entry.backend.service);
            if let Some(change) = limit.adjust(&mut service.profile, now) {
                changes.push((entry.backend.id.clone(), change));
            }
            if limit.is_idle(now) {
                entry.concurrency = None;
            }
        }
        samples.expire(now);
        changes
    }
}

fn add_sample(entry: &mut Entry, samples: &mut ConcurrencySamples, sample: &Sample, now: Moment) {
    let relative = sample.measured.relative();
    let service = samples.service(&entry.backend.service);
    service.profile.add(sample.band, relative, now);
    let slots = entry.backend.slots;
    let limit = entry
        .concurrency
        .get_or_insert_with(|| Box::new(ConcurrencyLimit::new(slots)));
    limit.add(sample, now);
}
