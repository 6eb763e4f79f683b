//! The body of a message that is being received.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, Response};
use thiserror::Error;

use super::metered::Meter;
use super::request::RequestProgress;

/// Why a body did not arrive completely.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The connection failed, or its bytes are no body.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The connection ended as that of a body without a length does, but before the request was written.
    #[error("the connection ended before the request was written")]
    EndedBeforeRequest,
}

/// The body of a message that is being received. Each part that it hands over counts as progress of its connection.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    meter: Meter,
    /// The request of an answer whose body ends with its connection.
    request: Option<RequestProgress>,
}

impl ReceivedBody {
    /// Wraps the body of a message whose head was handed over.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        meter.note_delivered();
        Self {
            body,
            meter,
            request: None,
        }
    }

    /// Wraps the body of the answer to a request.
    ///
    /// A body without a length ends with its connection. Unless the request has been written by then, that may be the
    /// end of a connection that failed, so the body is incomplete.
    pub fn of_answer(
        res: Response<Incoming>,
        meter: Meter,
        request: &RequestProgress,
    ) -> Response<Self> {
        let ends_with_connection =
            res.body().size_hint().exact().is_none() && !is_chunked(res.headers());
        let request = ends_with_connection.then(|| request.clone());
        res.map(|body| Self {
            request,
            ..Self::new(body, meter)
        })
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last = codings
        .and_then(|codings| codings.to_str().ok())
        .and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = ReceiveError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReceiveError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.meter.note_delivered();
        Poll::Ready(match frame {
            Some(frame) => Some(frame.map_err(ReceiveError::from)),
            None => {
                let request = self.request.take();
                let is_early = request.is_some_and(|request| !request.is_written());
                is_early.then_some(Err(ReceiveError::EndedBeforeRequest))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
