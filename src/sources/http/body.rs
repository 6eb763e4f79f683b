//! The body of a message that is being received.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::metered::Meter;

/// The body of a message that is being received. Each part that it hands over counts as progress of its connection.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    meter: Meter,
}

impl ReceivedBody {
    /// Wraps the body of a message whose head was handed over.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        meter.note_delivered();
        Self { body, meter }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.meter.note_delivered();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
