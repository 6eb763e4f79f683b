//! Follows the platform's store by one watch over all its keys.
//!
//! A few nodes of each availability zone do so; the others follow one of these (see [`relay`]), so that
//! the store's load grows with the zones and not with the nodes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;

use super::board::Board;
use super::install::{self, Source};
use super::relay;
use super::view::Deletion;
use crate::sources::store::{
    KeyRange, RangeRequest, Result, Store, StoreError, WatchEvent, WatchRequest,
};

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time for which deletions are doubted after the store came back.
const DOUBT_AFTER_OUTAGE: Duration = Duration::from_millis(2500);

/// Follows the store until the task is dropped.
pub async fn run(board: Arc<Board>, store: Arc<dyn Store>, client: reqwest::Client) {
    let mut pause = FIRST_PAUSE;
    let mut has_contact = false;
    loop {
        if has_contact {
            relay::follow_while_possible(&board, &client).await;
        }
        match follow(&board, &store, &mut has_contact).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(e) => {
                if has_contact {
                    has_contact = false;
                    pause = FIRST_PAUSE;
                    tracing::warn!(dependency = "store", error = %e, revision = board.view.lock().revision, "dependency lost");
                } else {
                    tracing::debug!(dependency = "store", error = %e, "still not reached");
                }
                tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Lists what the store holds, if this node does not know, and watches it until that fails.
async fn follow(board: &Board, store: &Arc<dyn Store>, has_contact: &mut bool) -> Result<()> {
    if board.view.lock().revision == 0 || board.view.lock().contact.is_none() {
        list(board, store).await?;
        note_contact(board, has_contact);
    }
    let from = board.view.lock().revision + 1;
    let mut events = store
        .watch(WatchRequest {
            range: KeyRange::Prefix("".into()),
            from: Some(from),
        })
        .await?;
    let mut doubt_until = None;
    while let Some(event) = events.next().await {
        match event {
            Ok(event) => {
                let now = board.now();
                let contact = board.view.lock().contact;
                if install::was_outage(contact, now) {
                    doubt_until = Some(now + DOUBT_AFTER_OUTAGE);
                }
                note_contact(board, has_contact);
                let is_progress = matches!(event, WatchEvent::Started { .. });
                take(board, event, doubt_until.is_some_and(|until| now < until));
                if is_progress && relay::is_follower(board) {
                    return Ok(());
                }
            }
            Err(StoreError::Compacted { .. }) => {
                tracing::info!(revision = from, "the store's history is gone; listing anew");
                list(board, store).await?;
                note_contact(board, has_contact);
                return Ok(());
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

async fn list(board: &Board, store: &Arc<dyn Store>) -> Result<()> {
    let listed = store.range(RangeRequest::prefix("")).await?;
    install::list(board, &listed.entries, &[], listed.revision, Source::Store);
    Ok(())
}

fn note_contact(board: &Board, has_contact: &mut bool) {
    let mut view = board.view.lock();
    view.contact = Some(board.now());
    if !*has_contact {
        *has_contact = true;
        tracing::info!(
            dependency = "store",
            revision = view.revision,
            "dependency reached"
        );
    }
}

fn take(board: &Board, event: WatchEvent, after_outage: bool) {
    match event {
        WatchEvent::Put(item) => install::put(board, &item, Source::Store),
        WatchEvent::Deleted { key, revision } => {
            let deletion = Deletion {
                key,
                revision,
                is_doubtful: after_outage,
            };
            install::delete(board, deletion);
        }
        WatchEvent::Started { revision } => board.set_revision(revision),
    }
}
