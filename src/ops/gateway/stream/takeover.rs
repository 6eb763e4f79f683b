//! Moves a stream to another back end, after its last complete event.
//!
//! A back end that is only silent is kept while another one is tried: until that one answers, and at most for
//! [`MAX_OVERLAP`], as two back ends may not work on one call for long.

use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::oneshot;

use super::event_source::{EventSource, Sign};
use super::{StreamRelay, event_timeout};
use crate::core::gateway::backends::Outcome;
use crate::core::gateway::routes::RouteKind;
use crate::core::gateway::silence::Decision;
use crate::ops::gateway::attempt::{AttemptError, GatewayContext};
use crate::ops::gateway::call::Call;
use crate::ops::gateway::event_buffer::EventBuffer;
use crate::ops::gateway::response::BackendResponse;
use crate::ops::gateway::silence::{self, SilentBackend};
use crate::ops::gateway::state::GivenUp;
use crate::ops::gateway::{forward, progress, record};

/// Time for which a silent back end is kept after the call was sent to another one.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Cause of leaving a silent back end, for logs.
const SILENT: &str = "it fell silent";

/// How it ended that another back end was tried beside a silent one.
enum Tried {
    /// The other one answers. The silent one has been left.
    Moved(Box<BackendResponse>),
    /// The silent one is kept: it has gone on, or the other one does not accept the call.
    Kept,
    /// The silent one has been left, and the other one does not answer.
    Lost,
}

/// What came first while another back end was tried.
enum First {
    Sign(Sign),
    Response(Result<Box<BackendResponse>, AttemptError>),
    EndOfOverlap,
}

impl<A> StreamRelay<A> {
    /// Waits longer for a silent back end, or tries another one. Returns whether the stream goes on.
    pub(super) async fn handle_silence(&mut self) -> Result<bool, GivenUp> {
        if self.decide() == Decision::TryAnother {
            let state = self.cx.state.clone();
            let deadline = self.call.deadline;
            let silence = self.progress.silence;
            match state.run_until(deadline, self.try_another()).await? {
                Tried::Moved(response) => {
                    self.switch_to(*response);
                    return Ok(true);
                }
                Tried::Kept => self.progress.silence = silence,
                Tried::Lost => return Ok(self.resume_elsewhere().await),
            }
        }
        if let Some(source) = &mut self.source {
            source.wait_longer();
        }
        Ok(true)
    }

    fn decide(&mut self) -> Decision {
        let Some(source) = &self.source else {
            return Decision::TryAnother;
        };
        let silent = SilentBackend {
            name: source.running.backend(),
            lasted: source.silent_for(),
            timeout: event_timeout(&self.call),
        };
        silence::decide(&self.cx, &self.call, &mut self.progress, &silent)
    }

    async fn try_another(&mut self) -> Tried {
        let Self {
            cx,
            call,
            progress,
            source,
            buf,
            last_event,
            ..
        } = self;
        let Some(silent) = source else {
            return Tried::Lost;
        };
        if !progress::may_retry(cx, call, progress) {
            return Tried::Kept;
        }
        let (tx, mut sent) = oneshot::channel();
        progress.on_send = Some(tx);
        let (sends, forwards) = (progress.sends, progress.forwards);
        let mut was_sent = false;
        let mut attempt = Box::pin(forward::try_backend(cx, call, progress, *last_event));
        let first = tokio::select! {
            biased;
            sign = silent.wait_for_sign(buf.is_empty()) => First::Sign(sign),
            result = &mut attempt => First::Response(result.map(Box::new)),
            () = end_of_overlap(&mut sent, &mut was_sent) => First::EndOfOverlap,
        };
        let (outcome, cause) = match first {
            First::Sign(Sign::WentOn) => {
                drop(attempt);
                if !was_sent && sent.try_recv().is_err() {
                    progress.sends = sends;
                    progress.forwards = forwards;
                }
                return Tried::Kept;
            }
            First::Sign(Sign::Broken) => (Outcome::BrokeOff, "it broke off"),
            First::EndOfOverlap => (Outcome::Silent, SILENT),
            First::Response(result) => {
                let Some(response) = accepted(cx, call, result) else {
                    return Tried::Kept;
                };
                leave(cx, call, source, *last_event, Outcome::Silent, SILENT);
                return Tried::Moved(response);
            }
        };
        leave(cx, call, source, *last_event, outcome, cause);
        let result = attempt.await.map(Box::new);
        accepted(cx, call, result).map_or(Tried::Lost, Tried::Moved)
    }

    fn switch_to(&mut self, response: BackendResponse) {
        self.buf = EventBuffer::default();
        self.progress.silence = None;
        self.source = Some(EventSource::new(&self.cx, &self.call, response));
    }

    /// Closes the connection to the back end.
    pub(super) fn leave_backend(&mut self, outcome: Outcome, cause: &str) {
        let Self {
            cx, call, source, ..
        } = self;
        leave(cx, call, source, self.last_event, outcome, cause);
    }

    /// Resumes the stream, which no back end sends, after the last complete event. Returns whether that succeeded.
    pub(super) async fn resume_elsewhere(&mut self) -> bool {
        self.buf = EventBuffer::default();
        while self.may_resume() && progress::may_retry(&self.cx, &self.call, &mut self.progress) {
            let attempt =
                forward::try_backend(&self.cx, &self.call, &mut self.progress, self.last_event);
            let deadline = self.call.deadline;
            let Ok(result) = self.cx.state.run_until(deadline, attempt).await else {
                return false;
            };
            // If no back end can be tried, another attempt would find none either and would only use up the retry
            // budget of other calls.
            let has_none = matches!(
                result,
                Err(AttemptError::NoCandidate { .. } | AttemptError::Quarantined)
            );
            if let Some(response) = accepted(&self.cx, &self.call, result.map(Box::new)) {
                self.switch_to(*response);
                return true;
            }
            if has_none {
                return false;
            }
        }
        false
    }

    fn may_resume(&self) -> bool {
        self.call.route.kind == RouteKind::Stream { resumable: true }
            && self.progress.sends < self.call.max_backends
    }
}

/// Waits until a call has been sent for [`MAX_OVERLAP`]. Sets `was_sent` when it is sent.
async fn end_of_overlap(sent: &mut oneshot::Receiver<()>, was_sent: &mut bool) {
    match sent.await {
        Ok(()) => {
            *was_sent = true;
            tokio::time::sleep(MAX_OVERLAP).await;
        }
        // It is not sent.
        Err(_) => std::future::pending().await,
    }
}

/// Returns the response of a back end that goes on with the stream. [`forward::try_backend`] has recorded a failure.
fn accepted(
    cx: &GatewayContext,
    call: &Call,
    result: Result<Box<BackendResponse>, AttemptError>,
) -> Option<Box<BackendResponse>> {
    let mut response = result.ok()?;
    if response.status == StatusCode::OK {
        return Some(response);
    }
    if response.status.is_server_error() {
        response.running.set_outcome(Outcome::Failed);
    }
    let backend = response.running.backend();
    record::not_continued(&cx.state, call, backend, response.status);
    None
}

/// Closes the connection to a back end, which cancels the call there.
fn leave(
    cx: &GatewayContext,
    call: &Call,
    source: &mut Option<EventSource>,
    last_event: Option<u64>,
    outcome: Outcome,
    cause: &str,
) {
    if let Some(mut source) = source.take() {
        source.running.set_outcome(outcome);
        record::broke_off(&cx.state, call, &source.running, cause, last_event);
    }
}
