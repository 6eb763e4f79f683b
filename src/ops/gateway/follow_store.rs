//! Replicates the platform's store through one watch over all keys.
//!
//! A few nodes of each availability zone do so; the others fetch from one of these (see [`relay`]), so
//! that the load on the store grows with the number of zones and not of nodes. For the same reason a node
//! copies the view of another one, if it can, instead of listing all keys: a node that starts that of a node that
//! its settings name, and a node that finds the store's history compacted that of a node that watches the store.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;

use super::install::{self, Source};
use super::state::GatewayState;
use super::view::Deletion;
use super::{relay, snapshot};
use crate::core::time::Moment;
use crate::sources::http::HttpClient;
use crate::sources::store::{
    KeyRange, RangeRequest, Result, Revision, Store, StoreError, WatchEvent, WatchRequest,
};

/// Initial backoff after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Keeps the view up to date until the task is dropped.
pub async fn run(state: Arc<GatewayState>, store: Arc<dyn Store>, client: HttpClient) {
    let mut backoff = INITIAL_BACKOFF;
    let mut has_contact = false;
    let mut has_copy = snapshot::copy_from_seeds(&state, &client).await;
    loop {
        if has_contact || std::mem::take(&mut has_copy) {
            relay::follow_while_possible(&state, &client).await;
        }
        match list_and_watch(&state, &store, &client, &mut has_contact).await {
            Ok(()) => backoff = INITIAL_BACKOFF,
            Err(e) => {
                if has_contact {
                    has_contact = false;
                    backoff = INITIAL_BACKOFF;
                    tracing::warn!(dependency = "store", error = %e, revision = %state.view.lock().revision, "dependency lost");
                } else {
                    tracing::debug!(dependency = "store", error = %e, "store still not reached");
                }
                if state.view_age().is_none() {
                    state.startup.note_isolated();
                }
                tokio::time::sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Lists the store if this node's view was never complete, and watches it until the watch fails or this node
/// can follow another one instead.
async fn list_and_watch(
    state: &GatewayState,
    store: &Arc<dyn Store>,
    client: &HttpClient,
    has_contact: &mut bool,
) -> Result<()> {
    if state.view_age().is_none() {
        let asked = state.now();
        list_store(state, store).await?;
        note_contact(state, asked, has_contact);
    }
    let from = state.view.lock().revision.next();
    let mut events = store
        .watch(WatchRequest {
            range: KeyRange::Prefix("".into()),
            from: Some(from),
        })
        .await?;
    let mut asked = state.now();
    while let Some(event) = events.next().await {
        match event {
            Ok(event) => {
                let is_progress = matches!(event, WatchEvent::Started { .. });
                note_contact(state, asked, has_contact);
                apply_event(state, event);
                if is_progress && relay::is_follower(state) {
                    return Ok(());
                }
                if is_progress {
                    asked = state.now();
                }
            }
            Err(StoreError::Compacted { revision }) => {
                if revision != Revision::NONE {
                    note_era(state, revision);
                }
                let is_copied = relay::copy_from_watchers(state, client).await;
                tracing::info!(
                    revision = %from,
                    is_copied,
                    "the store has compacted the revisions to watch"
                );
                if !is_copied {
                    asked = state.now();
                    list_store(state, store).await?;
                }
                note_contact(state, asked, has_contact);
                return Ok(());
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

async fn list_store(state: &GatewayState, store: &Arc<dyn Store>) -> Result<()> {
    let listed = store.range(RangeRequest::prefix("")).await?;
    note_era(state, listed.revision);
    let is_applied =
        install::apply_listing(state, &listed.entries, &[], listed.revision, Source::Store);
    match is_applied {
        true => Ok(()),
        // Retried with backoff, as the store is behind what this node has from others.
        false => Err(StoreError::Refused {
            cause: format!("its listing of revision {} is older", listed.revision).into(),
        }),
    }
}

fn note_era(state: &GatewayState, revision: Revision) {
    let now = state.now();
    state.contact.lock().record_era(revision.era, now);
}

/// Records an answer of the store for which this node has waited since `asked`.
fn note_contact(state: &GatewayState, asked: Moment, has_contact: &mut bool) {
    state.contact.lock().record_answer(asked, state.now());
    if !*has_contact {
        *has_contact = true;
        tracing::info!(
            dependency = "store",
            revision = %state.view.lock().revision,
            "dependency reached"
        );
    }
}

fn apply_event(state: &GatewayState, event: WatchEvent) {
    match event {
        WatchEvent::Put(item) => install::put(state, &item, Source::Store),
        WatchEvent::Deleted { key, revision } => {
            install::delete(state, Deletion { key, revision }, Source::Store);
        }
        WatchEvent::Started { revision } => state.set_revision(revision),
    }
}
