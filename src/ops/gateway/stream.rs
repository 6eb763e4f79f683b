//! Passes on a stream of server-sent events, and resumes it at another back end if the connection
//! breaks.
//!
//! Only complete events are passed on. A stream that cannot be finished ends with a connection error,
//! so that the caller cannot take it for complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::attempt::{Answer, AttemptError, GatewayContext, Running};
use super::call::Call;
use super::forward::{self, Progress};
use super::pool::Connection;
use super::record::{self, Ended};
use super::refusal::{Body, BodyError};
use crate::core::gateway::backends::Outcome;
use crate::core::gateway::routes::RouteKind;

/// Lower bound on the time without a complete event after which a resumable stream moves to another
/// back end.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1600);
/// The same as a multiple of the route's target for the pause between events: a slow engine is not a
/// failed one.
const PAUSE_FACTOR: u32 = 2;
/// Size limit for the buffer in which events are assembled.
const MAX_EVENT: usize = 4 * 1024 * 1024;

/// The response of a back end from which events are read.
struct Source {
    body: Incoming,
    connection: Connection,
    running: Running,
    idle_timeout: Option<Duration>,
    /// Time of the last complete event, or of the response head.
    heard: Instant,
}

impl From<Answer> for Source {
    fn from(answer: Answer) -> Self {
        Self {
            body: answer.body,
            connection: answer.connection,
            running: answer.running,
            idle_timeout: answer.head.idle_timeout,
            heard: Instant::now(),
        }
    }
}

/// A stream that is passed on to a caller. Dropping it closes the connection to the back end, which
/// cancels the call there.
struct Relay<A> {
    cx: Arc<GatewayContext>,
    call: Call,
    progress: Progress,
    source: Option<Source>,
    buf: BytesMut,
    last_event: Option<u64>,
    first_at: Option<Duration>,
    is_over: bool,
    _active: A,
}

/// Result of waiting for the back end's next bytes.
enum Step {
    Events(Bytes),
    Nothing,
    End,
    Broken(Box<str>),
    TimedOut,
}

/// Returns the response for the caller: the headers of the first back end, and events as they arrive.
pub(super) fn respond<A: Send + 'static>(
    cx: Arc<GatewayContext>,
    call: Call,
    progress: Progress,
    mut answer: Box<Answer>,
    active: A,
) -> Response<Body> {
    let headers = std::mem::take(&mut answer.headers);
    let mut headers = cx.board.dialect.answer_for_caller(headers);
    headers.remove(CONTENT_LENGTH);
    let relay = Relay {
        last_event: call.head.last_event,
        cx,
        call,
        progress,
        source: Some((*answer).into()),
        buf: BytesMut::new(),
        first_at: None,
        is_over: false,
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

impl<A> Relay<A> {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.step().await {
                Step::Events(events) => return Some(Ok(Frame::data(events))),
                Step::Nothing => {}
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Broken(cause) => {
                    if !self.go_on(&cause).await {
                        return Some(Err(self.give_up("broken_off", cause)));
                    }
                }
                Step::TimedOut => {
                    return Some(Err(self.give_up("timed_out", "its time is over".into())));
                }
            }
        }
    }

    /// Waits for the back end's next bytes.
    async fn step(&mut self) -> Step {
        let can_go_on = self.may_go_on();
        let deadline = self.call.deadline;
        let Some(source) = &mut self.source else {
            return Step::Broken("no back end".into());
        };
        // Bytes that complete no event do not restart the timeout: a stalled back end may still send a
        // byte now and then.
        let silence = EVENT_TIMEOUT.max(self.call.route.target_pause * PAUSE_FACTOR);
        let until = match can_go_on {
            true => deadline.min(source.heard + silence),
            false => deadline,
        };
        match tokio::time::timeout_at(until, source.body.frame()).await {
            Err(_) if until == deadline => Step::TimedOut,
            Err(_) => Step::Broken("it fell silent".into()),
            Ok(None) if self.buf.is_empty() => Step::End,
            Ok(None) => Step::Broken("it ended within an event".into()),
            Ok(Some(Err(e))) => Step::Broken(e.to_string().into()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.take(&data),
                Err(_trailers) => Step::Nothing,
            },
        }
    }

    /// Appends bytes of the back end to the buffer and returns the events that they complete.
    fn take(&mut self, data: &[u8]) -> Step {
        self.buf.extend_from_slice(data);
        if self.buf.len() > MAX_EVENT {
            return Step::Broken("an event is too large".into());
        }
        let Some(end) = end_of_events(&self.buf) else {
            return Step::Nothing;
        };
        let events = self.buf.copy_to_bytes(end);
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        if let Some(source) = &mut self.source {
            source.running.begun(Duration::ZERO);
            source.heard = Instant::now();
        }
        if self.first_at.is_none() {
            self.first_at = Some(self.call.received.elapsed());
        }
        Step::Events(events)
    }

    fn may_go_on(&self) -> bool {
        self.call.route.kind == RouteKind::Stream { resumable: true }
            && self.progress.sends < self.call.route.max_backends
    }

    /// Abandons the back end and resumes the stream at another one, after the last complete event.
    /// Returns whether that succeeded.
    async fn go_on(&mut self, cause: &str) -> bool {
        if let Some(mut source) = self.source.take() {
            source.running.set_outcome(Outcome::Unreachable);
            record::broke_off(
                &self.cx.board,
                &self.call,
                source.running.backend(),
                cause,
                self.last_event,
            );
        }
        self.buf.clear();
        while self.may_go_on() && forward::may_send_again(&self.cx, &self.call, &self.progress) {
            let offer = forward::offer(&self.cx, &self.call, &mut self.progress, self.last_event);
            let Ok(offered) = tokio::time::timeout_at(self.call.deadline, offer).await else {
                return false;
            };
            match offered {
                Ok(answer) if answer.status == StatusCode::OK && !answer.head.not_run => {
                    self.source = Some(answer.into());
                    return true;
                }
                Ok(answer) => record::declined(
                    &self.cx.board,
                    &self.call,
                    answer.running.backend(),
                    answer.status,
                ),
                // `forward::offer` has recorded the failure. If no back end can be tried, another
                // attempt would find none either and would only use up the retry budget of other calls.
                Err(AttemptError::NoPlace { .. }) => return false,
                Err(_) => {}
            }
        }
        false
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(Source {
            body,
            connection,
            mut running,
            idle_timeout,
            ..
        }) = self.source.take()
        {
            running.set_outcome(Outcome::Answered);
            if body.is_end_stream() {
                self.cx.pool.keep(connection, idle_timeout);
            }
        }
        self.record(Ended::Answered(StatusCode::OK));
    }

    fn give_up(&mut self, what: &'static str, cause: Box<str>) -> BodyError {
        self.is_over = true;
        let source = self.source.take();
        if let Some(mut source) = source.filter(|_| what == "broken_off") {
            source.running.set_outcome(Outcome::Unreachable);
        }
        self.record(Ended::BrokenOff(what));
        cause.to_string().into()
    }

    fn record(&self, ended: Ended) {
        record::stream_ended(
            &self.cx.board,
            &self.call,
            &self.progress,
            ended,
            self.first_at,
            self.last_event,
        );
    }
}

impl<A> Drop for Relay<A> {
    fn drop(&mut self) {
        if !self.is_over {
            self.record(Ended::CallerLeft);
        }
    }
}

/// Returns the position after the last complete event.
fn end_of_events(buf: &[u8]) -> Option<usize> {
    let newline = |at: usize| buf.get(at) == Some(&b'\n');
    (1..buf.len())
        .rev()
        .find(|&at| {
            newline(at) && (newline(at - 1) || (buf[at - 1] == b'\r' && at >= 2 && newline(at - 2)))
        })
        .map(|at| at + 1)
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    events
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
