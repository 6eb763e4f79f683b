//! Encoding of the load, usage and observations that messages between nodes carry.

use std::collections::HashMap;
use std::time::Duration;

use prost::Message;

use super::rollout_wire::RolloutCountWire;
use super::samples_wire::SamplesWire;
use crate::core::gateway::backends::{Backends, ProcessName};
use crate::core::gateway::crashes::{Crash, CrashLog, Survivor, SuspectAnswer};
use crate::core::gateway::load::{Load, RANKS};
use crate::core::gateway::observed::{Observation, Observer};
use crate::core::gateway::routes::{CustomerName, ServiceName};
use crate::core::gateway::suspects::{Suspect, Suspects, parts_of, request_of};
use crate::core::gateway::usage::{Counts, Window};
use crate::core::time::Moment;
use crate::util::time::as_millis_u64;

/// Limits on the crashes and on the answered parts in the report of a node.
const MAX_NODE_CRASHES: usize = 8;
const MAX_NODE_ANSWERS: usize = 16;
/// Limit on the parts of prompts in the crashes of a report, which has to fit into a datagram. The head of a call names
/// no more of them.
const MAX_REPORTED_PARTS: usize = 4096;
/// Time after which a report begins with another crash if it cannot hold them all.
const CRASH_TURN: Duration = Duration::from_millis(200);
/// Limits on the crashes and on the answered parts in the sums over an availability zone.
const MAX_ZONE_CRASHES: usize = 48;
const MAX_ZONE_ANSWERS: usize = 64;
/// Limits on the call limits in the report of a node, and in the sums over an availability zone.
const MAX_NODE_CALL_LIMITS: usize = 64;
const MAX_ZONE_CALL_LIMITS: usize = 400;
/// Time for which a call limit that a back end named is reported. Reports may be lost, and are repeated.
const CALL_LIMIT_REPORT_PERIOD: Duration = Duration::from_secs(4);

/// Admitted load, usage and work of one node, or the sums over all nodes of an availability zone.
#[derive(Clone, PartialEq, Message)]
pub struct LoadSumWire {
    /// Units admitted for each customer, as running totals.
    #[prost(message, repeated, tag = "1")]
    pub totals: Vec<TotalWire>,
    /// Counts of calls, for usage reports.
    #[prost(message, repeated, tag = "2")]
    pub usage: Vec<CountWire>,
    /// Work for each service, in milliseconds per second.
    #[prost(message, repeated, tag = "3")]
    pub work: Vec<RateWire>,
    /// Calls in progress at back ends; only sent within a region.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadWire>,
    /// Whether `loads` is complete.
    #[prost(bool, tag = "5")]
    pub has_loads: bool,
    /// Short names of the processes of back ends that announced lately that they are leaving.
    #[prost(fixed32, repeated, tag = "6")]
    pub leaving: Vec<u32>,
    /// Prompts that were under way when back ends crashed.
    #[prost(message, repeated, tag = "7")]
    pub crashes: Vec<CrashWire>,
    /// Parts of these prompts that were answered since.
    #[prost(message, repeated, tag = "8")]
    pub answers: Vec<SuspectAnswerWire>,
    /// Call limits that back ends named lately.
    #[prost(message, repeated, tag = "9")]
    pub call_limits: Vec<CallLimitWire>,
    /// Processes of back ends that have not crashed, although a call broke off.
    #[prost(message, repeated, tag = "10")]
    pub survivors: Vec<SurvivorWire>,
    /// Answers of old and new software versions, while rollouts run.
    #[prost(message, repeated, tag = "20")]
    pub rollouts: Vec<RolloutCountWire>,
    /// Samples of calls, from which limits are learned.
    #[prost(message, optional, tag = "11")]
    pub samples: Option<SamplesWire>,
}

/// Process of a back end that answered a call which was under way at its supposed crash.
#[derive(Clone, PartialEq, Message)]
pub struct SurvivorWire {
    /// Short name of the process.
    #[prost(fixed32, tag = "1")]
    pub process: u32,
    /// Time since the answer, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Call limit that a back end named in an answer.
#[derive(Clone, PartialEq, Message)]
pub struct CallLimitWire {
    /// Short name of the process of the back end.
    #[prost(fixed32, tag = "1")]
    pub process: u32,
    /// Calls a second; absent if the answer named no limit any more.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Time since the answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A prompt that was under way when its back end crashed.
#[derive(Clone, PartialEq, Message)]
pub struct CrashWire {
    /// Parts of the prompt that others may share.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
    /// Short name of the process of the back end.
    #[prost(fixed32, tag = "2")]
    pub process: u32,
    /// Time since the call was sent, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ended_ms: u64,
    /// Identity of the request.
    #[prost(fixed64, optional, tag = "5")]
    pub request: Option<u64>,
}

/// A part of a prompt, or a request, that was answered.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectAnswerWire {
    /// The part or the request.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Time since the answer, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether it is a request.
    #[prost(bool, tag = "3")]
    pub is_request: bool,
}

/// Units admitted for a customer.
#[derive(Clone, PartialEq, Message)]
pub struct TotalWire {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Units.
    #[prost(double, tag = "2")]
    pub units: f64,
}

/// Work of a service.
#[derive(Clone, PartialEq, Message)]
pub struct RateWire {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Milliseconds per second.
    #[prost(float, tag = "2")]
    pub per_second: f32,
}

/// Calls of a customer in a usage window.
#[derive(Clone, PartialEq, Message)]
pub struct CountWire {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Calls.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
}

/// Calls in progress at a back end.
#[derive(Clone, PartialEq, Message)]
pub struct LoadWire {
    /// Short name of the back end.
    #[prost(fixed32, tag = "1")]
    pub backend: u32,
    /// Calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
    /// Tokens that these calls hold in the KV cache.
    #[prost(uint32, tag = "3")]
    pub kv_tokens: u32,
    /// Calls that wait for their first event, by rank.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
    /// Prompt tokens not yet processed, by rank.
    #[prost(uint32, repeated, tag = "5")]
    pub unread: Vec<u32>,
}

/// Returns those of the crashes that fit into a report at `now`. If not all do, reports hold them in turn.
fn fitting_crashes(mut crashes: Vec<&Crash>, now: Moment) -> Vec<&Crash> {
    crashes.retain(|crash| crash.suspects.len() <= MAX_REPORTED_PARTS);
    let parts: usize = crashes.iter().map(|crash| crash.suspects.len()).sum();
    if parts > MAX_REPORTED_PARTS {
        let turn = now.as_millis() / CRASH_TURN.as_millis();
        let first = turn % crashes.len() as u128;
        crashes.rotate_left(first as usize);
    }
    let mut parts = 0;
    let fits = |crash: &&Crash| {
        parts += crash.suspects.len();
        parts <= MAX_REPORTED_PARTS
    };
    crashes.into_iter().take_while(fits).collect()
}

impl LoadSumWire {
    /// Sets the crashes of back ends that `observer` or a smaller group of nodes has observed, and the parts of
    /// prompts that it has seen answered since.
    pub fn set_crashes(&mut self, log: &CrashLog, observer: Observer, now: Moment) {
        let (max_crashes, max_answers) = match observer {
            Observer::Node => (MAX_NODE_CRASHES, MAX_NODE_ANSWERS),
            Observer::Zone | Observer::Fleet => (MAX_ZONE_CRASHES, MAX_ZONE_ANSWERS),
        };
        let age_ms = |at: Moment| as_millis_u64(now.saturating_sub(at));
        let crashes = fitting_crashes(log.crashes_to_report(observer, max_crashes), now);
        self.crashes = crashes
            .into_iter()
            .map(|crash| CrashWire {
                parts: parts_of(&crash.suspects).to_vec(),
                request: request_of(&crash.suspects),
                process: crash.process,
                sent_ms: age_ms(crash.sent),
                ended_ms: age_ms(crash.ended),
            })
            .collect();
        let answers = log.answers_to_report(observer, max_answers, now);
        self.answers = answers
            .iter()
            .map(|answer| SuspectAnswerWire {
                is_request: matches!(answer.suspect, Suspect::Request(_)),
                id: match answer.suspect {
                    Suspect::Part(id) | Suspect::Request(id) => id,
                },
                age_ms: age_ms(answer.at),
            })
            .collect();
        let survivors = log.survivors_to_report(observer, max_answers, now);
        self.survivors = survivors
            .iter()
            .map(|survivor| SurvivorWire {
                process: survivor.process,
                age_ms: age_ms(survivor.at),
            })
            .collect();
    }

    /// Adds crashes, answered parts and survivors of a message that arrived at `now` to those of `observer`.
    pub fn add_crashes_to(&self, log: &mut CrashLog, observer: Observer, now: Moment) {
        let moment = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for crash in &self.crashes {
            let parts = crash.parts.iter().copied().map(Suspect::Part);
            let request = crash.request.map(Suspect::Request);
            let mut suspects: Suspects = parts.chain(request).collect();
            suspects.sort_unstable();
            let crash = Crash {
                suspects,
                process: crash.process,
                sent: moment(crash.sent_ms),
                ended: moment(crash.ended_ms),
            };
            log.record_crash(crash, observer);
        }
        for answer in &self.answers {
            let answer = SuspectAnswer {
                suspect: match answer.is_request {
                    true => Suspect::Request(answer.id),
                    false => Suspect::Part(answer.id),
                },
                at: moment(answer.age_ms),
            };
            log.apply_answer(answer, observer);
        }
        for survivor in &self.survivors {
            let survivor = Survivor {
                process: survivor.process,
                at: moment(survivor.age_ms),
            };
            log.apply_survivor(survivor, observer);
        }
    }

    /// Sets the call limits that back ends named to `observer` or a smaller group of nodes.
    pub fn set_call_limits(&mut self, backends: &Backends, observer: Observer, now: Moment) {
        let max = match observer {
            Observer::Node => MAX_NODE_CALL_LIMITS,
            Observer::Zone | Observer::Fleet => MAX_ZONE_CALL_LIMITS,
        };
        let named = backends.call_limits_to_report(observer, now, CALL_LIMIT_REPORT_PERIOD);
        let named = named.into_iter().take(max);
        self.call_limits = named
            .map(|(process, named)| CallLimitWire {
                process,
                per_second: named.value,
                age_ms: as_millis_u64(now.saturating_sub(named.at)),
            })
            .collect();
    }

    /// Returns the call limits of a message that arrived at `now`, by short names of processes.
    pub fn call_limits(&self, now: Moment) -> HashMap<ProcessName, Observation<Option<f64>>> {
        let limits = self.call_limits.iter();
        limits
            .map(|wire| {
                let named = Observation {
                    at: now.saturating_sub(Duration::from_millis(wire.age_ms)),
                    value: wire.per_second,
                };
                (wire.process, named)
            })
            .collect()
    }

    /// Adds the time for which a message was held to the ages of its observations.
    pub fn add_age(&mut self, held_ms: u64) {
        for survivor in &mut self.survivors {
            survivor.age_ms = survivor.age_ms.saturating_add(held_ms);
        }
        for limit in &mut self.call_limits {
            limit.age_ms = limit.age_ms.saturating_add(held_ms);
        }
        for crash in &mut self.crashes {
            crash.sent_ms = crash.sent_ms.saturating_add(held_ms);
            crash.ended_ms = crash.ended_ms.saturating_add(held_ms);
        }
        for answer in &mut self.answers {
            answer.age_ms = answer.age_ms.saturating_add(held_ms);
        }
    }

    /// Sets the admitted units.
    pub fn set_totals(&mut self, totals: Vec<(CustomerName, f64)>) {
        let totals = totals.into_iter();
        self.totals = totals
            .map(|(customer, units)| TotalWire {
                customer: customer.into(),
                units,
            })
            .collect();
    }

    /// Returns the admitted units.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        let totals = self.totals.iter();
        totals
            .map(|total| (total.customer.as_str().into(), total.units))
            .collect()
    }

    /// Adds the counts of a window.
    pub fn add_usage(&mut self, window: Window, counts: &Counts) {
        self.usage
            .extend(counts.iter().map(|(customer, calls)| CountWire {
                window,
                customer: customer.to_string(),
                calls: *calls,
            }));
    }

    /// Returns the counts of each window.
    pub fn usage(&self) -> HashMap<Window, Counts> {
        let mut usage: HashMap<Window, Counts> = HashMap::new();
        for count in &self.usage {
            let counts = usage.entry(count.window).or_default();
            counts.insert(count.customer.as_str().into(), count.calls);
        }
        usage
    }

    /// Sets the work of services.
    pub fn set_work(&mut self, work: impl IntoIterator<Item = (ServiceName, f64)>) {
        let work = work.into_iter();
        self.work = work
            .map(|(name, per_second)| RateWire {
                name: name.into(),
                per_second: per_second as f32,
            })
            .collect();
    }

    /// Returns the work of services.
    pub fn work(&self) -> Vec<(ServiceName, f64)> {
        let work = self.work.iter();
        work.map(|rate| (rate.name.as_str().into(), f64::from(rate.per_second)))
            .collect()
    }

    /// Sets the calls at back ends.
    pub fn set_loads(&mut self, loads: &[(u32, Load)]) {
        self.loads = loads.iter().map(Into::into).collect();
        self.has_loads = true;
    }

    /// Returns the calls at back ends, if they were sent.
    pub fn loads(&self) -> Option<HashMap<u32, Load>> {
        let loads = self.loads.iter();
        self.has_loads
            .then(|| loads.map(|load| (load.backend, load.into())).collect())
    }
}

impl From<&(u32, Load)> for LoadWire {
    fn from((backend, load): &(u32, Load)) -> Self {
        let ranks = |values: &[u32; RANKS]| {
            let used = values.iter().rposition(|v| *v > 0).map_or(0, |at| at + 1);
            values[..used].to_vec()
        };
        Self {
            backend: *backend,
            calls: load.calls,
            kv_tokens: load.kv_tokens,
            waiting: ranks(&load.waiting),
            unread: ranks(&load.unread),
        }
    }
}

impl From<&LoadWire> for Load {
    fn from(wire: &LoadWire) -> Self {
        let mut load = Self {
            calls: wire.calls,
            kv_tokens: wire.kv_tokens,
            ..Self::default()
        };
        for (rank, value) in wire.waiting.iter().take(RANKS).enumerate() {
            load.waiting[rank] = *value;
        }
        for (rank, value) in wire.unread.iter().take(RANKS).enumerate() {
            load.unread[rank] = *value;
        }
        load
    }
}
