//! What to do about a back end that has been silent for longer than usual: wait for it, or try another one.
//!
//! A silent back end is suspected, not given up: a sound one may fall silent for a moment and go on. If several back ends
//! of a service are silent at the same time, they have a common cause, and another one of them is no better.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use super::backends::BackendId;
use super::routes::ServiceName;
use crate::core::time::Moment;

/// Silence after which another back end is tried though several of the service are silent, as a multiple of the timeout.
const MAX_COMMON_SILENCE_FACTOR: u32 = 2;
/// Time without an event after which another back end counts as silent too, as a part of the timeout. A back end that
/// fell silent at the same moment may have sent its last event a little later.
const OTHERS_SILENT_FACTOR: f64 = 0.5;

/// What is known when a back end has been silent for longer than its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Time since the last event, or since the call was sent.
    pub lasted: Duration,
    /// Time after which another back end may be tried.
    pub timeout: Duration,
    /// Whether the call may be repeated and sent to one more back end.
    pub has_attempts: bool,
    /// Whether this node does not reach the back ends of the service.
    pub is_cut_off: bool,
    /// The other back ends of the service.
    pub others: OtherBackends,
}

/// Number of back ends that send streams to this node, by whether they are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherBackends {
    /// Those that have sent an event lately.
    pub active: usize,
    /// Those that have not.
    pub silent: usize,
}

/// What to do about a silent back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To wait for it.
    Wait(WaitReason),
    /// To try another back end.
    TryAnother,
}

/// Why no other back end is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The call may be sent to no more back ends.
    NoAttempts,
    /// Other back ends of the service are silent too.
    ServiceSilent,
    /// No other back end is open for the call.
    NoCandidate,
    /// The retry budget is used up.
    NoBudget,
}

impl WaitReason {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoAttempts => "no_attempts",
            Self::ServiceSilent => "service_silent",
            Self::NoCandidate => "no_candidate",
            Self::NoBudget => "no_budget",
        }
    }
}

impl Silence {
    /// Decides whether another back end is to be tried, if there is one and the retry budget allows it.
    pub fn decide(&self) -> Decision {
        if !self.has_attempts {
            return Decision::Wait(WaitReason::NoAttempts);
        }
        let is_long = self.lasted >= self.timeout * MAX_COMMON_SILENCE_FACTOR;
        if self.others.are_mostly_silent() && !self.is_cut_off && !is_long {
            return Decision::Wait(WaitReason::ServiceSilent);
        }
        Decision::TryAnother
    }
}

impl OtherBackends {
    /// Returns whether as many back ends are silent as are not, or more.
    fn are_mostly_silent(&self) -> bool {
        self.silent > 0 && self.silent >= self.active
    }
}

/// When a back end last sent something in a stream to this node.
#[derive(Debug)]
pub struct Activity {
    service: ServiceName,
    last_ms: AtomicU64,
}

impl Activity {
    /// Records that the back end has sent something.
    pub fn record(&self, now: Moment) {
        self.last_ms
            .fetch_max(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the back end last sent something.
    fn age(&self, now: Moment) -> Duration {
        let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
        now.saturating_sub(last)
    }
}

/// The back ends that send streams to this node, with their activity.
#[derive(Debug, Default)]
pub struct Activities {
    /// Kept by the streams.
    backends: HashMap<BackendId, Weak<Activity>>,
}

impl Activities {
    /// Records that a stream of a back end has begun, and returns the back end's activity. It counts as long as a stream
    /// keeps the returned value.
    pub fn begin(&mut self, service: &str, backend: &str, now: Moment) -> Arc<Activity> {
        let known = self.backends.get(backend).and_then(Weak::upgrade);
        if let Some(known) = known.filter(|activity| *activity.service == *service) {
            known.record(now);
            return known;
        }
        self.backends
            .retain(|_, activity| activity.strong_count() > 0);
        let activity = Arc::new(Activity {
            service: service.into(),
            last_ms: AtomicU64::new(now.as_millis() as u64),
        });
        self.backends
            .insert(backend.into(), Arc::downgrade(&activity));
        activity
    }

    /// Returns the back ends of a service whose streams are all silent.
    pub fn silent(&self, service: &str, timeout: Duration, now: Moment) -> Vec<BackendId> {
        self.of_service(service)
            .filter(|(_, activity)| is_silent(activity, timeout, now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Counts the back ends of a service but one by whether they are silent.
    pub fn others(
        &self,
        service: &str,
        except: &str,
        timeout: Duration,
        now: Moment,
    ) -> OtherBackends {
        let mut others = OtherBackends::default();
        for (id, activity) in self.of_service(service) {
            if **id == *except {
                continue;
            }
            match is_silent(&activity, timeout, now) {
                true => others.silent += 1,
                false => others.active += 1,
            }
        }
        others
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&BackendId, Arc<Activity>)> {
        self.backends
            .iter()
            .filter_map(|(id, activity)| Some((id, activity.upgrade()?)))
            .filter(move |(_, activity)| *activity.service == *service)
    }
}

fn is_silent(activity: &Activity, timeout: Duration, now: Moment) -> bool {
    activity.age(now) >= timeout.mul_f64(OTHERS_SILENT_FACTOR)
}
