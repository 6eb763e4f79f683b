//! Rate of incoming work for each service over all nodes, the input of scaling.

use std::collections::HashMap;
use std::time::Duration;

use super::decay::DecayingSum;
use super::origin::Origin;
use super::placement::PREFILL_TOKENS_PER_MS;
use super::routes::ServiceName;
use crate::core::time::Moment;

/// Decay window of the work rates.
const WORK_WINDOW: Duration = Duration::from_millis(2500);
/// Smallest work rate that is reported to other nodes, in milliseconds a second.
const MIN_REPORTED_RATE: f64 = 0.1;

/// Duration of one decode step of a full batch, with prefill of other prompts interleaved.
const DECODE_STEP_MS: f64 = 10.0;
/// Prefill throughput while the engine also decodes, as a part of its full prefill throughput.
const PREFILL_PART: f64 = 0.6;

/// Returns the milliseconds of an engine's time that a call uses: prefill of the uncached prompt tokens, and
/// its part of decoding in a full batch of `slots`.
pub fn engine_ms(unread: u32, answer_tokens: u32, slots: u32) -> f64 {
    let decode_ms = f64::from(answer_tokens) * DECODE_STEP_MS / f64::from(slots.max(1));
    f64::from(unread) / (PREFILL_TOKENS_PER_MS * PREFILL_PART) + decode_ms
}

/// Work rates of each service in milliseconds a second: of this node and as reported by other nodes.
#[derive(Debug, Default)]
pub struct WorkRates {
    local: HashMap<ServiceName, DecayingSum>,
    reports: HashMap<Origin, WorkReport>,
}

/// The latest report of another node or availability zone.
#[derive(Debug)]
struct WorkReport {
    zone: Box<str>,
    rates: Vec<(ServiceName, DecayingSum)>,
}

impl WorkRates {
    /// Adds a call's work to this node's rate for a service.
    pub fn add(&mut self, service: &str, ms: f64, now: Moment) {
        let rate = self.local.entry(service.into()).or_default();
        rate.add(ms / WORK_WINDOW.as_secs_f64(), WORK_WINDOW, now);
    }

    /// Returns this node's rates, without those that are too small to report.
    pub fn local_rates(&self, now: Moment) -> Vec<(ServiceName, f64)> {
        self.local
            .iter()
            .map(|(service, rate)| (service.clone(), rate.value(WORK_WINDOW, now)))
            .filter(|(_, rate)| *rate >= MIN_REPORTED_RATE)
            .collect()
    }

    /// Replaces the rates that a node reported for itself or for its availability zone.
    pub fn apply_report(
        &mut self,
        from: &Origin,
        zone: &str,
        work: Vec<(ServiceName, f64)>,
        now: Moment,
    ) {
        let work = work.into_iter();
        let report = WorkReport {
            zone: zone.into(),
            rates: work
                .map(|(service, rate)| (service, DecayingSum::new(rate, now)))
                .collect(),
        };
        self.reports.insert(from.clone(), report);
    }

    /// Returns the rates of this node plus those that other nodes reported for themselves, without zone
    /// sums.
    pub fn node_rates(&self, now: Moment) -> HashMap<ServiceName, f64> {
        let mut sums: HashMap<ServiceName, f64> = self.local_rates(now).into_iter().collect();
        let nodes = self.reports.iter().filter(|(from, _)| from.is_node());
        for (service, rate) in nodes.flat_map(|(_, report)| &report.rates) {
            *sums.entry(service.clone()).or_default() += rate.value(WORK_WINDOW, now);
        }
        sums
    }

    /// Returns the work rate of a service in each availability zone.
    pub fn by_zone(&self, service: &str, own_zone: &str, now: Moment) -> HashMap<Box<str>, f64> {
        let mut sums: HashMap<Box<str>, f64> = HashMap::new();
        if let Some(rate) = self.local.get(service) {
            *sums.entry(own_zone.into()).or_default() += rate.value(WORK_WINDOW, now);
        }
        for report in self.reports.values() {
            let of_service = report.rates.iter().filter(|(name, _)| **name == *service);
            for (_, rate) in of_service {
                *sums.entry(report.zone.clone()).or_default() += rate.value(WORK_WINDOW, now);
            }
        }
        sums
    }
}
