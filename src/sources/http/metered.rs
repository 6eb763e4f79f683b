//! A connection that counts the bytes that were read from it and have led to nothing yet.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::MAX_HEAD_BYTES;
use super::request::RequestProgress;

/// Limit in bytes on what is read without a head or a part of a body being handed over. The library's buffer may hold
/// a part of the next message beside a whole head.
pub const MAX_UNDELIVERED_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Bytes after which a read ends the turn of its task, so that other tasks of the thread run.
const MAX_TURN_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Counts the bytes of a connection that were read since it last handed something over. Copies share the count.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a head or a part of a body was handed over.
    pub fn note_delivered(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds bytes that were read, and returns the count.
    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// What ends the writing of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteEnd {
    /// The peer gets an end of the stream after all bytes.
    EndOfStream,
    /// Only the close of the connection, which resets it. Behind an end of the stream, bytes that the peer has not
    /// received would still be sent.
    Close,
}

/// A connection whose reads fail once [`MAX_UNDELIVERED_BYTES`] have led to nothing.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Meter,
    request: RequestProgress,
    /// Bytes that were read since the stream last had none, or since the last turn ended.
    turn_bytes: usize,
    write_end: WriteEnd,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection that a peer has opened.
    pub fn incoming(stream: S) -> Self {
        Self::new(stream, WriteEnd::EndOfStream)
    }

    /// Wraps a connection that this process has opened, which is reset when it closes.
    pub(super) fn outgoing(stream: S) -> Self {
        Self::new(stream, WriteEnd::Close)
    }

    fn new(stream: S, write_end: WriteEnd) -> Self {
        Self {
            stream,
            meter: Meter::default(),
            request: RequestProgress::default(),
            turn_bytes: 0,
            write_end,
        }
    }

    /// Returns the connection's meter.
    pub fn meter(&self) -> Meter {
        self.meter.clone()
    }

    /// Returns the progress of the request that is being sent on the connection.
    pub fn request_progress(&self) -> RequestProgress {
        self.request.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        let bytes = buf.filled().len() - filled;
        self.turn_bytes += bytes;
        if self.meter.add(bytes) > MAX_UNDELIVERED_BYTES {
            let cause = format!("{MAX_UNDELIVERED_BYTES} bytes without a message");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.request.note_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.write_end {
            WriteEnd::EndOfStream => Pin::new(&mut self.stream).poll_shutdown(cx),
            WriteEnd::Close => Poll::Ready(Ok(())),
        }
    }
}
