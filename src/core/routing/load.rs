//! Estimated load of home nodes, from their reports and the requests that this node sent since.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::core::admission::{WaitInputs, expected_wait};
use crate::core::id::{NodeId, RankLevel};
use crate::core::membership::HomeLoad;
use crate::core::queue::WaitingTokens;
use crate::core::time::Moment;

/// Assumed delay from a home's measurement to the arrival of its report.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time for which a sent request counts if no newer report arrives.
const SENT_REQUEST_TTL: Duration = Duration::from_secs(10);
/// Assumed wait at a home that is full and whose service rate is unknown.
const UNKNOWN_RATE_WAIT: Duration = Duration::from_secs(10);

/// Load of a home's queue for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Increases with every report of the home.
    pub sequence: u64,
    /// Latest time at which the home can have measured the load. Reports carry no time stamp; the
    /// receiver subtracts `REPORT_DELAY` from the time of arrival.
    pub as_of: Moment,
    /// Number of requests that the home's engines run concurrently.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Estimated tokens of waiting requests by rank level.
    pub waiting_tokens: WaitingTokens,
    /// Service rate of all slots; 0 before the first measurement.
    pub tokens_per_second: u32,
}

impl LoadReport {
    /// Converts a home's report that arrived at `now`.
    pub fn from_home(load: &HomeLoad, now: Moment) -> Self {
        Self {
            sequence: load.sequence,
            as_of: now.saturating_sub(REPORT_DELAY),
            slots: load.slots,
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens.clone(),
            tokens_per_second: load.tokens_per_second,
        }
    }
}

/// A request that this node sent to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// When it was sent.
    pub at: Moment,
    /// Its rank level.
    pub level: RankLevel,
    /// Its estimated cost.
    pub cost_tokens: u32,
}

/// Estimated load of a home, as seen by a request of one rank level.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Number of slots of the home.
    pub slots: u32,
    /// Number of free slots.
    pub free_slots: u32,
    /// Tokens scheduled before a request of the rank level.
    pub tokens_ahead: u64,
    /// Service rate of all slots; `None` before the first measurement.
    pub tokens_per_second: Option<f64>,
    /// Age of the report.
    pub age: Duration,
}

impl LoadEstimate {
    /// Returns the expected wait of a request whose rank has a floor of `floor_percent`.
    ///
    /// If the service rate is unknown, the wait is assumed to be zero at a home with free slots and
    /// ten seconds otherwise.
    pub fn wait(&self, floor_percent: u8) -> Duration {
        let wait = WaitInputs {
            free_slots: self.free_slots,
            tokens_ahead: self.tokens_ahead,
            tokens_per_second: self.tokens_per_second,
            urgent_tokens_per_second: 0.0,
            floor_percent,
            floors_below_percent: 0,
            next_free_slot: Duration::ZERO,
        };
        expected_wait(&wait).unwrap_or(match self.free_slots {
            0 => UNKNOWN_RATE_WAIT,
            _ => Duration::ZERO,
        })
    }
}

#[derive(Debug, Default)]
struct HomeEntry {
    report: LoadReport,
    sent_since_report: VecDeque<SentRequest>,
}

/// Loads of the homes of one model.
#[derive(Debug, Default)]
pub struct LoadTable {
    homes: HashMap<NodeId, HomeEntry>,
}

impl LoadTable {
    /// Stores a report and drops the sent requests that it already includes. Old reports are
    /// ignored.
    pub fn report(&mut self, home: &NodeId, report: LoadReport) {
        let entry = self.homes.entry(home.clone()).or_default();
        if entry.report.sequence >= report.sequence {
            return;
        }
        entry
            .sent_since_report
            .retain(|sent| sent.at > report.as_of);
        entry.report = report;
    }

    /// Records a request that this node sends to a home.
    pub fn record_sent(&mut self, home: &NodeId, sent: SentRequest) {
        let entry = self.homes.entry(home.clone()).or_default();
        let oldest = sent.at.saturating_sub(SENT_REQUEST_TTL);
        while entry
            .sent_since_report
            .front()
            .is_some_and(|first| first.at < oldest)
        {
            entry.sent_since_report.pop_front();
        }
        entry.sent_since_report.push_back(sent);
    }

    /// Removes a sent request that has ended.
    pub fn record_finished(&mut self, home: &str, sent: &SentRequest) {
        let Some(entry) = self.homes.get_mut(home) else {
            return;
        };
        if let Some(at) = entry
            .sent_since_report
            .iter()
            .position(|other| other == sent)
        {
            entry.sent_since_report.remove(at);
        }
    }

    /// Removes a dead home.
    pub fn remove_home(&mut self, home: &str) {
        self.homes.remove(home);
    }

    /// Returns the estimated load of a home for a request of `level`, or `None` if the home has not
    /// reported.
    pub fn estimate(&self, home: &str, level: RankLevel, now: Moment) -> Option<LoadEstimate> {
        let entry = self.homes.get(home).filter(|e| e.report.sequence > 0)?;
        let report = &entry.report;
        let sent = u32::try_from(entry.sent_since_report.len()).unwrap_or(u32::MAX);
        let sent_tokens: u64 = entry
            .sent_since_report
            .iter()
            .filter(|sent| sent.level <= level)
            .map(|sent| u64::from(sent.cost_tokens))
            .sum();
        let levels = usize::from(level) + 1;
        let waiting: u64 = report.waiting_tokens.iter().take(levels).sum();
        let occupied = report.running.saturating_add(report.waiting);
        let free_slots = report.slots.saturating_sub(occupied.saturating_add(sent));
        let started = report.slots.saturating_sub(occupied).min(sent);
        // Requests sent to free slots are running already and delay no waiting request.
        let queued = sent_tokens * u64::from(sent - started) / u64::from(sent.max(1));
        Some(LoadEstimate {
            slots: report.slots,
            free_slots,
            tokens_ahead: waiting + queued,
            tokens_per_second: (report.tokens_per_second > 0)
                .then(|| f64::from(report.tokens_per_second)),
            age: now.saturating_sub(report.as_of),
        })
    }
}
