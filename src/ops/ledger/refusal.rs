//! Converts refusals of the ledger to replies for callers.

use std::time::Duration;

use crate::core::ledger::{EntryKey, Refusal};
use crate::core::membership::MemberView;
use crate::core::service_call::{CallRefusal, RefusalCause};

/// Minimum retry delay sent to callers while the store is down.
const STORE_DOWN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Range of the jitter added to [`STORE_DOWN_RETRY_DELAY`], in milliseconds.
const STORE_DOWN_JITTER_MS: u64 = 4_000;
/// Retry delay sent to callers if the call is in progress or cannot be started at present.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the reply sent to the caller.
pub(super) fn to_call_refusal(
    key: &EntryKey,
    refusal: &Refusal,
    members: &MemberView,
) -> CallRefusal {
    let (cause, retry_after) = match refusal {
        Refusal::BodyDiffers => (RefusalCause::BodyDiffers, None),
        Refusal::KeyAhead => (RefusalCause::KeyAhead, None),
        Refusal::KeyExpired => (RefusalCause::KeyExpired, None),
        Refusal::PageFull { next_page_in } => (RefusalCause::LedgerFull, Some(*next_page_in)),
        Refusal::QueueFull => (RefusalCause::Busy, Some(SHORT_RETRY_DELAY)),
        Refusal::StoreDown => (RefusalCause::StoreDown, Some(store_down_retry_delay(key))),
        Refusal::StartedElsewhere { writer } if is_member(writer, members) => {
            (RefusalCause::InProgress, Some(SHORT_RETRY_DELAY))
        }
        Refusal::StartedElsewhere { .. } => (RefusalCause::OwnerLost, None),
        Refusal::AnswerLost => (RefusalCause::AnswerLost, None),
        Refusal::NotDispatched => (RefusalCause::NoBackend, Some(SHORT_RETRY_DELAY)),
    };
    CallRefusal {
        verdict: refusal.verdict(),
        cause,
        retry_after,
    }
}

/// Returns the retry delay while the store is down. Jitter derived from the key prevents a thundering
/// herd when the store recovers.
fn store_down_retry_delay(key: &EntryKey) -> Duration {
    let bytes = key.key.as_bytes();
    let jitter = u64::from(u16::from_be_bytes([bytes[14], bytes[15]]));
    STORE_DOWN_RETRY_DELAY + Duration::from_millis(jitter % STORE_DOWN_JITTER_MS)
}

/// Returns whether the node of a writer (`NODE/LIFE`) is a member.
fn is_member(writer: &str, members: &MemberView) -> bool {
    let node = writer.split('/').next().unwrap_or_default();
    members.get(node).is_some()
}
