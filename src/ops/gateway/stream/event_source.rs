//! The response of a back end from which events are read.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::Instant;

use super::event_timeout;
use crate::core::gateway::silence::Activity;
use crate::ops::gateway::attempt::{GatewayContext, SILENCE_CHECK_INTERVAL};
use crate::ops::gateway::call::Call;
use crate::ops::gateway::pool::Connection;
use crate::ops::gateway::response::BackendResponse;
use crate::ops::gateway::running::RunningAttempt;
use crate::sources::http::{ReceiveError, ReceivedBody};

/// Limit on bytes that are kept while another back end is tried.
const MAX_EARLY_BYTES: usize = 64 * 1024;
/// Number of bytes before new ones that may belong to the end of an event.
const EVENT_END_BYTES: usize = 2;

/// The response of a back end from which events are read.
pub(super) struct EventSource {
    pub(super) body: ReceivedBody,
    pub(super) connection: Connection,
    pub(super) running: RunningAttempt,
    pub(super) idle_timeout: Option<Duration>,
    /// Time from which the caller has wanted the next event.
    wanted_since: Instant,
    /// When to decide whether to wait longer if no event is complete until then.
    pub(super) silence_check: Instant,
    /// Frames that arrived while another back end was tried; `None` for the end of the body.
    early: VecDeque<Option<Frame<Bytes>>>,
    early_bytes: usize,
    /// Last bytes of `early`.
    tail: Vec<u8>,
    /// `None` if another node forwards the call: its back end is not known.
    activity: Option<Arc<Activity>>,
}

/// What a silent back end has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// It has completed an event or the stream.
    WentOn,
    /// Its connection has broken.
    Broken,
}

impl EventSource {
    pub(super) fn new(cx: &GatewayContext, call: &Call, response: BackendResponse) -> Self {
        let running = response.running;
        let now = Instant::now();
        let activity = (!running.is_forwarded()).then(|| {
            let mut activities = cx.state.activities.lock();
            activities.begin(&call.service.name, running.backend(), cx.state.now())
        });
        Self {
            body: response.body,
            connection: response.connection,
            running,
            idle_timeout: response.head.idle_timeout,
            wanted_since: now,
            silence_check: now + event_timeout(call),
            early: VecDeque::new(),
            early_bytes: 0,
            tail: Vec::new(),
            activity,
        }
    }

    /// Returns the next frame of the body.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, ReceiveError>> {
        match self.early.pop_front() {
            Some(frame) => frame.map(Ok),
            None => self.body.frame().await,
        }
    }

    /// Begins to measure the silence anew, as the caller wants the next event. While it reads nothing, the back end may
    /// have sent events that nobody has taken from the connection.
    pub(super) fn restart_silence(&mut self, timeout: Duration) {
        self.wanted_since = Instant::now();
        self.silence_check = self.wanted_since + timeout;
    }

    /// Records that an event is complete. Bytes that complete none are not recorded: a stalled back end may still send
    /// a byte now and then.
    pub(super) fn note_event(&self, cx: &GatewayContext) {
        if let Some(activity) = &self.activity {
            activity.record(cx.state.now());
        }
    }

    /// Leaves out a time in which nothing was read from the back end.
    pub(super) fn exclude_wait(&mut self, by: Duration) {
        self.wanted_since += by;
        self.silence_check += by;
    }

    /// Returns the time for which the caller has wanted the next event.
    pub(super) fn silent_for(&self) -> Duration {
        self.wanted_since.elapsed()
    }

    /// Waits longer, until the next decision.
    pub(super) fn wait_longer(&mut self) {
        self.silence_check = Instant::now() + SILENCE_CHECK_INTERVAL;
    }

    /// Waits until the back end goes on or breaks off. `is_between_events` tells whether no part of an event has
    /// arrived before. Frames that arrive are kept for [`EventSource::frame`].
    pub(super) async fn wait_for_sign(&mut self, is_between_events: bool) -> Sign {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if self.keep(frame) {
                        return Sign::WentOn;
                    }
                }
                None if is_between_events && self.early.is_empty() => {
                    self.early.push_back(None);
                    return Sign::WentOn;
                }
                None | Some(Err(_)) => return Sign::Broken,
            }
        }
    }

    /// Keeps a frame. Returns whether it completes an event, or whether there are too many bytes to keep more.
    fn keep(&mut self, frame: Frame<Bytes>) -> bool {
        let Some(data) = frame.data_ref() else {
            return false;
        };
        self.early_bytes += data.len();
        self.tail.extend_from_slice(data);
        let is_complete = has_event_end(&self.tail);
        let end = self.tail.len().saturating_sub(EVENT_END_BYTES);
        self.tail.drain(..end);
        self.early.push_back(Some(frame));
        is_complete || self.early_bytes > MAX_EARLY_BYTES
    }
}

/// Returns whether bytes contain a blank line, which ends an event.
fn has_event_end(bytes: &[u8]) -> bool {
    let has = |end: &[u8]| bytes.windows(end.len()).any(|window| window == end);
    has(b"\n\n") || has(b"\n\r\n")
}
