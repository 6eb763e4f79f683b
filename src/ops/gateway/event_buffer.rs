//! Buffer in which the events of a stream are put together from the parts in which they arrive.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::body_memory::{Budget, MAX_EVENT_BYTES, ReadError, Reservation, Result};

/// Bytes of a stream that have not been passed on, with the reservation of their memory.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buf: BytesMut,
    reservation: Reservation,
    /// Length of the start of `buf` that has been searched and has no end of an event.
    searched: usize,
}

impl EventBuffer {
    /// Returns whether there is no part of an event.
    pub(super) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Appends bytes, and waits up to `wait` for memory if the buffer has to grow.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large, or if there is no memory for it in time.
    pub(super) async fn append(
        &mut self,
        data: &[u8],
        budget: &Budget,
        wait: Duration,
    ) -> Result<()> {
        let len = self.buf.len() + data.len();
        if len > MAX_EVENT_BYTES {
            return Err(ReadError::TooLarge {
                limit: MAX_EVENT_BYTES,
            });
        }
        let capacity = self.buf.capacity();
        if len > capacity {
            // The buffer doubles when it grows.
            let capacity = len.max(2 * capacity).min(MAX_EVENT_BYTES);
            budget.extend(&mut self.reservation, capacity, wait).await?;
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// Returns the position after the last complete event, if there is one.
    pub(super) fn end_of_events(&mut self) -> Option<usize> {
        let end = find_end(&self.buf, self.searched);
        if end.is_none() {
            self.searched = self.buf.len();
        }
        end
    }

    /// Removes the complete events, which end at `end`. A reservation stays with them until the caller has received them.
    pub(super) fn take(&mut self, end: usize) -> Bytes {
        self.searched = 0;
        let reservation = std::mem::take(&mut self.reservation);
        if reservation.is_empty() {
            return self.buf.split_to(end).freeze();
        }
        let rest = self.buf.split_off(end);
        let events = std::mem::replace(&mut self.buf, BytesMut::from(&*rest));
        reservation.attach(events.freeze())
    }
}

/// Returns the position after the last complete event. No event ends within the first `searched` bytes.
fn find_end(buf: &[u8], searched: usize) -> Option<usize> {
    let newline = |at: usize| buf.get(at) == Some(&b'\n');
    (searched.max(1)..buf.len())
        .rev()
        .find(|&at| {
            newline(at) && (newline(at - 1) || (buf[at - 1] == b'\r' && at >= 2 && newline(at - 2)))
        })
        .map(|at| at + 1)
}
