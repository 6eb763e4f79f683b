//! Crashes of back ends with the calls that they had begun to process, to find the calls that cause them.
//!
//! A crash breaks off all calls at the back end, and most of these are sound. What tells them apart is
//! success: the request of each answered call, and the parts of its prompt, are cleared of the crashes before
//! the answer. Suspects that were under way at crashes of several back ends, one after the other, and that no
//! node saw answered meanwhile, are taken for the cause. If the calls of these crashes have several such
//! suspects in common, only calls with all of them are: which one is the cause is not known. A request that
//! comes again is the cause rather than the parts of its prompt, unless these were under way at other crashes
//! as well.
//!
//! A back end may also lose single answers, or connections, and go on. It has not crashed if it answers a call
//! that was under way at that time.
//!
//! Nodes exchange what they observe. Only suspects that were under way at a crash are kept.

mod cause;
mod report;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::core::gateway::backends::ProcessName;
use crate::core::gateway::observed::{Observation, Observed, Observer};
use crate::core::gateway::request_id::RequestId;
use crate::core::gateway::suspects::{Suspect, Suspects, contains_all, request_of};
use crate::core::time::Moment;

pub use cause::{CrashCause, OpenCrashes};

/// Number of processes that crashed under a request from which it is sent only once for each attempt of a caller.
const MIN_PROCESSES_FOR_CAUTION: usize = 2;
/// Time for which answered calls are kept, to compare them with crashes that are reported later.
const CALL_RETENTION: Duration = Duration::from_secs(5);
/// Limit on the answered calls that are kept.
const MAX_CALLS: usize = 256;
/// Time by which a call must outlast a crash to refute it; the times of other nodes are not exact.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(100);
/// Time for which crashes are kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Interval at which suspects of crashes that are no longer kept are removed.
const CLEANING_INTERVAL: Duration = Duration::from_secs(2);
/// Limit on the crashes that are kept; the oldest ones are dropped.
const MAX_CRASHES: usize = 512;
/// Time for which an answered part or a refuted crash is reported to other nodes. Reports may be lost, and are repeated.
const ANSWER_REPORT_PERIOD: Duration = Duration::from_secs(6);

/// Whether a call has a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallKind {
    Plain,
    Prompt,
}

impl CallKind {
    fn of(suspects: &[Suspect]) -> Self {
        match suspects.first() {
            Some(Suspect::Part(_)) => Self::Prompt,
            _ => Self::Plain,
        }
    }
}

/// A call that was under way without an answer when its back end crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// What may have crashed it.
    pub suspects: Suspects,
    /// Process of the back end.
    pub process: ProcessName,
    /// When the call was sent.
    pub sent: Moment,
    /// When the back end broke it off.
    pub ended: Moment,
}

/// A suspect of a call that was answered, which clears it of the crashes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectAnswer {
    /// The suspect.
    pub suspect: Suspect,
    /// When the answer was seen.
    pub at: Moment,
}

/// A process of a back end that answered a call which was under way at its supposed crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Survivor {
    /// The process.
    pub process: ProcessName,
    /// When the answer was complete.
    pub at: Moment,
}

/// A call that a back end answered.
#[derive(Clone, Copy, Debug)]
struct AnsweredCall {
    process: ProcessName,
    sent: Moment,
    answered: Moment,
}

impl AnsweredCall {
    /// Returns whether the call was under way at a crash of its back end, and was answered nevertheless.
    fn refutes(&self, crash: &Crash) -> bool {
        self.process == crash.process
            && self.sent < crash.ended
            && self.answered >= crash.ended + SURVIVAL_MARGIN
    }
}

/// What is known of a suspect of the crashes in a log.
#[derive(Debug, Default)]
struct SuspectRecord {
    /// When it was last answered.
    answered: Observed<()>,
    /// End of the last crash at which it was under way.
    last_crash: Option<Moment>,
}

#[derive(Debug)]
struct KnownCrash {
    crash: Crash,
    observer: Observer,
    /// Whether its request is known to crash back ends. It may still be one of many with a part that does.
    is_explained: bool,
}

/// Crashes that the nodes observed lately, and the answers that clear suspects of them.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: Vec<KnownCrash>,
    known: HashSet<(ProcessName, Suspects)>,
    /// Suspects of these crashes.
    suspects: HashMap<Suspect, SuspectRecord>,
    /// Whether some of these suspects may be of crashes that are no longer kept.
    has_unused_suspects: bool,
    /// When such suspects were last removed.
    cleaned_at: Moment,
    /// Calls that back ends answered to this node lately, in the order of their answers.
    calls: VecDeque<AnsweredCall>,
    /// Processes that have not crashed at the time of a crash in this log.
    survivors: HashMap<ProcessName, Observed<()>>,
    /// Processes whose crash has a known cause, with the time of the crash.
    explained: HashMap<ProcessName, Moment>,
    /// When this node last saw a call answered, by its kind.
    last_answers: HashMap<CallKind, Moment>,
}

impl CrashLog {
    /// Records a call that was under way when its back end crashed. Returns whether this is new.
    pub fn record_crash(&mut self, crash: Crash, observer: Observer) -> bool {
        if crash.suspects.is_empty() || self.explained.contains_key(&crash.process) {
            return false;
        }
        if !self.known.insert((crash.process, crash.suspects.clone()))
            && !self.forget_refuted(&crash)
        {
            return false;
        }
        let calls = self.calls.iter();
        if let Some(call) = calls.rev().find(|call| call.refutes(&crash)) {
            let survivor = Survivor {
                process: crash.process,
                at: call.answered,
            };
            self.apply_survivor(survivor, Observer::Node);
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.remove(0).crash;
            self.known.remove(&(oldest.process, oldest.suspects));
            self.has_unused_suspects = true;
        }
        for suspect in &crash.suspects {
            let record = self.suspects.entry(*suspect).or_default();
            record.last_crash = record.last_crash.max(Some(crash.ended));
        }
        self.crashes.push(KnownCrash {
            crash,
            observer,
            is_explained: false,
        });
        true
    }

    /// Records that a back end answered a call of this node.
    pub fn record_call(&mut self, process: ProcessName, sent: Moment, now: Moment) {
        let is_old = |call: &AnsweredCall| now.saturating_sub(call.answered) > CALL_RETENTION;
        while self.calls.len() >= MAX_CALLS || self.calls.front().is_some_and(is_old) {
            self.calls.pop_front();
        }
        let call = AnsweredCall {
            process,
            sent,
            answered: now,
        };
        self.calls.push_back(call);
        let mut open = self.crashes.iter().map(|known| &known.crash);
        if open.any(|crash| call.refutes(crash) && !self.is_refuted(crash)) {
            self.apply_survivor(Survivor { process, at: now }, Observer::Node);
        }
    }

    /// Applies that a process has not crashed.
    pub fn apply_survivor(&mut self, survivor: Survivor, observer: Observer) {
        let seen = Observation {
            at: survivor.at,
            value: (),
        };
        let last = self.survivors.entry(survivor.process).or_default();
        last.record(seen, observer);
    }

    /// Removes a refuted crash of the same process and suspects. Returns whether there was one.
    fn forget_refuted(&mut self, crash: &Crash) -> bool {
        let refuted = self.crashes.iter().position(|known| {
            known.crash.process == crash.process
                && known.crash.suspects == crash.suspects
                && crash.ended > known.crash.ended
                && self.is_refuted(&known.crash)
        });
        // The new crash has the same suspects.
        refuted.map(|at| self.crashes.remove(at)).is_some()
    }

    fn is_refuted(&self, crash: &Crash) -> bool {
        let survived = self.survivors.get(&crash.process).and_then(Observed::last);
        survived.is_some_and(|survived| survived.at >= crash.ended)
    }

    /// Records that this node saw a call with these suspects answered.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: Moment) {
        self.last_answers.insert(CallKind::of(suspects), now);
        if self.crashes.is_empty() {
            return;
        }
        for suspect in suspects {
            let record = self.suspects.get(suspect);
            let last_crash = record.and_then(|record| record.last_crash);
            if last_crash.is_some_and(|ended| !self.is_cleared(*suspect, ended)) {
                let answer = SuspectAnswer {
                    suspect: *suspect,
                    at: now,
                };
                self.apply_answer(answer, Observer::Node);
            }
        }
    }

    /// Applies an answer that a node saw.
    pub fn apply_answer(&mut self, answer: SuspectAnswer, observer: Observer) {
        let answered = Observation {
            at: answer.at,
            value: (),
        };
        let record = self.suspects.entry(answer.suspect).or_default();
        record.answered.record(answered, observer);
        self.has_unused_suspects |= record.last_crash.is_none();
    }

    /// Returns whether a request was under way at so many crashes that it is sent only once for each attempt of a
    /// caller.
    pub fn demands_caution(&self, request: RequestId) -> bool {
        let suspect = Suspect::Request(request);
        let crashes = self.crashes.iter().map(|known| &known.crash);
        let open = crashes.filter(|crash| {
            request_of(&crash.suspects) == Some(request)
                && !self.is_refuted(crash)
                && !self.is_cleared(suspect, crash.ended)
        });
        let processes: HashSet<ProcessName> = open.map(|crash| crash.process).collect();
        processes.len() >= MIN_PROCESSES_FOR_CAUTION
    }

    /// Records a cause that was found, unless one of its suspects was answered while the search ran without a lock on
    /// the log. Returns whether it was recorded.
    pub fn confirm(&mut self, cause: &CrashCause) -> bool {
        let mut suspects = cause.suspects.iter();
        let holds = !suspects.any(|suspect| self.is_cleared(*suspect, cause.first));
        if holds {
            self.explain(&cause.suspects);
        }
        holds
    }

    /// Records the cause of the crashes of processes that crashed under calls with all of these suspects. Other
    /// calls that were under way at these crashes are not suspected any more.
    pub fn explain(&mut self, suspects: &[Suspect]) {
        let is_of_request = request_of(suspects).is_some();
        for known in &mut self.crashes {
            if contains_all(&known.crash.suspects, suspects) {
                self.explained
                    .insert(known.crash.process, known.crash.ended);
                known.is_explained = is_of_request;
            }
        }
        self.has_unused_suspects = true;
        let (explained, known_crashes) = (&self.explained, &mut self.known);
        self.crashes.retain(|known| {
            let crash = &known.crash;
            let is_kept = known.is_explained || !explained.contains_key(&crash.process);
            if !is_kept {
                known_crashes.remove(&(crash.process, crash.suspects.clone()));
            }
            is_kept
        });
    }

    /// Returns the suspects of a crash that have not been answered since.
    fn open_suspects(&self, crash: &Crash) -> impl Iterator<Item = Suspect> {
        let suspects = crash.suspects.iter().copied();
        suspects.filter(|suspect| !self.is_cleared(*suspect, crash.ended))
    }

    fn is_cleared(&self, suspect: Suspect, crashed: Moment) -> bool {
        let record = self.suspects.get(&suspect);
        let last = record.and_then(|record| record.answered.last());
        last.is_some_and(|answered| answered.at >= crashed)
    }

    fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.saturating_sub(at) <= RETENTION;
        let (known, has_unused) = (&mut self.known, &mut self.has_unused_suspects);
        self.crashes.retain(|KnownCrash { crash, .. }| {
            let is_kept = is_recent(crash.ended);
            if !is_kept {
                known.remove(&(crash.process, crash.suspects.clone()));
                *has_unused = true;
            }
            is_kept
        });
        self.explained.retain(|_, ended| is_recent(*ended));
        let is_due = now.saturating_sub(self.cleaned_at) >= CLEANING_INTERVAL;
        if self.has_unused_suspects && is_due {
            self.has_unused_suspects = false;
            self.cleaned_at = now;
            self.remove_unused_suspects();
        }
        let crashes = self.crashes.iter();
        let processes: HashSet<ProcessName> = crashes.map(|known| known.crash.process).collect();
        self.survivors
            .retain(|process, _| processes.contains(process));
    }

    fn remove_unused_suspects(&mut self) {
        let crashes = self.crashes.iter();
        let used: HashSet<Suspect> = crashes
            .flat_map(|known| known.crash.suspects.iter().copied())
            .collect();
        self.suspects.retain(|suspect, _| used.contains(suspect));
    }
}
