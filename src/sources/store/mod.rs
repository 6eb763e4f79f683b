//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! [`Store`] is what the rest of the crate uses. [`EtcdStore`] speaks to the platform; [`MemoryStore`]
//! is a small fake with faults by request for tests.

mod budget;
mod error;
mod etcd;
mod memory;
mod types;

use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::BoxStream;

pub use budget::{CallBudget, CallRate};
pub use error::{Result, StoreError};
pub use etcd::{EtcdConfig, EtcdStore};
pub use memory::{CallCounts, Fault, MemoryStore};
pub use types::{
    Compare, Condition, Key, KeyRange, KeyValue, LeaseGrant, LeaseId, Op, OpResult, RangeReply,
    RangeRequest, Revision, Transaction, TransactionReply, Value, WatchEvent, WatchRequest,
};

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Events of a watch. After an error the stream ends and the watch has to be made again from the
/// revision behind the last event.
pub type WatchStream = BoxStream<'static, Result<WatchEvent>>;

/// The platform's key-value service.
///
/// Every call ends within a deadline of the implementation's own. An error says by
/// [`StoreError::verdict`] whether the call may have taken effect.
pub trait Store: Send + Sync {
    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer; nothing was changed.
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>>;

    /// Runs `then` if all compares hold and `otherwise` if not, as one step.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer. With [`StoreError::AnswerLost`] the transaction may have
    /// taken effect, or may still do so.
    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>>;

    /// Makes a lease that ends after `ttl` unless it is kept alive.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer; a lease may then exist and ends by itself.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>>;

    /// Prolongs a lease by its time to live.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::LeaseNotFound`] once the lease has ended.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>>;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::LeaseNotFound`] once the lease has ended.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>>;

    /// Follows changes of keys. The first event is [`WatchEvent::Started`].
    ///
    /// # Errors
    ///
    /// Fails where the store does not take the watch.
    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>>;
}
