//! Work that comes in for each service, over all nodes: what scaling goes by.

use std::collections::HashMap;
use std::time::Duration;

use super::decay::Decaying;
use super::origin::Origin;
use super::placement::READ_TOKENS_PER_MS;
use super::routes::ServiceName;
use crate::core::time::Moment;

/// Time over which work is averaged.
const WORK_WINDOW: Duration = Duration::from_millis(2500);
/// Work that is too little to be told, in milliseconds a second.
const LEAST_TOLD: f64 = 0.1;

/// Time in which an engine makes one token of each answer in a full batch, with prompts read in between.
const STEP_MS: f64 = 10.0;
/// Part of its pace at which an engine reads prompts beside the answers that it makes.
const READING_PART: f64 = 0.6;

/// Returns the milliseconds of an engine's time that a call takes: reading what its cache lacks of the prompt,
/// and making the answer among others in a full batch of `slots`.
pub fn engine_ms(unread: u32, answer_tokens: u32, slots: u32) -> f64 {
    let answering = f64::from(answer_tokens) * STEP_MS / f64::from(slots.max(1));
    f64::from(unread) / (READ_TOKENS_PER_MS * READING_PART) + answering
}

/// Milliseconds of work a second that came in for each service, and what other nodes told of theirs.
#[derive(Debug, Default)]
pub struct WorkRates {
    own: HashMap<ServiceName, Decaying>,
    told: HashMap<Origin, ToldWork>,
}

/// What another node told of its work.
#[derive(Debug)]
struct ToldWork {
    zone: Box<str>,
    work: Vec<(ServiceName, Decaying)>,
}

impl WorkRates {
    /// Adds work.
    pub fn add(&mut self, service: &str, ms: f64, now: Moment) {
        let rate = self.own.entry(service.into()).or_default();
        rate.add(ms / WORK_WINDOW.as_secs_f64(), WORK_WINDOW, now);
    }

    /// Returns this node's work.
    pub fn own(&self, now: Moment) -> Vec<(ServiceName, f64)> {
        self.own
            .iter()
            .map(|(service, rate)| (service.clone(), rate.value(WORK_WINDOW, now)))
            .filter(|(_, rate)| *rate >= LEAST_TOLD)
            .collect()
    }

    /// Takes what another node told of its work, or of that of its availability zone.
    pub fn told(&mut self, from: &Origin, zone: &str, work: Vec<(ServiceName, f64)>, now: Moment) {
        let work = work.into_iter();
        let told = ToldWork {
            zone: zone.into(),
            work: work
                .map(|(service, rate)| (service, Decaying::new(rate, now)))
                .collect(),
        };
        self.told.insert(from.clone(), told);
    }

    /// Returns the sum of this node's work and of what other nodes told of themselves.
    pub fn of_nodes(&self, now: Moment) -> HashMap<ServiceName, f64> {
        let mut sums: HashMap<ServiceName, f64> = self.own(now).into_iter().collect();
        let nodes = self.told.iter().filter(|(from, _)| from.is_node());
        for (service, rate) in nodes.flat_map(|(_, told)| &told.work) {
            *sums.entry(service.clone()).or_default() += rate.value(WORK_WINDOW, now);
        }
        sums
    }

    /// Returns the work of a service in each availability zone.
    pub fn by_zone(&self, service: &str, own_zone: &str, now: Moment) -> HashMap<Box<str>, f64> {
        let mut sums: HashMap<Box<str>, f64> = HashMap::new();
        if let Some(rate) = self.own.get(service) {
            *sums.entry(own_zone.into()).or_default() += rate.value(WORK_WINDOW, now);
        }
        for told in self.told.values() {
            let of_service = told.work.iter().filter(|(name, _)| **name == *service);
            for (_, rate) in of_service {
                *sums.entry(told.zone.clone()).or_default() += rate.value(WORK_WINDOW, now);
            }
        }
        sums
    }
}
