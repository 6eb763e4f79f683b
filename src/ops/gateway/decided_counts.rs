//! Counts of usage windows that the holders of the duties have decided on, once for all of them.
//!
//! Holders may change before all have seen a report, so the counts of a window are written to the store first.
//! A store that comes back from an older copy lacks the last ones. Each node keeps those that any holder may still
//! report, and writes them again, also while it leaves. If nobody is left who knows them, no holder can tell whether a
//! window was decided and reported before. So a holder decides only on windows that cannot have been decided before the
//! store's era began; a window that is not reported costs less than one that is reported twice.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use super::duties::{FOLLOWER_CLAIM_DELAY, MAX_CLAIM_JITTER};
use super::keys;
use super::relay;
use super::state::{GatewayState, Phase};
use crate::core::gateway::absence::Absence;
use crate::core::gateway::usage::{Counts, Window};
use crate::core::time::Moment;
use crate::sources::store::{
    Compare, Condition, Era, KeyRange, Op, RangeRequest, Result, Revision, Store, StoreError,
    Transaction,
};
use crate::util::time::as_millis_u64;

/// Time after a window's end within which its counts have arrived from all nodes.
const USAGE_COLLECTION_DELAY: Duration = Duration::from_millis(2600);
/// Part of the time limit for a report after which a window is decided although some nodes have not
/// been heard from since its end.
const MAX_COLLECTION_SHARE: f64 = 0.65;
/// Number of past windows for which the holder checks that they were reported.
const PAST_WINDOWS_CHECKED: u64 = 3;
/// Number of windows for which decided counts are retained in the store.
const WINDOWS_RETAINED: u64 = 12;
/// Pause after a write of lost counts.
const REWRITE_PAUSE: Duration = Duration::from_millis(400);

/// What this node knows of the decided counts of a window.
enum KnownCounts {
    /// The store has them. `None` if they cannot be decoded.
    InStore(Option<Counts>),
    /// They were decided, and the store has lost them.
    Lost(Counts),
    /// Nothing.
    None,
}

/// The decided counts as one node knows them, and what it has reported itself.
pub struct DecidedCounts {
    state: Arc<GatewayState>,
    store: Arc<dyn Store>,
    /// Counts reported in this process, by window.
    reported: BTreeMap<Window, Counts>,
    /// Era of the store in which the reported counts were last written again.
    rewritten_in: Era,
    /// Time since which the store lacks decided counts that this node knows.
    lost_since: Option<Moment>,
}

impl DecidedCounts {
    /// Creates the counts of a process that has reported none.
    pub fn new(state: Arc<GatewayState>, store: Arc<dyn Store>) -> Self {
        Self {
            state,
            store,
            reported: BTreeMap::new(),
            rewritten_in: 0,
            lost_since: None,
        }
    }

    /// Returns whether this process has reported a window.
    pub fn is_reported(&self, window: Window) -> bool {
        self.reported.contains_key(&window)
    }

    /// Records a report of this process.
    pub fn record_report(&mut self, window: Window, counts: Counts) {
        self.reported.insert(window, counts);
    }

    /// Forgets reports of windows that the store does not retain when `complete_before` is the first window that
    /// is not complete.
    pub fn forget_old_reports(&mut self, complete_before: Window) {
        let first = complete_before.saturating_sub(WINDOWS_RETAINED);
        self.reported = self.reported.split_off(&first);
    }

    /// Returns what this node knows of the decided counts of a window, by the window's key.
    fn known_counts(&self, key: &str) -> KnownCounts {
        let view = self.state.view.lock();
        let Some(decided) = view.get(key) else {
            return KnownCounts::None;
        };
        let counts = decode_counts(&decided.value);
        match counts {
            Some(counts) if decided.revision.era < view.revision.era => KnownCounts::Lost(counts),
            counts => KnownCounts::InStore(counts),
        }
    }

    /// Writes decided counts again that the store has come back without, so that no other node decides on
    /// different ones: those that this node has reported at once, and those that it knows from the store unless
    /// another node does so first.
    pub async fn rewrite_lost(&mut self) -> Result<()> {
        let era = self.state.view.lock().revision.era;
        if era != self.rewritten_in {
            let first = first_reportable_window(&self.state);
            for (window, counts) in self.reported.range(first..) {
                self.rewrite(*window, counts).await?;
            }
            self.rewritten_in = era;
        }
        let now = self.state.now();
        let lost = self.lost_counts();
        if lost.is_empty() {
            self.lost_since = None;
            return Ok(());
        }
        let lost_for = now.saturating_sub(*self.lost_since.get_or_insert(now));
        // What a node that leaves knows goes with it.
        let may_wait = self.state.phase() == Phase::Serving && relay::is_follower(&self.state);
        if may_wait && lost_for < FOLLOWER_CLAIM_DELAY {
            return Ok(());
        }
        tokio::time::sleep(MAX_CLAIM_JITTER.mul_f64(rand::random())).await;
        for (window, counts) in lost {
            self.rewrite(window, &counts).await?;
        }
        // By then the counts have arrived in this node's view.
        tokio::time::sleep(REWRITE_PAUSE).await;
        Ok(())
    }

    /// Returns the decided counts in this node's view that the store has come back without.
    fn lost_counts(&self) -> Vec<(Window, Counts)> {
        let view = self.state.view.lock();
        let lost = view
            .iter()
            .filter(|(_, item)| item.revision.era < view.revision.era);
        lost.filter_map(|(key, item)| Some((keys::usage_window(key)?, decode_counts(&item.value)?)))
            .collect()
    }

    /// Writes the counts of a window unless the store has some.
    async fn rewrite(&self, window: Window, counts: &Counts) -> Result<()> {
        let key = keys::usage(window);
        if matches!(self.known_counts(&key), KnownCounts::InStore(_)) {
            return Ok(());
        }
        let put = Transaction::compare_and_swap(&key, Revision::NONE, encode_counts(counts)?);
        let is_new = self.store.transact(put).await?.succeeded;
        tracing::info!(window, is_new, "decided counts written again");
        Ok(())
    }

    /// Returns the decided counts of a window to the holder whose claim to the duties is at the revision `claim`. If
    /// the store has none, those that this node knows are written there first: the ones that the store has lost, or else
    /// the total of this node's counts.
    ///
    /// Returns `None` if the decided counts are not known: they cannot be decoded, have been removed meanwhile, or may
    /// have been lost; or the store no longer has the claim.
    pub async fn decide(&self, window: Window, claim: Revision) -> Result<Option<Counts>> {
        let key = keys::usage(window);
        let counts = match self.known_counts(&key) {
            KnownCounts::InStore(counts) => return Ok(counts),
            KnownCounts::Lost(counts) => counts,
            KnownCounts::None => match self.absence(window, claim.era) {
                Absence::NeverWritten => self.state.usage.lock().total(window),
                Absence::MaybeLost => return self.read(window).await,
            },
        };
        let decide = self.decision(window, claim, encode_counts(&counts)?);
        let reply = self.store.transact(decide).await?;
        if reply.succeeded {
            return Ok(Some(counts));
        }
        let found = reply.found().unwrap_or_default();
        match found.iter().find(|item| *item.key == *key) {
            Some(found) => Ok(decode_counts(&found.value)),
            None => self.read(window).await,
        }
    }

    /// Judges the absence of a window's counts from the store in `era`. They are decided [`USAGE_COLLECTION_DELAY`] after
    /// the end of the window at the earliest, so that the clocks of two holders may differ by as much.
    fn absence(&self, window: Window, era: Era) -> Absence {
        let state = &self.state;
        let (now, wall) = (state.now(), state.wall());
        let ended_ago = Duration::from_millis(wall.saturating_sub(state.end_of(window)));
        let ended_at = now.saturating_sub(ended_ago);
        let contact = *state.contact.lock();
        let absence = Absence::in_store(&contact, era, ended_at);
        tracing::info!(
            window,
            era,
            era_age_ms = contact.era_age(era, now).map(as_millis_u64),
            ended_ago_ms = as_millis_u64(ended_ago),
            ?absence,
            "the decided counts of a usage window are not known"
        );
        absence
    }

    /// Returns the transaction by which a holder decides on the counts of a window, unless the store has some or
    /// lacks the holder's claim: the store may have been restored, or another holder may act.
    fn decision(&self, window: Window, claim: Revision, counts: bytes::Bytes) -> Transaction {
        let mut decide =
            Transaction::compare_and_swap(&keys::usage(window), Revision::NONE, counts);
        decide.compares.push(Compare {
            key: keys::HOLDER.into(),
            condition: Condition::ModRevision(claim),
        });
        let old = keys::usage(window.saturating_sub(WINDOWS_RETAINED));
        if self.state.view.lock().get(&old).is_some() {
            decide.then.push(Op::Delete(KeyRange::One(old.into())));
        }
        decide
    }

    /// Reads the decided counts of a window from the store.
    async fn read(&self, window: Window) -> Result<Option<Counts>> {
        let req = RangeRequest::one(&keys::usage(window));
        let found = self.store.range(req).await?.entries.pop();
        Ok(found.and_then(|found| decode_counts(&found.value)))
    }
}

/// Returns the windows that a holder reports now. If some nodes have not sent their counts lately, it waits longer
/// for these.
pub fn windows_to_report(state: &GatewayState, has_current_counts: bool) -> Range<Window> {
    windows_before(
        state,
        match has_current_counts {
            true => USAGE_COLLECTION_DELAY,
            false => collection_limit(state),
        },
    )
}

/// Returns the first window that any holder may still report, now or later.
pub fn first_reportable_window(state: &GatewayState) -> Window {
    windows_before(state, collection_limit(state).max(USAGE_COLLECTION_DELAY)).start
}

/// Returns the windows that a holder checks which waits for `delay` after the end of each.
fn windows_before(state: &GatewayState, delay: Duration) -> Range<Window> {
    let complete_before = state.window_at(state.wall().saturating_sub(as_millis_u64(delay)));
    complete_before.saturating_sub(PAST_WINDOWS_CHECKED)..complete_before
}

/// Returns the time after a window's end within which a holder waits for the counts of nodes that are silent.
fn collection_limit(state: &GatewayState) -> Duration {
    let bounds = &state.settings.bounds;
    bounds.usage_late.mul_f64(MAX_COLLECTION_SHARE)
}

fn encode_counts(counts: &Counts) -> Result<bytes::Bytes> {
    let text = serde_json::to_vec(counts).map_err(|e| StoreError::Refused {
        cause: format!("counts cannot be written as JSON: {e}").into(),
    })?;
    Ok(text.into())
}

fn decode_counts(text: &[u8]) -> Option<Counts> {
    serde_json::from_slice(text)
        .inspect_err(
            |e| tracing::error!(error = %e, "cannot decode the decided counts of a usage window"),
        )
        .ok()
}
