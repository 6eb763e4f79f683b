//! Client of the platform's key-value store: compare-and-swap transactions, leases and watches.
//!
//! The rest of the crate uses the trait [`Store`]. [`EtcdStore`] is the client of the platform's store,
//! and [`MemoryStore`] an in-memory fake for tests, with fault injection.

mod budget;
mod error;
mod etcd;
mod memory;
mod types;

use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::BoxStream;

pub use budget::{CallRate, CallRateLimiter};
pub use error::{Result, StoreError};
pub use etcd::{EtcdConfig, EtcdStore};
pub use memory::{CallCounts, Fault, MemoryStore, StoreCopy};
pub use types::{
    Compare, Condition, Era, Key, KeyRange, KeyValue, LeaseGrant, LeaseId, Op, OpResult,
    RangeReply, RangeRequest, Revision, Transaction, TransactionReply, Value, WatchEvent,
    WatchRequest,
};

/// Size limit for a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Events of a watch. The stream ends after an error; the watch then has to be opened again from the
/// revision after the last event.
pub type WatchStream = BoxStream<'static, Result<WatchEvent>>;

/// The platform's key-value store.
///
/// Implementations bound each call by a deadline. [`StoreError::verdict`] says whether a failed call
/// may have taken effect.
pub trait Store: Send + Sync {
    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response; nothing was changed.
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>>;

    /// Runs `then` if all compares hold and `otherwise` if not, atomically.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response. With [`StoreError::AnswerLost`] the transaction may have
    /// taken effect, or may still do so.
    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>>;

    /// Grants a lease that expires after `ttl` unless it is kept alive.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response; a lease may then exist and expires by itself.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>>;

    /// Renews a lease for its time to live.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::LeaseNotFound`] once the lease has expired.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>>;

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::LeaseNotFound`] once the lease has expired.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>>;

    /// Watches keys for changes. The first event is [`WatchEvent::Started`].
    ///
    /// # Errors
    ///
    /// Fails if the store does not accept the watch.
    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>>;
}
