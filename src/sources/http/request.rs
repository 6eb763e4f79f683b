//! Requests that are being sent, and whether they have been written as a whole.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Whether the request that a connection sends has been written to its socket. Copies share the state.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    /// Whether the HTTP library has the whole request.
    is_handed_over: AtomicBool,
    /// Whether the socket has.
    is_written: AtomicBool,
}

impl RequestProgress {
    /// Begins a request with this body.
    pub fn begin(&self, body: Full<Bytes>) -> SentBody {
        let is_empty = body.is_end_stream();
        self.0.is_written.store(false, Ordering::Relaxed);
        self.0.is_handed_over.store(is_empty, Ordering::Relaxed);
        SentBody {
            body,
            progress: self.clone(),
        }
    }

    /// Returns whether the whole request has been written.
    pub(super) fn is_written(&self) -> bool {
        self.0.is_written.load(Ordering::Relaxed)
    }

    fn note_handed_over(&self) {
        self.0.is_handed_over.store(true, Ordering::Relaxed);
    }

    /// Records that the HTTP library has written all that it has.
    pub(super) fn note_flushed(&self) {
        let is_written = self.0.is_handed_over.load(Ordering::Relaxed);
        self.0.is_written.store(is_written, Ordering::Relaxed);
    }
}

/// The body of a request that is being sent.
#[derive(Debug)]
pub struct SentBody {
    body: Full<Bytes>,
    progress: RequestProgress,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if self.body.is_end_stream() {
            self.progress.note_handed_over();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
