//! Finds the calls that crash back ends.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smallvec::SmallVec;

use super::{ANSWER_REPORT_PERIOD, CallKind, CrashLog, KnownCrash};
use crate::core::gateway::backends::ProcessName;
use crate::core::gateway::suspects::{Suspect, Suspects, request_of};
use crate::core::time::Moment;

/// Number of processes of back ends that must have crashed under a suspect.
const MIN_PROCESSES: usize = 3;
/// Number of these that must have crashed under other requests than those that are known to crash back ends.
const MIN_UNEXPLAINED_PROCESSES: usize = 2;
/// Time between the first of these crashes and the sending of the call of a later one. Crashes of several back
/// ends at about the same moment have a common cause of another kind.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(700);
/// Time after the last of these crashes within which answered prompts of all nodes are known.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// Limit on the sets of crashes whose calls are compared at a time; callers decide how many sets there are.
const MAX_COMPARED_SETS: usize = 64;

/// Suspects that are taken for the cause of crashes, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCause {
    /// Calls with all of these suspects crash back ends.
    pub suspects: Suspects,
    /// Number of processes that crashed.
    pub processes: usize,
    /// First of the crashes.
    pub first: Moment,
    /// Last of the crashes.
    pub last: Moment,
}

/// A crash of which some suspects have not been answered since.
struct OpenCrash {
    /// These suspects, sorted.
    suspects: Suspects,
    kind: CallKind,
    process: ProcessName,
    sent: Moment,
    ended: Moment,
    is_explained: bool,
}

/// Indices of crashes, in the order of their ends.
type CrashSet = SmallVec<[usize; 4]>;

/// The crashes of a log of which some suspects have not been answered since, as they were at one moment. The search for
/// their cause needs no lock on the log.
pub struct OpenCrashes {
    at: Moment,
    /// In the order of their ends.
    crashes: Vec<OpenCrash>,
    /// When this node last saw a call answered, by its kind.
    last_answers: HashMap<CallKind, Moment>,
}

impl CrashLog {
    /// Returns the crashes that may have a cause which is not known yet: none if the last one is long ago. Those that a
    /// cause explains are not considered again, except that other crashes under the parts of a request's prompt may
    /// show a wider cause.
    pub fn open_crashes(&mut self, now: Moment) -> OpenCrashes {
        self.expire(now);
        let is_recent = |known: &KnownCrash| is_recent(known.crash.ended, now);
        let mut crashes: Vec<OpenCrash> = match self.crashes.iter().any(is_recent) {
            true => self.crashes.iter().filter_map(|k| self.open(k)).collect(),
            false => Vec::new(),
        };
        crashes.sort_by_key(|open| open.ended);
        OpenCrashes {
            at: now,
            crashes,
            last_answers: self.last_answers.clone(),
        }
    }

    fn open(&self, known: &KnownCrash) -> Option<OpenCrash> {
        let crash = &known.crash;
        if self.is_refuted(crash) {
            return None;
        }
        let suspects: Suspects = self.open_suspects(crash).collect();
        (!suspects.is_empty()).then(|| OpenCrash {
            suspects,
            kind: CallKind::of(&crash.suspects),
            process: crash.process,
            sent: crash.sent,
            ended: crash.ended,
            is_explained: known.is_explained,
        })
    }
}

/// Returns whether all answers that clear a crash are still reported. This node may have missed earlier ones.
fn is_recent(ended: Moment, now: Moment) -> bool {
    now.saturating_sub(ended) <= ANSWER_REPORT_PERIOD
}

impl OpenCrashes {
    /// Returns the cause that excludes the fewest calls: a request, unless parts of prompts explain the crashes
    /// under several others as well.
    ///
    /// Its time is linear in the number of all suspects: each set of crashes is looked at once, and the calls of up to
    /// [`MAX_COMPARED_SETS`] sets are compared, those with the most processes first.
    pub fn find_cause(&self) -> Option<CrashCause> {
        let sets = self.crash_sets().into_iter();
        let mut shown: Vec<(usize, CrashSet)> = sets
            .filter_map(|set| Some((self.processes_of_cause(&set)?, set)))
            .collect();
        shown.sort_unstable_by(|a, b| b.cmp(a));
        shown.truncate(MAX_COMPARED_SETS);
        let causes = shown.iter().filter_map(|(processes, set)| {
            Some(CrashCause {
                suspects: self.common_suspects(set),
                processes: *processes,
                first: self.crashes[*set.first()?].ended,
                last: self.crashes[*set.last()?].ended,
            })
        });
        let (requests, parts): (Vec<CrashCause>, Vec<CrashCause>) =
            causes.partition(|cause| request_of(&cause.suspects).is_some());
        let request = requests.into_iter().max_by_key(|cause| cause.processes);
        let parts = parts
            .into_iter()
            .max_by_key(|cause| (cause.suspects.len(), cause.processes));
        match (request, parts) {
            (Some(request), Some(parts))
                if parts.processes < request.processes + MIN_UNEXPLAINED_PROCESSES =>
            {
                Some(request)
            }
            (request, parts) => parts.or(request),
        }
    }

    /// Returns the sets of crashes at which a suspect was under way. Suspects with the same set have the same cause.
    fn crash_sets(&self) -> HashSet<CrashSet> {
        let mut by_suspect: HashMap<Suspect, CrashSet> = HashMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for suspect in &crash.suspects {
                by_suspect.entry(*suspect).or_default().push(index);
            }
        }
        let sets = by_suspect.into_values();
        sets.filter(|set| set.len() >= MIN_PROCESSES).collect()
    }

    /// Returns the number of processes that crashed, if a set of crashes shows that what their calls have in common is
    /// the cause.
    fn processes_of_cause(&self, set: &CrashSet) -> Option<usize> {
        let crashes = || set.iter().map(|index| &self.crashes[*index]);
        let first = crashes().next()?;
        let last = crashes().next_back()?;
        let mut processes = HashSet::new();
        let mut unexplained = HashSet::new();
        let mut shown_at = None;
        for crash in crashes() {
            if !crash.is_explained {
                unexplained.insert(crash.process);
            }
            if processes.insert(crash.process) && processes.len() == MIN_PROCESSES {
                shown_at = Some(crash.ended);
            }
        }
        let has_settled = self.at.saturating_sub(shown_at?) >= SETTLING_TIME;
        let is_repeated = crashes().any(|crash| crash.sent >= first.ended + MIN_REPEAT_DELAY);
        let last_answer = self.last_answers.get(&first.kind);
        let others_are_answered = last_answer.is_some_and(|at| *at >= first.ended);
        let is_unexplained = unexplained.len() >= MIN_UNEXPLAINED_PROCESSES;
        let is_shown = has_settled
            && is_repeated
            && others_are_answered
            && is_recent(last.ended, self.at)
            && is_unexplained;
        is_shown.then_some(processes.len())
    }

    /// Returns the suspects that all calls of a set of crashes have.
    fn common_suspects(&self, set: &CrashSet) -> Suspects {
        let mut crashes = set.iter().map(|index| &self.crashes[*index].suspects);
        let mut common = crashes.next().cloned().unwrap_or_default();
        for suspects in crashes {
            common.retain(|suspect| suspects.binary_search(suspect).is_ok());
        }
        common
    }
}
