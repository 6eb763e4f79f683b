//! Memory for the bodies that a process holds, and reading of bodies within it.
//!
//! A body is read into one buffer, whatever the size of its chunks, and its memory is reserved before its bytes are
//! read. The reservation is part of the buffer and ends with the last reference to it. Calls and answers have budgets
//! of their own, so that answers, whose work is done, never wait for calls that have not run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

use crate::sources::http::ReceivedBody;

/// Bytes in a unit of a budget.
const UNIT_BYTES: usize = 1024;
/// Size up to which a buffer needs no reservation. The limit on connections bounds their sum.
const UNRESERVED_BYTES: usize = 16 * 1024;
/// Share of the VM's memory for the bodies of calls.
const CALL_SHARE: f64 = 0.25;
/// Share of the VM's memory for the bodies of answers, and for events of streams that are not complete.
const ANSWER_SHARE: f64 = 0.15;
/// Time for which a call waits for memory for its body, and a stream for memory for an event.
pub const MEMORY_WAIT: Duration = Duration::from_millis(400);
/// Smallest budget, so that a body of the largest allowed size always fits into an idle process.
const MIN_BUDGET_BYTES: usize = 8 * 1024 * 1024;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is larger than its limit.
    #[error("it is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// There was no memory for it in time.
    #[error("there is no memory for it")]
    NoMemory,
    /// The connection failed, or its bytes are no body.
    #[error("it did not arrive completely: {0}")]
    Incomplete(#[from] hyper::Error),
}

/// The module's result.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Memory of the process for bodies.
pub struct BodyMemory {
    /// For the bodies of calls.
    pub calls: Budget,
    /// For the bodies of answers.
    pub answers: Budget,
}

impl BodyMemory {
    /// Divides the VM's memory, in bytes.
    pub fn new(vm_bytes: u64) -> Self {
        let share = |share: f64| (vm_bytes as f64 * share) as usize;
        Self {
            calls: Budget::new(share(CALL_SHARE)),
            answers: Budget::new(share(ANSWER_SHARE)),
        }
    }
}

/// A number of bytes that bodies share. Reservations are granted in the order in which they were requested.
pub struct Budget {
    units: Arc<Semaphore>,
    /// Number of units if none is reserved.
    total: usize,
}

impl Budget {
    fn new(bytes: usize) -> Self {
        let total = bytes.max(MIN_BUDGET_BYTES).div_ceil(UNIT_BYTES);
        Self {
            units: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Returns the bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        (self.total - self.units.available_permits()) * UNIT_BYTES
    }

    /// Extends a reservation to `bytes`, and waits until the budget has as many.
    ///
    /// # Errors
    ///
    /// Fails with [`ReadError::NoMemory`] if the budget has not had them for `wait`, or never has.
    pub async fn extend(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
        wait: Duration,
    ) -> Result<()> {
        let units = bytes.saturating_sub(UNRESERVED_BYTES).div_ceil(UNIT_BYTES);
        let missing = units.saturating_sub(reservation.units());
        if missing == 0 {
            return Ok(());
        }
        let Ok(missing) = u32::try_from(missing) else {
            return Err(ReadError::NoMemory);
        };
        if units > self.total {
            return Err(ReadError::NoMemory);
        }
        let acquired = Arc::clone(&self.units).acquire_many_owned(missing);
        let permit = tokio::time::timeout(wait, acquired)
            .await
            .map_err(|_| ReadError::NoMemory)?
            .map_err(|_closed: AcquireError| ReadError::NoMemory)?;
        reservation.add(permit);
        Ok(())
    }
}

/// A part of a [`Budget`], given back when this value is dropped.
#[derive(Debug, Default)]
pub struct Reservation(Option<OwnedSemaphorePermit>);

impl Reservation {
    fn units(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn add(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.0 {
            Some(held) => held.merge(permit),
            None => self.0 = Some(permit),
        }
    }

    /// Returns whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.0.is_none()
    }

    /// Ties the reservation to a buffer: it ends with the last reference to the buffer.
    pub fn attach(self, buf: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(ReservedBuf {
            buf,
            _reservation: self,
        })
    }
}

struct ReservedBuf<B> {
    buf: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for ReservedBuf<B> {
    fn as_ref(&self) -> &[u8] {
        self.buf.as_ref()
    }
}

/// Reads a whole body of up to `limit` bytes. Waits up to `wait` for memory each time that it needs more.
///
/// # Errors
///
/// Fails if the body is larger, does not arrive, or finds no memory. The rest of the body is not read.
pub async fn read_body(
    body: &mut ReceivedBody,
    budget: &Budget,
    limit: usize,
    wait: Duration,
) -> Result<Bytes> {
    let too_large = ReadError::TooLarge { limit };
    let announced = body.size_hint().exact();
    if announced.is_some_and(|bytes| bytes > limit as u64) {
        return Err(too_large);
    }
    let mut reservation = Reservation::default();
    let mut buf = Vec::new();
    if let Some(bytes) = announced {
        let bytes = bytes as usize;
        budget.extend(&mut reservation, bytes, wait).await?;
        buf.reserve_exact(bytes);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let needed = buf.len() + data.len();
        if needed > limit {
            return Err(too_large);
        }
        if needed > buf.capacity() {
            let capacity = needed.max(2 * buf.capacity()).min(limit);
            budget.extend(&mut reservation, capacity, wait).await?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok(reservation.attach(buf))
}

/// Reads and drops the rest of a body, up to `limit` bytes and for up to `wait`, so that the caller gets the answer: a
/// connection that is closed with unread bytes is reset.
pub async fn discard_body(body: &mut ReceivedBody, limit: usize, wait: Duration) {
    let discarded = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > limit {
                return;
            }
        }
    };
    if tokio::time::timeout(wait, discarded).await.is_err() {
        tracing::debug!("the rest of a refused body did not arrive in time");
    }
}
