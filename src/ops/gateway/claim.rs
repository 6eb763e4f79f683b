//! Claims to the duties of the fleet's leader: the value of the holder's key, and when a node may claim it.

use std::time::Duration;

use super::keys;
use super::state::GatewayState;
use crate::core::gateway::tenure::{SETTLE_AFTER_RESTART, SETTLE_BEYOND_LEASE};
use crate::sources::store::{Era, Revision};

/// Time after the first start of the whole system in which there cannot have been another holder: no
/// lease granted since then can have expired.
const FIRST_START_PERIOD: Duration = Duration::from_secs(3);

/// The value of the holder's key.
struct HolderName<'a> {
    /// Name of the node.
    node: &'a str,
    /// Era of the store in which it claimed the duties, if given.
    era: Option<Era>,
}

impl<'a> HolderName<'a> {
    fn parse(value: &'a [u8]) -> Option<Self> {
        let (node, process) = std::str::from_utf8(value).ok()?.rsplit_once('/')?;
        let era = process
            .split_once('@')
            .and_then(|(_, era)| era.parse().ok());
        Some(Self { node, era })
    }
}

/// Returns the revision of the holder's key if it names this process, as far as this node knows.
pub fn claim_of(state: &GatewayState) -> Option<Revision> {
    let view = state.view.lock();
    let holder = view.get(keys::HOLDER)?;
    let own = format!("{}/{}@", state.settings.name, state.incarnation);
    holder
        .value
        .starts_with(own.as_bytes())
        .then_some(holder.revision)
}

/// A possible claim to the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Expected revision of the holder's key for the compare-and-swap; [`Revision::NONE`] if the key must not
    /// exist.
    pub expected: Revision,
    /// Time for which the new holder waits before its first call.
    pub settle: Duration,
}

/// Returns the claim that this node can make now. Either the duties are vacant, or the store names
/// this node although this process is not the holder. In the second case the holder was an earlier
/// process of the node, which has ended as a node runs only one, or the claim is an earlier one of
/// this process that it gave up; only a last call may still be in flight. If the claim was made in an earlier
/// era of the store, it may be older than that of another node, which still acts.
pub fn possible_claim(state: &GatewayState) -> Option<Claim> {
    state.view_age()?;
    let view = state.view.lock();
    let after_other = state.settings.bounds.lease + SETTLE_BEYOND_LEASE;
    let Some(holder) = view.get(keys::HOLDER) else {
        return Some(Claim {
            expected: Revision::NONE,
            settle: match is_first_start(state) {
                true => Duration::ZERO,
                false => after_other,
            },
        });
    };
    let named = HolderName::parse(&holder.value)?;
    let is_of_this_era = named.era == Some(holder.revision.era);
    (named.node == &*state.settings.name).then_some(Claim {
        expected: holder.revision,
        settle: match is_of_this_era {
            true => SETTLE_AFTER_RESTART,
            false => after_other,
        },
    })
}

/// Returns whether the whole system has just started for the first time.
fn is_first_start(state: &GatewayState) -> bool {
    let age = state.now().saturating_sub(state.started_at);
    state.settings.is_first_start && age < FIRST_START_PERIOD
}

/// Returns the value by which this process claims the duties in an era of the store.
pub fn claim_value(state: &GatewayState, era: Era) -> bytes::Bytes {
    let (node, incarnation) = (&state.settings.name, state.incarnation);
    format!("{node}/{incarnation}@{era}").into()
}
