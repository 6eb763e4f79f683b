//! Marks in the store that its present era is settled: what back ends and operators had written before a restore has
//! been written again.
//!
//! A process that has just started cannot tell whether the registry lacks a back end because it is gone, or because the
//! store has come back from an older copy. A node that has known an era for long enough writes its number to the store.
//! Whoever has the mark in its view of the store has all that was written before it, too. No clocks are compared, and the
//! mark outlasts the loss of all nodes.

use std::sync::Arc;
use std::time::Duration;

use super::keys;
use super::state::GatewayState;
use super::view::View;
use super::write_turn::WriteTurn;
use crate::core::gateway::absence::Absence;
use crate::core::gateway::store_contact::REREGISTRATION_GRACE;
use crate::sources::store::{Era, Result, Revision, Store, Transaction};

/// Interval between two looks at an era that is not settled.
const UNSETTLED_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two looks at a settled era. It is shorter than the time after which a later one is.
const SETTLED_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the jitter before a node writes to the store.
const MAX_WRITE_JITTER: Duration = Duration::from_millis(50);
/// Pause after a write, within which the mark arrives in this node's view of the store.
const WRITE_PAUSE: Duration = Duration::from_millis(800);
/// Time after the mark is due within which it arrives in the views of nodes.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// A mark to be written.
struct Mark {
    /// The settled era.
    era: Era,
    /// Revision of the mark to be replaced; [`Revision::NONE`] if there is none.
    replaces: Revision,
}

/// Marks eras as settled until the task is dropped.
pub async fn run(state: Arc<GatewayState>, store: Arc<dyn Store>) {
    let mut turn = WriteTurn::default();
    loop {
        tokio::time::sleep(interval(&state)).await;
        if !turn.has_come(&state, due_mark(&state).is_some()) {
            continue;
        }
        tokio::time::sleep(MAX_WRITE_JITTER.mul_f64(rand::random())).await;
        let Some(mark) = due_mark(&state) else {
            continue;
        };
        if let Err(e) = write(&store, mark).await {
            tracing::warn!(error = %e, "failed to mark the era of the store as settled; retrying");
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

fn interval(state: &GatewayState) -> Duration {
    match absence_in_registry(state) {
        Absence::NeverWritten => SETTLED_INTERVAL,
        Absence::MaybeLost => UNSETTLED_INTERVAL,
    }
}

/// Judges the absence of a back end from the registry, in this node's view of the store.
pub fn absence_in_registry(state: &GatewayState) -> Absence {
    let view = state.view.lock();
    Absence::in_registry(view.revision.era, settled_era(&view))
}

/// Returns the time after which the present era is settled, as far as this node knows.
pub fn settles_in(state: &GatewayState) -> Duration {
    let era = state.view.lock().revision.era;
    let age = state.contact.lock().era_age(era, state.now());
    REREGISTRATION_GRACE.saturating_sub(age.unwrap_or_default()) + ARRIVAL_TIME
}

/// Returns the era that the mark names, if it was written or read in the present one.
fn settled_era(view: &View) -> Option<Era> {
    let mark = view.get(keys::SETTLED_ERA)?;
    if mark.revision.era != view.revision.era {
        return None;
    }
    std::str::from_utf8(&mark.value).ok()?.parse().ok()
}

/// Returns the mark to write, if the present era is settled and has none.
fn due_mark(state: &GatewayState) -> Option<Mark> {
    let view = state.view.lock();
    let era = view.revision.era;
    if settled_era(&view) == Some(era) {
        return None;
    }
    let known = view.get(keys::SETTLED_ERA).map(|mark| mark.revision);
    drop(view);
    let age = state.contact.lock().era_age(era, state.now())?;
    (age >= REREGISTRATION_GRACE).then_some(Mark {
        era,
        replaces: known.unwrap_or(Revision::NONE),
    })
}

/// Writes a mark, unless another node was faster. One that arrives in a later era still names the earlier one.
async fn write(store: &Arc<dyn Store>, mark: Mark) -> Result<()> {
    let Mark { era, replaces } = mark;
    let put = Transaction::compare_and_swap(keys::SETTLED_ERA, replaces, era.to_string().into());
    let is_new = store.transact(put).await?.succeeded;
    tracing::info!(era, is_new, "era of the store marked as settled");
    Ok(())
}
