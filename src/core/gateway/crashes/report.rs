//! What a node reports of crashes to other nodes.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::{ANSWER_REPORT_PERIOD, Crash, CrashLog, Survivor, SuspectAnswer};
use crate::core::gateway::observed::Observer;
use crate::core::gateway::request_id::RequestId;
use crate::core::gateway::suspects::{Suspect, request_of};
use crate::core::time::Moment;

impl CrashLog {
    /// Returns the processes, up to `limit`, that have not crashed as `observer` or a smaller group of nodes
    /// has seen.
    pub fn survivors_to_report(
        &self,
        observer: Observer,
        limit: usize,
        now: Moment,
    ) -> Vec<Survivor> {
        let survivors = self.survivors.iter();
        survivors
            .filter_map(|(process, last)| {
                let at = last.last_of(observer)?.at;
                Some(Survivor {
                    process: *process,
                    at,
                })
            })
            .filter(|survivor| now.saturating_sub(survivor.at) <= ANSWER_REPORT_PERIOD)
            .take(limit)
            .collect()
    }

    /// Returns the crashes, up to `limit`, of which at least one suspect is not cleared and which `observer` or a
    /// smaller group of nodes has observed: those of the requests with the most crashes, then the newest ones.
    pub fn crashes_to_report(&self, observer: Observer, limit: usize) -> Vec<&Crash> {
        let known = self.crashes.iter().rev();
        let mut open: Vec<&Crash> = known
            .filter(|known| known.observer <= observer && !known.is_explained)
            .map(|known| &known.crash)
            .filter(|crash| !self.is_refuted(crash) && self.open_suspects(crash).next().is_some())
            .collect();
        let requests = self.crashes.iter();
        let requests = requests.filter_map(|known| request_of(&known.crash.suspects));
        let mut counts: HashMap<RequestId, usize> = HashMap::new();
        requests.for_each(|request| *counts.entry(request).or_default() += 1);
        let crashes_of_request = |crash: &Crash| {
            let request = request_of(&crash.suspects)?;
            counts.get(&request).copied()
        };
        open.sort_by_key(|crash| Reverse(crashes_of_request(crash)));
        open.truncate(limit);
        open
    }

    /// Returns the answers, up to `limit`, which `observer` or a smaller group of nodes has seen lately: those of
    /// parts, which clear many calls, before those of requests, each from the latest on.
    pub fn answers_to_report(
        &self,
        observer: Observer,
        limit: usize,
        now: Moment,
    ) -> Vec<SuspectAnswer> {
        let suspects = self.suspects.iter();
        let mut answers: Vec<SuspectAnswer> = suspects
            .filter_map(|(suspect, record)| {
                let at = record.answered.last_of(observer)?.at;
                Some(SuspectAnswer {
                    suspect: *suspect,
                    at,
                })
            })
            .filter(|answer| now.saturating_sub(answer.at) <= ANSWER_REPORT_PERIOD)
            .collect();
        let is_request = |answer: &SuspectAnswer| matches!(answer.suspect, Suspect::Request(_));
        answers.sort_unstable_by_key(|answer| (is_request(answer), Reverse(answer.at)));
        answers.truncate(limit);
        answers
    }
}
