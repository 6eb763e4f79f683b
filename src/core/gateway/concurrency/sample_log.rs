//! Samples that a node has not yet reported to all others, and up to which it has received theirs.
//!
//! A sample is one of many, so one that is lost with its message, or for which a message has no room, is not
//! sent again. Numbers show which samples of a message are new.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::sample::Sample;
use crate::core::gateway::observed::Observer;
use crate::core::gateway::origin::Origin;
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

/// Time for which a sample is reported; longer than the interval between messages to most receivers.
const REPORT_PERIOD: Duration = Duration::from_millis(1000);
/// Limit on the samples that are kept to be reported.
const MAX_KEPT: usize = 512;
/// Time after the last message of a node or zone for which its last number is kept.
const RECEIVED_RETENTION: Duration = Duration::from_secs(60);

/// A sample with its place in the log.
#[derive(Clone, Copy, Debug)]
struct Logged {
    number: u64,
    at: Moment,
    observer: Observer,
    sample: Sample,
}

/// Up to which sample a node or zone has reported.
#[derive(Clone, Copy, Debug)]
struct Received {
    incarnation: Incarnation,
    number: u64,
    at: Moment,
}

/// Samples to report, and the last numbers of other nodes and zones.
#[derive(Debug, Default)]
pub struct SampleLog {
    next_number: u64,
    recent: VecDeque<Logged>,
    received: HashMap<Origin, Received>,
}

impl SampleLog {
    /// Adds a sample of this node, or of another node of its availability zone.
    pub fn push(&mut self, sample: Sample, observer: Observer, now: Moment) {
        self.next_number += 1;
        if self.recent.len() == MAX_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(Logged {
            number: self.next_number,
            at: now,
            observer,
            sample,
        });
    }

    /// Returns at most `max` recent samples with their numbers, in the order of these. `comes_first` tells which
    /// back ends' samples matter most; the last ones come first otherwise.
    pub fn to_report(
        &self,
        observer: Observer,
        max: usize,
        comes_first: impl Fn(u32) -> bool,
        now: Moment,
    ) -> Vec<(u64, Sample)> {
        let is_recent = |logged: &&Logged| now.saturating_sub(logged.at) <= REPORT_PERIOD;
        let recent = self.recent.iter().rev().take_while(is_recent);
        let observed = recent.filter(|logged| logged.observer <= observer);
        let (mut chosen, others): (Vec<&Logged>, Vec<&Logged>) =
            observed.partition(|logged| comes_first(logged.sample.backend));
        chosen.extend(others);
        chosen.truncate(max);
        chosen.sort_unstable_by_key(|logged| logged.number);
        chosen
            .into_iter()
            .map(|logged| (logged.number, logged.sample))
            .collect()
    }

    /// Returns the samples of a message, in the order of their numbers, that no earlier message contained.
    pub fn accept(
        &mut self,
        from: &Origin,
        incarnation: Incarnation,
        samples: &[(u64, Sample)],
        now: Moment,
    ) -> Vec<Sample> {
        let Some((last, _)) = samples.last() else {
            return Vec::new();
        };
        let received = self.received.get(from);
        let known = received.filter(|received| received.incarnation == incarnation);
        let known = known.map_or(0, |received| received.number);
        let number = known.max(*last);
        let received = Received {
            incarnation,
            number,
            at: now,
        };
        self.received.insert(from.clone(), received);
        samples
            .iter()
            .filter(|(number, _)| *number > known)
            .map(|(_, sample)| *sample)
            .collect()
    }

    /// Forgets the last numbers of nodes and zones that have sent nothing for long.
    pub fn expire(&mut self, now: Moment) {
        let is_recent = |received: &Received| now.saturating_sub(received.at) <= RECEIVED_RETENTION;
        self.received.retain(|_, received| is_recent(received));
    }
}
