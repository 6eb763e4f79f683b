//! Streams the events of a run to one reader.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

use super::run::Run;
use crate::core::dispatch::DispatchEvent;
use crate::core::id::TokenOffset;

/// Interval after which an event is sent even without a change, so that the reader can take silence
/// for a lost connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Starts to send events to a reader that has the tokens before `offset`.
pub(super) fn spawn(run: Arc<Run>, offset: TokenOffset, tx: mpsc::Sender<DispatchEvent>) {
    let rx = run.state.subscribe();
    let guard = run.add_reader();
    tokio::spawn(async move {
        let _guard = guard;
        let mut reader = Reader {
            run,
            offset,
            has_started: false,
        };
        reader.send_events(rx, tx).await;
    });
}

struct Reader {
    run: Arc<Run>,
    offset: TokenOffset,
    has_started: bool,
}

impl Reader {
    async fn send_events(
        &mut self,
        mut rx: tokio::sync::watch::Receiver<super::run::RunState>,
        tx: mpsc::Sender<DispatchEvent>,
    ) {
        rx.mark_changed();
        loop {
            let changed = timeout(HEARTBEAT_INTERVAL, rx.changed()).await;
            let events = self.pending_events(&rx.borrow_and_update(), changed.is_err());
            for event in events {
                let is_last = event.is_last();
                if tx.send(event).await.is_err() || is_last {
                    return;
                }
            }
            if tx.is_closed() {
                return;
            }
        }
    }

    /// Returns the events that the reader has not received yet; at least one where
    /// `is_heartbeat_due`.
    fn pending_events(
        &mut self,
        state: &super::run::RunState,
        is_heartbeat_due: bool,
    ) -> Vec<DispatchEvent> {
        let mut events = Vec::new();
        if let Some(running) = state.running.as_ref().filter(|_| !self.has_started) {
            self.has_started = true;
            events.push(DispatchEvent::Started {
                engine: running.engine.clone(),
                engine_attempt: running.engine_attempt,
                waited_ms: running.waited_ms,
            });
        }
        let received = (self.offset - self.run.base) as usize;
        let tokens = state.tokens.get(received..).unwrap_or_default().to_vec();
        if !tokens.is_empty() {
            let offset = self.offset;
            self.offset += u32::try_from(tokens.len()).unwrap_or(u32::MAX);
            events.push(DispatchEvent::Tokens { offset, tokens });
        }
        if let Some(ended) = &state.ended {
            events.push(ended.event(&self.run, state));
        } else if !self.has_started {
            events.push(DispatchEvent::Queued {
                position: state.position,
                expected_wait_ms: state.expected_wait_ms,
            });
        } else if events.is_empty() && is_heartbeat_due {
            let offset = self.offset;
            let tokens = Vec::new();
            events.push(DispatchEvent::Tokens { offset, tokens });
        }
        events
    }
}
