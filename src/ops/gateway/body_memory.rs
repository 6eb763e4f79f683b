//! Memory for the bodies that a process holds, and reading of bodies within it.
//!
//! A body is read into one buffer, whatever the size of its chunks, and its memory is reserved before its bytes are
//! read. The reservation is part of the buffer and ends with the last reference to it.
//!
//! Calls, answers and events have budgets of their own, so that answers, whose work is done, never wait for calls that
//! have not run, and streams that have begun never wait for answers whose callers read slowly. Answers and events wait
//! as long as their calls may. So that bodies which each hold a part do not wait for each other, their budgets keep
//! memory for one whole body: a body that finds no other memory gets it, needs no more, and gives back the part that it
//! held.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

use crate::sources::http::{ReceiveError, ReceivedBody};

/// Bytes in a unit of a budget.
const UNIT_BYTES: usize = 1024;
/// Size up to which a buffer needs no reservation. The limit on connections bounds their sum.
const UNRESERVED_BYTES: usize = 16 * 1024;
/// Share of the VM's memory for the bodies of calls.
const CALL_SHARE: f64 = 0.25;
/// Share of the VM's memory for the bodies of answers that are not streams.
const ANSWER_SHARE: f64 = 0.1;
/// Share of the VM's memory for the events of streams.
const EVENT_SHARE: f64 = 0.05;
/// Size limit for an answer that is not a stream.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Size limit for events that are not complete.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// Time for which a call waits for memory for its body.
pub const MEMORY_WAIT: Duration = Duration::from_millis(400);
/// Smallest budget for calls, so that a body of the largest allowed size always fits into an idle process.
const MIN_CALL_BYTES: usize = 8 * 1024 * 1024;
/// Smallest memory that answers, or events, share beside that for one whole body.
const MIN_SHARED_BYTES: usize = 4 * 1024 * 1024;

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
    Incomplete(#[from] ReceiveError),
}

/// The module's result.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Memory of the process for bodies.
pub struct BodyMemory {
    /// For the bodies of calls.
    pub calls: Budget,
    /// For the bodies of answers that are not streams.
    pub answers: Budget,
    /// For the events of streams.
    pub events: Budget,
}

impl BodyMemory {
    /// Divides the VM's memory, in bytes.
    pub fn new(vm_bytes: u64) -> Self {
        let share = |share: f64| (vm_bytes as f64 * share) as usize;
        Self {
            calls: Budget::new(share(CALL_SHARE)),
            answers: Budget::with_whole_body(share(ANSWER_SHARE), MAX_ANSWER_BYTES),
            events: Budget::with_whole_body(share(EVENT_SHARE), MAX_EVENT_BYTES),
        }
    }
}

/// A number of bytes that bodies share. Reservations are granted in the order in which they were requested.
pub struct Budget {
    /// Units that any number of bodies share.
    shared: Arc<Semaphore>,
    /// Number of shared units if none is reserved.
    shared_units: usize,
    /// The one permit for the memory of a whole body; none if the budget keeps no such memory.
    whole_body: Arc<Semaphore>,
    /// Number of units of a whole body.
    whole_body_units: usize,
}

/// Memory that was acquired from a [`Budget`].
enum Acquired {
    /// Shared units.
    Shared(OwnedSemaphorePermit),
    /// The memory for a whole body.
    WholeBody(OwnedSemaphorePermit),
}

impl Budget {
    fn new(bytes: usize) -> Self {
        Self::of_units(bytes.max(MIN_CALL_BYTES).div_ceil(UNIT_BYTES), 0)
    }

    /// Creates a budget of which the memory for one body of the largest size is not shared.
    fn with_whole_body(bytes: usize, max_body_bytes: usize) -> Self {
        let shared = bytes.saturating_sub(max_body_bytes).max(MIN_SHARED_BYTES);
        Self::of_units(
            shared.div_ceil(UNIT_BYTES),
            max_body_bytes.div_ceil(UNIT_BYTES),
        )
    }

    fn of_units(shared_units: usize, whole_body_units: usize) -> Self {
        Self {
            shared: Arc::new(Semaphore::new(shared_units)),
            shared_units,
            whole_body: Arc::new(Semaphore::new(whole_body_units.min(1))),
            whole_body_units,
        }
    }

    /// Returns the bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        let shared = self.shared_units - self.shared.available_permits();
        let whole_body = match self.whole_body.available_permits() {
            0 => self.whole_body_units,
            _ => 0,
        };
        (shared + whole_body) * UNIT_BYTES
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
        if units <= reservation.units {
            return Ok(());
        }
        let acquired = self.acquire(units, units - reservation.units);
        match tokio::time::timeout(wait, acquired).await {
            Ok(Ok(acquired)) => reservation.add(acquired, self.whole_body_units),
            Ok(Err(e)) => return Err(e),
            Err(_) => return Err(ReadError::NoMemory),
        }
        Ok(())
    }

    /// Acquires the `missing` units of a body that needs `units`, or the memory for a whole body.
    async fn acquire(&self, units: usize, missing: usize) -> Result<Acquired> {
        let Ok(missing) = u32::try_from(missing) else {
            return Err(ReadError::NoMemory);
        };
        let shared = Arc::clone(&self.shared).acquire_many_owned(missing);
        let whole_body = Arc::clone(&self.whole_body).acquire_owned();
        let acquired = tokio::select! {
            biased;
            permit = shared, if units <= self.shared_units => permit.map(Acquired::Shared),
            permit = whole_body, if units <= self.whole_body_units => {
                permit.map(Acquired::WholeBody)
            }
            else => return Err(ReadError::NoMemory),
        };
        acquired.map_err(|_closed: AcquireError| ReadError::NoMemory)
    }
}

/// A part of a [`Budget`], given back when this value is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    permit: Option<OwnedSemaphorePermit>,
    units: usize,
}

impl Reservation {
    /// Adds memory. That for a whole body takes the place of shared units, which are given back.
    fn add(&mut self, acquired: Acquired, whole_body_units: usize) {
        match acquired {
            Acquired::Shared(permit) => {
                self.units += permit.num_permits();
                match &mut self.permit {
                    Some(held) => held.merge(permit),
                    None => self.permit = Some(permit),
                }
            }
            Acquired::WholeBody(permit) => {
                self.units = whole_body_units;
                self.permit = Some(permit);
            }
        }
    }

    /// Returns whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.permit.is_none()
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
