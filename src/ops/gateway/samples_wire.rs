//! Encoding of the samples of calls, from which nodes learn limits, in some 7 bytes each.

use prost::Message;

use crate::core::gateway::backends::Backends;
use crate::core::gateway::concurrency::Sample;
use crate::core::gateway::observed::Observer;
use crate::core::time::Moment;

/// Limit on the samples in the report of a node, of which one receives up to 80 a second.
const MAX_NODE_SAMPLES: usize = 6;
/// Limit on the samples in the sums over all availability zones together.
const MAX_SAMPLES_OF_ALL_ZONES: usize = 160;

/// Samples of calls, in the order of their numbers.
#[derive(Clone, PartialEq, Message)]
pub struct SamplesWire {
    /// Number of the first sample.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Differences between the number of each other sample and the one before it.
    #[prost(uint32, repeated, tag = "2")]
    pub steps: Vec<u32>,
    /// Short names of the back ends.
    #[prost(fixed32, repeated, tag = "3")]
    pub backends: Vec<u32>,
    /// What the samples show, see [`Sample::code`].
    #[prost(uint32, repeated, tag = "4")]
    pub codes: Vec<u32>,
}

impl SamplesWire {
    /// Returns the samples of this node for its reports, if there are any.
    pub fn of_node(backends: &Backends, now: Moment) -> Option<Self> {
        let samples = backends.samples_to_report(Observer::Node, MAX_NODE_SAMPLES, now);
        (!samples.is_empty()).then(|| Self::from(&samples[..]))
    }

    /// Returns the samples of this node's availability zone for its sums, if there are any.
    pub fn of_zone(backends: &Backends, zones: usize, now: Moment) -> Option<Self> {
        let max = MAX_SAMPLES_OF_ALL_ZONES / zones.max(1);
        let samples = backends.samples_to_report(Observer::Zone, max, now);
        (!samples.is_empty()).then(|| Self::from(&samples[..]))
    }

    /// Returns the samples with their numbers.
    pub fn samples(&self) -> Vec<(u64, Sample)> {
        let mut number = self.first;
        let mut steps = self.steps.iter();
        let mut samples = Vec::with_capacity(self.backends.len());
        for (backend, code) in self.backends.iter().zip(&self.codes) {
            samples.push((number, Sample::from_code(*backend, *code)));
            let step = steps.next().copied().unwrap_or_default();
            number = number.saturating_add(u64::from(step));
        }
        samples
    }
}

impl From<&[(u64, Sample)]> for SamplesWire {
    fn from(samples: &[(u64, Sample)]) -> Self {
        let steps = samples
            .windows(2)
            .map(|pair| (pair[1].0 - pair[0].0) as u32);
        Self {
            first: samples.first().map_or(0, |(number, _)| *number),
            steps: steps.collect(),
            backends: samples.iter().map(|(_, sample)| sample.backend).collect(),
            codes: samples.iter().map(|(_, sample)| sample.code()).collect(),
        }
    }
}
