//! Contents of requests and responses. Each names its attempt, so that a response to another attempt is noticed.

use std::time::Duration;

use bytes::Bytes;

use crate::history::Kind;

/// Number of events in a stream.
pub(crate) const EVENTS_PER_STREAM: u64 = 40;
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two events of a long stream.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// Length of a large response, in bytes.
pub(crate) const LARGE_BODY_BYTES: usize = 7_000_000;
/// Length of the parts in which a back end sends a large response, in bytes.
const PART_BYTES: usize = 64_000;

/// Returns the request body of an attempt, and the response body of a call that is neither a stream nor large.
pub(crate) fn plain_body(attempt: &str) -> String {
    format!("the answer to {attempt} and to no other")
}

/// Returns the interval between two events of a stream.
pub(crate) fn event_interval(kind: Kind) -> Duration {
    match kind {
        Kind::LongStream => LONG_EVENT_INTERVAL,
        _ => EVENT_INTERVAL,
    }
}

/// Returns the encoded event of a stream.
pub(crate) fn event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: piece {id} of {attempt}\n\n")
}

/// Returns the parts of a large response. Their total length is [`LARGE_BODY_BYTES`].
pub(crate) fn large_parts(attempt: &str) -> impl Iterator<Item = Bytes> + use<> {
    let plain = plain_body(attempt);
    let repeated = plain.repeat(PART_BYTES / plain.len() + 1);
    let part = Bytes::from(repeated).slice(..PART_BYTES);
    let lengths = (0..LARGE_BODY_BYTES).step_by(PART_BYTES);
    lengths.map(move |from| part.slice(..PART_BYTES.min(LARGE_BODY_BYTES - from)))
}

/// Returns the whole response body of a call.
pub(crate) fn response_body(kind: Kind, attempt: &str) -> Vec<u8> {
    match kind {
        Kind::Idempotent | Kind::AtMostOnce => plain_body(attempt).into(),
        Kind::Stream | Kind::ResumableStream | Kind::LongStream => (1..=EVENTS_PER_STREAM)
            .flat_map(|id| event(attempt, id).into_bytes())
            .collect(),
        Kind::Large => large_parts(attempt).flatten().collect(),
    }
}

/// Returns the signature of a response.
pub(crate) fn signature(attempt: &str) -> String {
    format!("seal-of-{attempt}")
}
