//! Event history of a run: observations of callers, back ends and the cloud, and the injected faults.
//!
//! All timestamps are relative to the start of the run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, MutexGuard};

/// Time since the start of a run.
pub type Moment = Duration;
/// ID of an attempt, as 16 hexadecimal digits.
pub type AttemptId = Box<str>;

/// Execution guarantee of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The call may be executed more than once.
    Idempotent,
    /// The call is executed at most once.
    AtMostOnce,
    /// A stream that is executed at most once.
    Stream,
    /// A stream that may be resumed on another back end.
    ResumableStream,
    /// A stream of several seconds that may be resumed on another back end.
    LongStream,
    /// An idempotent call with a response of several megabytes, which its caller reads slowly.
    Large,
}

impl Kind {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Stream | Self::ResumableStream | Self::LongStream
        )
    }

    /// Returns whether an attempt may be executed on several back ends.
    pub fn may_repeat(self) -> bool {
        !matches!(self, Self::AtMostOnce | Self::Stream)
    }
}

/// One execution of an attempt on a back end.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the back end.
    pub backend: usize,
    /// Service of the back end.
    pub service: &'static str,
    /// When the call arrived.
    pub at: Moment,
    /// When the execution ended; `None` while it is running.
    pub ended: Option<Moment>,
    /// Customer named by the gateway.
    pub customer: Option<Box<str>>,
    /// Whether the gateway forwarded the caller's API key.
    pub has_key: bool,
    /// Deadline that the gateway sent to the back end, as the remaining time.
    pub deadline: Option<Duration>,
}

/// Outcome of an attempt as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received a complete response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the response carries a back end's valid signature.
        is_signed: bool,
        /// Defect of the response, such as a wrong body or a signature of another call.
        fault: Option<Box<str>>,
    },
    /// The response was cut off after its headers.
    BrokenOff,
    /// The connection failed before a response arrived.
    NoAnswer,
    /// The caller abandoned the call before its deadline.
    Left,
    /// No complete response arrived before the caller's timeout.
    Silence,
}

impl Outcome {
    /// Returns whether the response has a success status.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if *status < 300)
    }
}

/// One attempt by a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// ID of the attempt.
    pub id: AttemptId,
    /// Node that the attempt was sent to.
    pub node: usize,
    /// Kind of the route.
    pub kind: Kind,
    /// Customer whose API key was sent.
    pub customer: &'static str,
    /// Units charged to the customer's limit.
    pub units: u32,
    /// When the attempt was sent.
    pub sent: Moment,
    /// When the outcome was known.
    pub ended: Moment,
    /// Deadline sent by the caller, as the time remaining after `sent`.
    pub deadline: Duration,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// Component affected by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A node: its process, or its links to callers or the store.
    Node(usize),
    /// A back end, or the link to it.
    Backend(usize),
    /// The store, as seen by all nodes.
    Store,
    /// The cloud, or the link of a node to it.
    Cloud,
}

/// A period in which a fault affected a target.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Affected component.
    pub target: Target,
    /// Whether it is planned work: a node is down after a graceful stop.
    pub is_planned: bool,
    /// Start of the fault.
    pub from: Moment,
    /// End of the fault; `None` while it is active.
    pub to: Option<Moment>,
}

impl Disturbance {
    fn affects(&self, target: Target, from: Moment, to: Moment) -> bool {
        self.target == target && self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// A period in which a back end is silent: it sends nothing, and goes on with all calls afterwards. It is sound
/// all the while.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Number of the back end.
    pub backend: usize,
    /// Start of the silence.
    pub from: Moment,
    /// End of the silence; `None` while it lasts.
    pub to: Option<Moment>,
}

/// A call made by the holder of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// When the cloud received the call.
    pub at: Moment,
    /// Node that made the call.
    pub holder: Box<str>,
    /// Fencing token of the call.
    pub fence: u64,
    /// Subject of the duty: usage, or a service in an availability zone.
    pub subject: Box<str>,
    /// Window and counts per customer, if the call is a usage report.
    pub usage: Option<(u64, BTreeMap<Box<str>, u32>)>,
}

/// A version of the configuration accepted by the store.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// When the store accepted the version.
    pub at: Moment,
    /// Service of the route that alternates between two services.
    pub moving_route: &'static str,
}

/// A graceful stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Number of the node.
    pub node: usize,
    /// When the process received SIGTERM.
    pub at: Moment,
    /// Duration of the stop; `None` if the process had to be killed.
    pub took: Option<Duration>,
    /// Whether the process exited successfully.
    pub is_success: bool,
}

/// All events of a run.
#[derive(Debug, Default)]
pub struct Events {
    /// Executions on back ends, by attempt.
    pub runs: HashMap<AttemptId, Vec<Run>>,
    /// Completed attempts.
    pub attempts: Vec<Attempt>,
    /// Injected faults.
    pub disturbances: Vec<Disturbance>,
    /// Silences of back ends.
    pub silences: Vec<Silence>,
    /// Duty calls received by the cloud.
    pub duty_calls: Vec<DutyCall>,
    /// Versions of the configuration, in the order of their writes.
    pub versions: Vec<Version>,
    /// When the store acknowledged that a back end is draining or removed, by back end.
    pub leaving_since: HashMap<usize, Moment>,
    /// Graceful stops.
    pub stops: Vec<Stop>,
    /// Node processes that exited without being stopped or killed.
    pub unexpected_exits: Vec<(usize, Moment)>,
    /// Descriptions of calls that arrived at a back end with a different body, or malformed at the cloud.
    pub unexpected_calls: Vec<Box<str>>,
}

/// Shared event history with the clock of the run.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    /// Time of day at the start, in milliseconds since 1970.
    pub wall_start: u64,
    events: Arc<Mutex<Events>>,
}

impl History {
    /// Creates an empty history and starts the clock.
    pub fn new(wall_start: u64) -> Self {
        Self {
            start: Instant::now(),
            wall_start,
            events: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Locks the events.
    pub fn lock(&self) -> MutexGuard<'_, Events> {
        self.events.lock()
    }

    /// Records the start of a fault. Dropping the guard records its end.
    pub fn begin_disturbance(&self, target: Target) -> DisturbanceGuard {
        self.begin(target, false)
    }

    /// Records that a node is down after a graceful stop. Dropping the guard records the end.
    pub fn begin_planned(&self, target: Target) -> DisturbanceGuard {
        self.begin(target, true)
    }

    fn begin(&self, target: Target, is_planned: bool) -> DisturbanceGuard {
        let mut events = self.lock();
        let index = events.disturbances.len();
        events.disturbances.push(Disturbance {
            target,
            is_planned,
            from: self.now(),
            to: None,
        });
        DisturbanceGuard {
            history: self.clone(),
            index,
        }
    }
}

/// Guard of an active fault; records its end when dropped.
#[derive(Debug)]
pub struct DisturbanceGuard {
    history: History,
    index: usize,
}

impl Drop for DisturbanceGuard {
    fn drop(&mut self) {
        let now = self.history.now();
        self.history.lock().disturbances[self.index].to = Some(now);
    }
}

impl Events {
    /// Returns whether no fault affected a target between two points in time.
    pub fn is_undisturbed(&self, target: Target, from: Moment, to: Moment) -> bool {
        !self
            .disturbances
            .iter()
            .any(|d| d.affects(target, from, to))
    }

    /// Returns whether no fault affected a target between two points in time, except by planned work.
    pub fn has_only_planned_work(&self, target: Target, from: Moment, to: Moment) -> bool {
        let mut unplanned = self.disturbances.iter().filter(|d| !d.is_planned);
        !unplanned.any(|d| d.affects(target, from, to))
    }
}
