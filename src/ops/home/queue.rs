//! Requests that wait for an engine of one model.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::run::{Ended, Run};
use crate::core::id::RankLevel;
use crate::core::verdict::Verdict;
use crate::node::Blackboard;
use crate::util::time::as_millis_u32;

/// Time after which a caller whose request waited in vain should ask again.
const EXPIRED_RETRY: Duration = Duration::from_secs(1);

/// A request that waits for an engine.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) run: Arc<Run>,
    level: RankLevel,
    due: Instant,
}

impl Waiting {
    pub(super) fn new(run: Arc<Run>, board: &Blackboard) -> Self {
        let config = board.config.read();
        let level = config
            .document
            .rank(&run.order.request.rank)
            .map_or(RankLevel::MAX, |rule| rule.level);
        let due = run.taken_at + Duration::from_millis(u64::from(run.order.deadline_ms));
        Self { run, level, due }
    }
}

/// Requests that wait for an engine of one model.
#[derive(Debug, Default)]
pub(super) struct ModelQueue {
    waiting: Vec<Waiting>,
}

impl ModelQueue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
        self.waiting.sort_by_key(|w| (w.level, w.run.taken_at));
        self.tell_positions();
    }

    pub(super) fn pop(&mut self) -> Option<Waiting> {
        if self.waiting.is_empty() {
            return None;
        }
        let first = self.waiting.remove(0);
        self.tell_positions();
        Some(first)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Ends requests whose deadline has passed or that nobody waits for any more.
    pub(super) fn end_expired(&mut self, now: Instant) {
        self.waiting.retain(|waiting| {
            if waiting.run.has_ended() {
                return false;
            }
            let expired = waiting.due <= now && waiting.run.order.prior_tokens.is_empty();
            if expired {
                waiting.run.end(Ended::Expired {
                    retry_after_ms: as_millis_u32(EXPIRED_RETRY),
                });
            }
            !expired
        });
    }

    pub(super) fn move_all(self, cause: &str) {
        for waiting in self.waiting {
            waiting.run.end(Ended::Moved {
                cause: cause.into(),
                engine_continues: false,
                kv_blob: None,
                verdict: Verdict::NotRun,
            });
        }
    }

    fn tell_positions(&self) {
        for (waiting, position) in self.waiting.iter().zip(0..) {
            waiting.run.tell_position(position);
        }
    }
}
