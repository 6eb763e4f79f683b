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

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::backends::ProcessName;
use super::observed::{Observation, Observed, Observer};
use super::request_id::RequestId;
use super::suspects::{Suspect, Suspects, contains_all, request_of};
use crate::core::time::Moment;

/// Number of processes of back ends that must have crashed under a suspect.
const MIN_PROCESSES: usize = 3;
/// Number of these that must have crashed under other requests than those that are known to crash back ends.
const MIN_UNEXPLAINED_PROCESSES: usize = 2;
/// Number of processes that crashed under a request from which it is sent only once for each attempt of a caller.
const MIN_PROCESSES_FOR_CAUTION: usize = 2;
/// Time between the first of these crashes and the sending of the call of a later one. Crashes of several back
/// ends at about the same moment have a common cause of another kind.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(700);
/// Time after the last of these crashes within which answered prompts of all nodes are known.
const SETTLING_TIME: Duration = Duration::from_millis(1500);
/// Time for which answered calls are kept, to compare them with crashes that are reported later.
const CALL_RETENTION: Duration = Duration::from_secs(5);
/// Limit on the answered calls that are kept.
const MAX_CALLS: usize = 256;
/// Time by which a call must outlast a crash to refute it; the times of other nodes are not exact.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(100);
/// Time for which crashes are kept.
const RETENTION: Duration = Duration::from_secs(120);
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

#[derive(Debug)]
struct KnownCrash {
    crash: Crash,
    observer: Observer,
    /// Whether its request is known to crash back ends. It may still be one of many with a part that does.
    is_explained: bool,
}

/// A crash of which some suspects have not been answered since.
struct OpenCrash<'a> {
    known: &'a KnownCrash,
    suspects: Suspects,
}

impl OpenCrash<'_> {
    fn crash(&self) -> &Crash {
        &self.known.crash
    }
}

/// Crashes that the nodes observed lately, and the answers that clear suspects of them.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: Vec<KnownCrash>,
    known: HashSet<(ProcessName, Suspects)>,
    /// When suspects of these crashes were last answered.
    answers: HashMap<Suspect, Observed<()>>,
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
        }
        for suspect in &crash.suspects {
            self.answers.entry(*suspect).or_default();
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

    /// Removes a refuted crash of the same process and suspects. Returns whether there was one.
    fn forget_refuted(&mut self, crash: &Crash) -> bool {
        let refuted = self.crashes.iter().position(|known| {
            known.crash.process == crash.process
                && known.crash.suspects == crash.suspects
                && crash.ended > known.crash.ended
                && self.is_refuted(&known.crash)
        });
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
            let is_open = self.crashes.iter().any(|known| {
                known.crash.suspects.contains(suspect)
                    && !self.is_cleared(*suspect, known.crash.ended)
            });
            if is_open {
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
        let last = self.answers.entry(answer.suspect).or_default();
        last.record(answered, observer);
    }

    /// Returns the crashes, up to `limit`, of which at least one suspect is not cleared and which `observer` or a
    /// smaller group of nodes has observed: those of the requests with the most crashes, then the newest ones.
    pub fn crashes_to_report(&self, observer: Observer, limit: usize) -> Vec<&Crash> {
        let known = self.crashes.iter().rev();
        let mut open: Vec<&Crash> = known
            .filter(|known| known.observer <= observer && !known.is_explained)
            .map(|known| &known.crash)
            .filter(|crash| !self.is_refuted(crash) && !self.open_suspects(crash).is_empty())
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
        let answers = self.answers.iter();
        let mut answers: Vec<SuspectAnswer> = answers
            .filter_map(|(suspect, last)| {
                let at = last.last_of(observer)?.at;
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

    /// Returns whether a request was under way at so many crashes that it is sent only once for each attempt of a
    /// caller.
    pub fn demands_caution(&self, request: RequestId) -> bool {
        let suspect = Suspect::Request(request);
        let crashes = self.crashes.iter().map(|known| &known.crash);
        let open = crashes.filter(|crash| {
            crash.suspects.contains(&suspect)
                && !self.is_refuted(crash)
                && !self.is_cleared(suspect, crash.ended)
        });
        let processes: HashSet<ProcessName> = open.map(|crash| crash.process).collect();
        processes.len() >= MIN_PROCESSES_FOR_CAUTION
    }

    /// Returns the suspects that are taken for the cause of crashes. The crashes that they explain are not
    /// considered again, except that other crashes under the parts of a request's prompt may show a wider
    /// cause.
    pub fn take_causes(&mut self, now: Moment) -> Vec<CrashCause> {
        self.expire(now);
        let mut causes = Vec::new();
        while let Some(cause) = self.find_cause(now) {
            self.explain(&cause.suspects);
            causes.push(cause);
        }
        causes
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

    /// Returns the cause that excludes the fewest calls: a request, unless parts of prompts explain the crashes
    /// under several others as well.
    fn find_cause(&self, now: Moment) -> Option<CrashCause> {
        let open: Vec<OpenCrash<'_>> = self
            .crashes
            .iter()
            .filter(|known| !self.is_refuted(&known.crash))
            .map(|known| OpenCrash {
                known,
                suspects: self.open_suspects(&known.crash),
            })
            .filter(|open| !open.suspects.is_empty())
            .collect();
        let suspects: HashSet<Suspect> = open
            .iter()
            .flat_map(|open| &open.suspects)
            .copied()
            .collect();
        let causes = suspects.into_iter().filter_map(|suspect| {
            let crashes = open.iter().filter(|open| open.suspects.contains(&suspect));
            self.cause_of(crashes, now)
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

    /// Returns the suspects that crashes have in common, if the crashes show that these are the cause.
    fn cause_of<'a>(
        &self,
        crashes: impl Iterator<Item = &'a OpenCrash<'a>>,
        now: Moment,
    ) -> Option<CrashCause> {
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable_by_key(|open| open.crash().ended);
        let first = crashes.first()?;
        let mut suspects = first.suspects.clone();
        let mut processes = HashSet::new();
        let mut unexplained = HashSet::new();
        let mut shown_at = None;
        for open in &crashes {
            let crash = open.crash();
            suspects.retain(|suspect| open.suspects.contains(suspect));
            if !open.known.is_explained {
                unexplained.insert(crash.process);
            }
            if processes.insert(crash.process) && processes.len() == MIN_PROCESSES {
                shown_at = Some(crash.ended);
            }
        }
        let has_settled = now.saturating_sub(shown_at?) >= SETTLING_TIME;
        let first_ended = first.crash().ended;
        let is_repeated = crashes
            .iter()
            .any(|open| open.crash().sent >= first_ended + MIN_REPEAT_DELAY);
        let last_answer = self
            .last_answers
            .get(&CallKind::of(&first.crash().suspects));
        let others_are_answered = last_answer.is_some_and(|at| *at >= first_ended);
        // Answers that clear older crashes are no longer reported; this node may have missed them.
        let last = crashes
            .last()
            .map_or(first_ended, |open| open.crash().ended);
        let is_recent = now.saturating_sub(last) <= ANSWER_REPORT_PERIOD;
        let is_unexplained = unexplained.len() >= MIN_UNEXPLAINED_PROCESSES;
        let is_shown =
            has_settled && is_repeated && others_are_answered && is_recent && is_unexplained;
        is_shown.then(|| CrashCause {
            suspects,
            processes: processes.len(),
            first: first_ended,
            last,
        })
    }

    /// Returns the suspects of a crash that have not been answered since.
    fn open_suspects(&self, crash: &Crash) -> Suspects {
        let suspects = crash.suspects.iter().copied();
        suspects
            .filter(|suspect| !self.is_cleared(*suspect, crash.ended))
            .collect()
    }

    fn is_cleared(&self, suspect: Suspect, crashed: Moment) -> bool {
        let last = self.answers.get(&suspect).and_then(Observed::last);
        last.is_some_and(|answered| answered.at >= crashed)
    }

    fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.saturating_sub(at) <= RETENTION;
        let known = &mut self.known;
        self.crashes.retain(|KnownCrash { crash, .. }| {
            let is_kept = is_recent(crash.ended);
            if !is_kept {
                known.remove(&(crash.process, crash.suspects.clone()));
            }
            is_kept
        });
        self.explained.retain(|_, ended| is_recent(*ended));
        let crashes = &self.crashes;
        let mut suspects: HashSet<Suspect> = HashSet::new();
        suspects.extend(crashes.iter().flat_map(|known| &known.crash.suspects));
        self.answers.retain(|suspect, _| suspects.contains(suspect));
        let processes: HashSet<ProcessName> = crashes.iter().map(|k| k.crash.process).collect();
        self.survivors
            .retain(|process, _| processes.contains(process));
    }
}
