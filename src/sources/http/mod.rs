//! HTTP connections to and from parties that may send anything, or nothing.
//!
//! The HTTP library parses what arrives for as long as bytes are there, without handing anything over: interim heads,
//! the digits of a chunk's size. A [`MeteredStream`] below the library bounds what it may read before a head or a part
//! of a body has been handed over, and how much it reads in one turn of its task.
//!
//! Outgoing connections are reset when they close, so that nothing of a request that was given up arrives later.

mod body;
mod client;
mod connect;
mod metered;
mod request;

pub use body::{ReceiveError, ReceivedBody};
pub use client::{AnswerLimits, HttpClient, HttpError};
pub use connect::{ConnectOptions, connect};
pub use metered::{MAX_UNDELIVERED_BYTES, Meter, MeteredStream};
pub use request::{RequestProgress, SentBody};

/// Size limit in bytes for the head of a message and for the buffer of a connection.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
