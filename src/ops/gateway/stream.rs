//! Passes on a stream of server-sent events, and resumes it at another back end if the connection
//! breaks.
//!
//! Only complete events are passed on. A stream that cannot be finished ends with a connection error,
//! so that the caller cannot take it for complete.

mod event_source;
mod takeover;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use self::event_source::EventSource;
use super::attempt::GatewayContext;
use super::body_memory::ReadError;
use super::call::Call;
use super::event_buffer::EventBuffer;
use super::peer_forward;
use super::progress::Progress;
use super::record::{self, CallEnd};
use super::refusal::{Body, BodyError};
use super::response::BackendResponse;
use super::resume;
use super::silence;
use super::state::GivenUp;
use crate::core::gateway::backends::Outcome;
use crate::core::gateway::software::AllowedSoftware;

/// Lower bound on the time without a complete event after which another back end may be tried.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time without a complete event after which another back end may be tried, as a multiple of the route's target for the
/// pause between events: a slow engine is not a failed one.
const TARGET_PAUSE_FACTOR: u32 = 2;
/// Shortest wait for memory that is logged.
const LONG_MEMORY_WAIT: Duration = Duration::from_millis(300);

/// A stream that is passed on to a caller. Dropping it closes the connection to the back end, which
/// cancels the call there.
struct StreamRelay<A> {
    cx: Arc<GatewayContext>,
    call: Call,
    progress: Progress,
    source: Option<EventSource>,
    buf: EventBuffer,
    last_event: Option<u64>,
    first_event_after: Option<Duration>,
    is_finished: bool,
    _active: A,
}

/// Result of waiting for the back end's next bytes.
enum ReadResult {
    Events(Bytes),
    Incomplete,
    End,
    Broken(Box<str>),
    Silent,
    GivenUp(GivenUp),
}

/// Returns the response for the caller: the headers of the first back end, and events as they arrive.
pub(super) fn respond<A: Send + 'static>(
    cx: Arc<GatewayContext>,
    call: Call,
    mut progress: Progress,
    mut response: Box<BackendResponse>,
    active: A,
) -> Response<Body> {
    let headers = std::mem::take(&mut response.headers);
    let mut headers = cx.state.dialect.response_for_caller(headers);
    headers.remove(CONTENT_LENGTH);
    peer_forward::strip(&mut headers);
    if progress.is_forwarded {
        // The other node records the version that the head names, so that no other may send the first event.
        let software = response.running.software_id();
        peer_forward::mark_software(&mut headers, software);
        progress.allowed = software.map_or(progress.allowed, AllowedSoftware::Only);
    }
    let source = EventSource::new(&cx, &call, *response);
    let relay = StreamRelay {
        last_event: call.head.last_event,
        cx,
        call,
        progress,
        source: Some(source),
        buf: EventBuffer::default(),
        first_event_after: None,
        is_finished: false,
        _active: active,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    let mut res = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *res.headers_mut() = headers;
    res
}

impl<A> StreamRelay<A> {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.is_finished {
            return None;
        }
        if let Some(source) = &mut self.source {
            source.restart_silence(event_timeout(&self.call));
        }
        loop {
            match self.read_events().await {
                ReadResult::Events(events) => {
                    self.note_went_on();
                    return Some(Ok(Frame::data(events)));
                }
                ReadResult::Incomplete => {}
                ReadResult::End => {
                    self.finish();
                    return None;
                }
                ReadResult::Broken(cause) => {
                    self.leave_backend(Outcome::BrokeOff, &cause);
                    if !self.resume_elsewhere().await {
                        return Some(Err(self.abort("broken_off", cause)));
                    }
                }
                ReadResult::Silent => match self.handle_silence().await {
                    Ok(true) => {}
                    Ok(false) => {
                        return Some(Err(self.abort("broken_off", "it fell silent".into())));
                    }
                    Err(given_up) => return Some(Err(self.abort_given_up(given_up))),
                },
                ReadResult::GivenUp(given_up) => {
                    return Some(Err(self.abort_given_up(given_up)));
                }
            }
        }
    }

    /// Waits for the back end's next bytes.
    async fn read_events(&mut self) -> ReadResult {
        let deadline = self.call.deadline;
        let Some(source) = &mut self.source else {
            return ReadResult::Broken("no back end".into());
        };
        let until = deadline.min(source.silence_check);
        match self.cx.state.run_until(until, source.frame()).await {
            Err(GivenUp::Deadline) if until < deadline => ReadResult::Silent,
            Err(given_up) => ReadResult::GivenUp(given_up),
            Ok(None) if self.buf.is_empty() && self.has_events() => ReadResult::End,
            Ok(None) if self.buf.is_empty() => {
                ReadResult::Broken("it ended before an event".into())
            }
            Ok(None) => ReadResult::Broken("it ended within an event".into()),
            Ok(Some(Err(e))) => ReadResult::Broken(e.to_string().into()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.append(&data).await,
                Err(_trailers) => ReadResult::Incomplete,
            },
        }
    }

    /// Appends bytes of the back end to the buffer and returns the events that they complete.
    async fn append(&mut self, data: &[u8]) -> ReadResult {
        let state = &self.cx.state;
        let began = Instant::now();
        let appended = self
            .buf
            .append(data, &state.bodies.events, self.call.remaining());
        match state.run_until(self.call.deadline, appended).await {
            Ok(Ok(())) => {}
            Ok(Err(ReadError::TooLarge { .. })) => {
                return ReadResult::Broken("an event is too large".into());
            }
            Ok(Err(_)) => return ReadResult::GivenUp(GivenUp::Deadline),
            Err(given_up) => return ReadResult::GivenUp(given_up),
        }
        let waited = began.elapsed();
        if waited >= LONG_MEMORY_WAIT {
            record::waited_for_memory(state, &self.call, waited);
        }
        if let Some(source) = &mut self.source {
            // Meanwhile nothing was read from the back end.
            source.exclude_wait(waited);
        }
        let Some(end) = self.buf.end_of_events() else {
            return ReadResult::Incomplete;
        };
        if !self.accepts_software() {
            return ReadResult::Broken("another process has the name of the back end".into());
        }
        let events = self.buf.take(end);
        if let Some(id) = last_event_id(&events) {
            self.last_event = Some(id);
        }
        if let Some(source) = &mut self.source {
            self.progress.note_software(source.running.software());
            let first_event_after = source.running.age().saturating_sub(waited);
            source.running.record_time(first_event_after);
            source.running.mark_started(Duration::ZERO);
            source.running.note_progress();
            source.note_event(&self.cx);
        }
        if self.first_event_after.is_none() {
            self.first_event_after = Some(self.call.received.elapsed());
        }
        ReadResult::Events(events)
    }

    /// Returns whether the back end's events may be passed on. The first event of a stream determines its software
    /// version.
    fn accepts_software(&mut self) -> bool {
        let Some(source) = &self.source else {
            return true;
        };
        if source.running.answering_for().is_some() {
            return true;
        }
        let software = source.running.software_id();
        if !self.progress.allowed.allows(software) {
            return false;
        }
        if self.first_event_after.is_none() {
            self.progress.allowed =
                software.map_or(AllowedSoftware::Unknown, AllowedSoftware::Only);
            resume::note_begun(&self.cx, &self.call, software);
        }
        true
    }

    /// Returns whether the caller has received an event, from this response or from the one that it resumes.
    fn has_events(&self) -> bool {
        self.first_event_after.is_some() || self.last_event.is_some()
    }

    fn note_went_on(&mut self) {
        if let Some(source) = &self.source {
            let backend = source.running.backend();
            silence::note_went_on(&self.cx, &self.call, &mut self.progress, backend);
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if let Some(EventSource {
            body,
            connection,
            mut running,
            idle_timeout,
            ..
        }) = self.source.take()
        {
            running.clear_suspects();
            running.set_outcome(Outcome::Answered);
            if body.is_end_stream() {
                self.cx.pool.release(connection, idle_timeout);
            }
        }
        self.record(CallEnd::Answered(StatusCode::OK));
    }

    fn abort_given_up(&mut self, given_up: GivenUp) -> BodyError {
        match given_up {
            GivenUp::Stopping => self.abort("stopping", "the node stops".into()),
            GivenUp::Deadline => self.abort("timed_out", "its time is over".into()),
        }
    }

    fn abort(&mut self, outcome_name: &'static str, cause: Box<str>) -> BodyError {
        self.is_finished = true;
        let source = self.source.take();
        let is_lost = outcome_name == "broken_off";
        let is_silent = outcome_name == "timed_out" && self.progress.silence.is_some();
        if let Some(mut source) = source.filter(|_| is_lost || is_silent) {
            source.running.set_outcome(match is_lost {
                true => Outcome::Unreachable,
                false => Outcome::Silent,
            });
        }
        self.record(CallEnd::BrokenOff(outcome_name));
        cause.to_string().into()
    }

    fn record(&self, ended: CallEnd) {
        record::stream_ended(
            &self.cx.state,
            &self.call,
            &self.progress,
            ended,
            self.first_event_after,
            self.last_event,
        );
    }
}

impl<A> Drop for StreamRelay<A> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record(CallEnd::CallerDisconnected);
        }
    }
}

/// Returns the time without a complete event after which another back end may be tried.
fn event_timeout(call: &Call) -> Duration {
    MIN_EVENT_TIMEOUT.max(call.route.target_pause * TARGET_PAUSE_FACTOR)
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
