//! What callers, back ends and the cloud saw, and what was done to them, in times since the start.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, MutexGuard};

/// Time since the start of a run.
pub type Moment = Duration;
/// Id of a caller's attempt, as 16 hexadecimal digits.
pub type AttemptId = Box<str>;

/// What a route promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run again.
    Idempotent,
    /// Runs once at most.
    AtMostOnce,
    /// A stream that runs once at most.
    Stream,
    /// A stream that may go on at another back end.
    ResumableStream,
}

impl Kind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether an attempt may run on several back ends.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One run of an attempt at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    /// Back end.
    pub backend: usize,
    /// Service of the back end.
    pub service: &'static str,
    /// When the call arrived.
    pub at: Moment,
    /// When the work ended; `None` while it goes on.
    pub ended: Option<Moment>,
    /// Customer that the gateway named.
    pub customer: Option<Box<str>>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
    /// Time that the back end was given.
    pub deadline: Option<Duration>,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is signed by a back end.
        is_signed: bool,
        /// What is wrong with a success.
        fault: Option<Box<str>>,
    },
    /// The answer's head came, and the rest did not.
    BrokenOff,
    /// The connection ended without an answer.
    NoAnswer,
    /// The caller left early.
    Left,
    /// Nothing came until the caller gave up.
    Silence,
}

impl Outcome {
    /// Returns whether it is an answer with a success.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if *status < 300)
    }
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// Node that it was sent to.
    pub node: usize,
    /// Kind of its route.
    pub kind: Kind,
    /// Customer whose key it bears.
    pub customer: &'static str,
    /// Units that count for the customer's limit.
    pub units: u32,
    /// When it was sent.
    pub sent: Moment,
    /// When its outcome was known.
    pub ended: Moment,
    /// Time for which the caller waits.
    pub deadline: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// What a fault was done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A node, its process or its links to callers, the store or the cloud.
    Node(usize),
    /// A back end or the link to it.
    Backend(usize),
    /// The store, for all nodes.
    Store,
    /// The cloud, for all nodes.
    Cloud,
}

/// A span in which something was done to a target.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The target.
    pub target: Target,
    /// Start.
    pub from: Moment,
    /// End; `None` while it goes on.
    pub to: Option<Moment>,
}

/// A call of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// When it came.
    pub at: Moment,
    /// Node that made it.
    pub holder: Box<str>,
    /// Its fencing token.
    pub fence: u64,
    /// What it was about: usage, or a service in an availability zone.
    pub subject: Box<str>,
    /// Window and counts of a report of usage.
    pub usage: Option<(u64, BTreeMap<Box<str>, u32>)>,
}

/// A version of the configuration that the store took.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// When the store took it.
    pub at: Moment,
    /// Service of the route that moves between two services.
    pub moving_route: &'static str,
}

/// A graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Node.
    pub node: usize,
    /// When it was told.
    pub at: Moment,
    /// How long it took; `None` where the process had to be killed.
    pub took: Option<Duration>,
    /// Whether it ended with success.
    pub is_success: bool,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Events {
    /// Runs at back ends.
    pub runs: HashMap<AttemptId, Vec<Run>>,
    /// Attempts that have ended.
    pub attempts: Vec<Attempt>,
    /// What was done.
    pub disturbances: Vec<Disturbance>,
    /// Calls of duties that the cloud took.
    pub duty_calls: Vec<DutyCall>,
    /// Versions of the configuration.
    pub versions: Vec<Version>,
    /// When each back end's leaving was acknowledged by the store.
    pub left: HashMap<usize, Moment>,
    /// Graceful stops.
    pub stops: Vec<Stop>,
    /// Processes that ended by themselves.
    pub own_exits: Vec<(usize, Moment)>,
    /// Calls at back ends that no caller sent as they came.
    pub strays: Vec<Box<str>>,
}

/// Events under a lock, with the clock of the run.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    /// Time of day at the start, in milliseconds since 1970.
    pub wall_start: u64,
    events: Arc<Mutex<Events>>,
}

impl History {
    /// Starts the clock.
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

    /// Locks what was seen.
    pub fn lock(&self) -> MutexGuard<'_, Events> {
        self.events.lock()
    }

    /// Notes the start of a disturbance; the guard's drop is its end.
    pub fn disturb(&self, target: Target) -> Disturbing {
        let mut events = self.lock();
        let place = events.disturbances.len();
        events.disturbances.push(Disturbance {
            target,
            from: self.now(),
            to: None,
        });
        Disturbing {
            history: self.clone(),
            place,
        }
    }
}

/// A disturbance that goes on.
#[derive(Debug)]
pub struct Disturbing {
    history: History,
    place: usize,
}

impl Drop for Disturbing {
    fn drop(&mut self) {
        let now = self.history.now();
        self.history.lock().disturbances[self.place].to = Some(now);
    }
}

impl Events {
    /// Returns whether nothing was done to a target in a span.
    pub fn is_calm(&self, target: Target, from: Moment, to: Moment) -> bool {
        !self
            .disturbances
            .iter()
            .any(|d| d.target == target && d.from <= to && d.to.is_none_or(|end| end >= from))
    }
}
