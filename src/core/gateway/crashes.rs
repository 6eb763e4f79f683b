//! Crashes of back ends with the prompts that they had begun to process, to find the prompts that cause them.
//!
//! A crash breaks off all calls at the back end, and most of these are sound. What tells them apart is
//! success: the parts of each answered prompt are cleared of the crashes before the answer. Parts that were
//! under way at crashes of several back ends, one after the other, and that no node saw answered meanwhile,
//! are taken for the cause. If the prompts of these crashes have several such parts in common, only prompts
//! with all of them are: which one is the cause is not known.
//!
//! A back end may also lose single answers, or connections, and go on. It has not crashed if it answers a call
//! that was under way at that time.
//!
//! Nodes exchange what they observe. Only parts of prompts that were under way at a crash are kept.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::backends::ProcessName;
use super::cache::{Part, PartId};
use super::observed::{Observation, Observed, Observer};
use crate::core::time::Moment;

/// Number of processes of back ends that must have crashed under a prompt part.
const MIN_PROCESSES: usize = 3;
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

/// Sorted ids of the parts that a prompt may share with others: all but the last one.
pub type SharedParts = SmallVec<[PartId; 4]>;

/// Returns the parts that a prompt may share with others.
pub fn shared_parts(parts: &[Part]) -> SharedParts {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut ids: SharedParts = shared.iter().map(|part| part.id).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Returns whether sorted `parts` contain all of sorted `subset`.
pub fn contains_all(parts: &[PartId], subset: &[PartId]) -> bool {
    subset.iter().all(|part| parts.binary_search(part).is_ok())
}

/// A prompt that was under way without an answer when its back end crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Parts of the prompt that others may share.
    pub parts: SharedParts,
    /// Process of the back end.
    pub process: ProcessName,
    /// When the call was sent.
    pub sent: Moment,
    /// When the back end broke it off.
    pub ended: Moment,
}

/// A part of a prompt that was answered, which clears it of the crashes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartAnswer {
    /// The part.
    pub part: PartId,
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

/// Parts that are taken for the cause of crashes, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCause {
    /// Prompts with all of these parts crash back ends.
    pub parts: SharedParts,
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
}

/// Crashes that the nodes observed lately, and the answers that clear parts of them.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: Vec<KnownCrash>,
    known: HashSet<(ProcessName, SharedParts)>,
    /// When parts of these prompts were last answered.
    answers: HashMap<PartId, Observed<()>>,
    /// Calls that back ends answered to this node lately, in the order of their answers.
    calls: VecDeque<AnsweredCall>,
    /// Processes that have not crashed at the time of a crash in this log.
    survivors: HashMap<ProcessName, Observed<()>>,
    /// Processes whose crash has a known cause, with the time of the crash.
    explained: HashMap<ProcessName, Moment>,
    /// When this node last saw any prompt answered.
    last_answer: Option<Moment>,
}

impl CrashLog {
    /// Records a prompt that was under way when its back end crashed. Returns whether this is new.
    pub fn record_crash(&mut self, crash: Crash, observer: Observer) -> bool {
        if crash.parts.is_empty() || self.explained.contains_key(&crash.process) {
            return false;
        }
        if !self.known.insert((crash.process, crash.parts.clone())) && !self.forget_refuted(&crash)
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
            self.known.remove(&(oldest.process, oldest.parts));
        }
        for part in &crash.parts {
            self.answers.entry(*part).or_default();
        }
        self.crashes.push(KnownCrash { crash, observer });
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

    /// Removes a refuted crash of the same process and parts. Returns whether there was one.
    fn forget_refuted(&mut self, crash: &Crash) -> bool {
        let refuted = self.crashes.iter().position(|known| {
            known.crash.process == crash.process
                && known.crash.parts == crash.parts
                && crash.ended > known.crash.ended
                && self.is_refuted(&known.crash)
        });
        refuted.map(|at| self.crashes.remove(at)).is_some()
    }

    fn is_refuted(&self, crash: &Crash) -> bool {
        let survived = self.survivors.get(&crash.process).and_then(Observed::last);
        survived.is_some_and(|survived| survived.at >= crash.ended)
    }

    /// Records that this node saw a prompt with these parts answered.
    pub fn record_answer(&mut self, parts: &[PartId], now: Moment) {
        self.last_answer = Some(now);
        if self.crashes.is_empty() {
            return;
        }
        for part in parts {
            let is_suspect = self.crashes.iter().any(|known| {
                known.crash.parts.contains(part) && !self.is_cleared(*part, known.crash.ended)
            });
            if is_suspect {
                self.apply_answer(
                    PartAnswer {
                        part: *part,
                        at: now,
                    },
                    Observer::Node,
                );
            }
        }
    }

    /// Applies an answer that a node saw.
    pub fn apply_answer(&mut self, answer: PartAnswer, observer: Observer) {
        let answered = Observation {
            at: answer.at,
            value: (),
        };
        let last = self.answers.entry(answer.part).or_default();
        last.record(answered, observer);
    }

    /// Returns the newest crashes, up to `limit`, of which at least one part is not cleared and which
    /// `observer` or a smaller group of nodes has observed.
    pub fn crashes_to_report(&self, observer: Observer, limit: usize) -> Vec<&Crash> {
        let known = self.crashes.iter().rev();
        known
            .filter(|known| known.observer <= observer)
            .map(|known| &known.crash)
            .filter(|crash| !self.is_refuted(crash) && !self.suspects(crash).is_empty())
            .take(limit)
            .collect()
    }

    /// Returns the latest answers, up to `limit`, which `observer` or a smaller group of nodes has seen.
    pub fn answers_to_report(
        &self,
        observer: Observer,
        limit: usize,
        now: Moment,
    ) -> Vec<PartAnswer> {
        let answers = self.answers.iter();
        answers
            .filter_map(|(part, last)| {
                let at = last.last_of(observer)?.at;
                Some(PartAnswer { part: *part, at })
            })
            .filter(|answer| now.saturating_sub(answer.at) <= ANSWER_REPORT_PERIOD)
            .take(limit)
            .collect()
    }

    /// Returns the parts that are taken for the cause of crashes. The crashes that they explain are not
    /// considered again.
    pub fn take_causes(&mut self, now: Moment) -> Vec<CrashCause> {
        self.expire(now);
        let mut causes = Vec::new();
        while let Some(cause) = self.find_cause(now) {
            self.explain(&cause.parts);
            causes.push(cause);
        }
        causes
    }

    /// Removes the crashes of processes that crashed under prompts with all of these parts.
    pub fn explain(&mut self, parts: &[PartId]) {
        for KnownCrash { crash, .. } in &self.crashes {
            if contains_all(&crash.parts, parts) {
                self.explained.insert(crash.process, crash.ended);
            }
        }
        let (explained, known) = (&self.explained, &mut self.known);
        self.crashes.retain(|KnownCrash { crash, .. }| {
            let is_open = !explained.contains_key(&crash.process);
            if !is_open {
                known.remove(&(crash.process, crash.parts.clone()));
            }
            is_open
        });
    }

    /// Returns the cause with the most parts in common, as it excludes the fewest prompts; of these, the one
    /// with the most crashes.
    fn find_cause(&self, now: Moment) -> Option<CrashCause> {
        let open = self.crashes.iter().map(|known| &known.crash);
        let open: Vec<(&Crash, SharedParts)> = open
            .filter(|crash| !self.is_refuted(crash))
            .map(|crash| (crash, self.suspects(crash)))
            .filter(|(_, suspects)| !suspects.is_empty())
            .collect();
        let parts: HashSet<PartId> = open.iter().flat_map(|(_, parts)| parts).copied().collect();
        let causes = parts.into_iter().filter_map(|part| {
            let crashes = open.iter().filter(|(_, suspects)| suspects.contains(&part));
            self.cause_of(crashes, now)
        });
        causes.max_by_key(|cause| (cause.parts.len(), cause.processes))
    }

    /// Returns the parts that crashes have in common, if the crashes show that these are the cause.
    fn cause_of<'a>(
        &self,
        crashes: impl Iterator<Item = &'a (&'a Crash, SharedParts)>,
        now: Moment,
    ) -> Option<CrashCause> {
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable_by_key(|(crash, _)| crash.ended);
        let (first, mut parts) = crashes
            .first()
            .map(|(crash, parts)| (*crash, parts.clone()))?;
        let mut processes = HashSet::new();
        let mut shown_at = None;
        for (crash, suspects) in &crashes {
            parts.retain(|part| suspects.contains(part));
            if processes.insert(crash.process) && processes.len() == MIN_PROCESSES {
                shown_at = Some(crash.ended);
            }
        }
        let has_settled = now.saturating_sub(shown_at?) >= SETTLING_TIME;
        let is_repeated = crashes
            .iter()
            .any(|(crash, _)| crash.sent >= first.ended + MIN_REPEAT_DELAY);
        let others_are_answered = self.last_answer >= Some(first.ended);
        // Answers that clear older crashes are no longer reported; this node may have missed them.
        let last = crashes.last().map_or(first.ended, |(crash, _)| crash.ended);
        let is_recent = now.saturating_sub(last) <= ANSWER_REPORT_PERIOD;
        let is_shown = has_settled && is_repeated && others_are_answered && is_recent;
        is_shown.then(|| CrashCause {
            parts,
            processes: processes.len(),
            first: first.ended,
            last,
        })
    }

    /// Returns the parts of a crash that have not been answered since.
    fn suspects(&self, crash: &Crash) -> SharedParts {
        let parts = crash.parts.iter().copied();
        parts
            .filter(|part| !self.is_cleared(*part, crash.ended))
            .collect()
    }

    fn is_cleared(&self, part: PartId, crashed: Moment) -> bool {
        let last = self.answers.get(&part).and_then(Observed::last);
        last.is_some_and(|answered| answered.at >= crashed)
    }

    fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.saturating_sub(at) <= RETENTION;
        let known = &mut self.known;
        self.crashes.retain(|KnownCrash { crash, .. }| {
            let is_kept = is_recent(crash.ended);
            if !is_kept {
                known.remove(&(crash.process, crash.parts.clone()));
            }
            is_kept
        });
        self.explained.retain(|_, ended| is_recent(*ended));
        let crashes = &self.crashes;
        let mut parts: HashSet<PartId> = HashSet::new();
        parts.extend(crashes.iter().flat_map(|known| &known.crash.parts));
        self.answers.retain(|part, _| parts.contains(part));
        let processes: HashSet<ProcessName> = crashes.iter().map(|k| k.crash.process).collect();
        self.survivors
            .retain(|process, _| processes.contains(process));
    }
}
