//! Queue of the requests that wait for an engine of one model.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::run::{Run, RunEnd};
use crate::core::admission::DrainRate;
use crate::core::document::Document;
use crate::core::estimate::{Estimator, work_tokens};
use crate::core::id::{RankLevel, RankName, RequestId, VmId};
use crate::core::queue::{Dequeued, FairQueue, QueueRules, QueuedRequest, WaitingTokens};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;
use crate::util::time::as_millis_u32;

/// Lower bound of the retry delay sent to a caller whose request expired in the queue.
const MIN_EXPIRED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval of updates of the queue positions of waiting requests.
const POSITION_INTERVAL: Duration = Duration::from_millis(500);

/// Cost that the fair queue charged for a request that is running on an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChargedCost {
    level: RankLevel,
    tokens: u32,
}

/// Queue of the requests that wait for an engine of one model.
#[derive(Debug)]
pub(super) struct ModelQueue {
    origin: Instant,
    fair: FairQueue,
    runs: HashMap<RequestId, Arc<Run>>,
    charged: HashMap<RequestId, ChargedCost>,
    estimator: Estimator,
    drain: DrainRate,
    /// When the positions of waiting requests were last updated.
    positions_updated_at: Option<Instant>,
}

/// Number of queued requests of one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankWaiting {
    /// The rank.
    pub rank: RankName,
    /// Number of queued requests.
    pub waiting: u32,
}

impl ModelQueue {
    pub(super) fn new() -> Self {
        Self {
            origin: Instant::now(),
            fair: FairQueue::new(QueueRules::default()),
            runs: HashMap::new(),
            charged: HashMap::new(),
            estimator: Estimator::default(),
            drain: DrainRate::default(),
            positions_updated_at: None,
        }
    }

    /// Applies the rules of the configuration document.
    pub(super) fn set_rules(&mut self, doc: &Document) {
        self.fair.set_rules(QueueRules::from_document(doc));
    }

    /// Adds a request. A request that is queued already is left unchanged.
    pub(super) fn push(&mut self, run: Arc<Run>, doc: &Document) {
        let item = self.item(&run, doc);
        if self.fair.push(item).is_ok() {
            self.runs.insert(run.order.request.id.clone(), run);
        }
    }

    /// Removes the next request and returns it with its preferred engine. Requests that have ended
    /// or expired are dropped.
    pub(super) fn pop(&mut self) -> Option<(Arc<Run>, Option<VmId>)> {
        loop {
            match self.fair.pop(self.moment(Instant::now())) {
                Dequeued::Serve(item) => {
                    let Some(run) = self.runs.remove(&item.id) else {
                        continue;
                    };
                    if run.has_ended() {
                        self.fair
                            .settle(&item.customer, item.level, item.cost_tokens, 0);
                        continue;
                    }
                    self.charged.insert(
                        item.id,
                        ChargedCost {
                            level: item.level,
                            tokens: item.cost_tokens,
                        },
                    );
                    return Some((run, item.preferred_engine));
                }
                Dequeued::Expired(item) => self.end_expired_run(&item),
                Dequeued::Empty => return None,
            }
        }
    }

    /// Replaces the estimated cost of a request that has left its engine after `service` by its
    /// actual cost.
    pub(super) fn settle(&mut self, run: &Run, service: Duration) {
        let request = &run.order.request;
        let Some(charged) = self.charged.remove(&request.id) else {
            return;
        };
        let made = run.next_offset() - run.base;
        let actual = if made == 0 {
            0
        } else {
            work_tokens(request.prompt_tokens, made)
        };
        self.fair
            .settle(&request.customer, charged.level, charged.tokens, actual);
        if actual > 0 {
            self.drain.observe(actual, service);
        }
        if matches!(run.state.borrow().ended, Some(RunEnd::Finished(_))) {
            self.estimator
                .observe(&request.customer, &request.model, run.next_offset());
        }
    }

    /// Ends requests whose deadline has passed, and removes those whose run has ended.
    pub(super) fn end_expired(&mut self, now: Instant) {
        for item in self.fair.expire(self.moment(now)) {
            self.end_expired_run(&item);
        }
        let ended: Vec<RequestId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.has_ended())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.fair.remove(&id);
            self.runs.remove(&id);
        }
    }

    /// Updates the position and expected wait of every queued request, at most once per
    /// [`POSITION_INTERVAL`], with `slots` slots in use.
    pub(super) fn update_queue_positions(&mut self, slots: u32) {
        if self
            .positions_updated_at
            .is_some_and(|at| at.elapsed() < POSITION_INTERVAL)
        {
            return;
        }
        self.positions_updated_at = Some(Instant::now());
        let rate = self.drain.tokens_per_second(slots);
        for (id, run) in &self.runs {
            let Some(ahead) = self.fair.position(id) else {
                continue;
            };
            let wait = match rate {
                Some(rate) if rate > 0.0 => Duration::from_secs_f64(ahead.tokens as f64 / rate),
                _ => Duration::ZERO,
            };
            run.set_queue_position(ahead.requests, as_millis_u32(wait));
        }
    }

    /// Ends all queued requests with `Moved`.
    pub(super) fn move_all(self, cause: &str) {
        for run in self.runs.into_values() {
            run.end(RunEnd::Moved {
                cause: cause.into(),
                engine_continues: false,
                kv_blob: None,
                verdict: Verdict::NotRun,
            });
        }
    }

    /// Returns the number of queued requests by rank, sorted by the name of the rank.
    pub(super) fn waiting_by_rank(&self) -> Vec<RankWaiting> {
        let mut counts: Vec<RankWaiting> = Vec::new();
        for run in self.runs.values() {
            let rank = &run.order.request.rank;
            match counts.iter_mut().find(|count| count.rank == *rank) {
                Some(count) => count.waiting += 1,
                None => counts.push(RankWaiting {
                    rank: rank.clone(),
                    waiting: 1,
                }),
            }
        }
        counts.sort_by(|a, b| a.rank.cmp(&b.rank));
        counts
    }

    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.fair.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn waiting_tokens(&self) -> WaitingTokens {
        self.fair.waiting_tokens()
    }

    /// Returns the throughput of `slots` busy slots in tokens per second; 0 before the first
    /// observation.
    pub(super) fn tokens_per_second(&self, slots: u32) -> u32 {
        self.drain
            .tokens_per_second(slots)
            .map_or(0, |rate| rate.min(f64::from(u32::MAX)) as u32)
    }

    fn end_expired_run(&mut self, item: &QueuedRequest) {
        if let Some(run) = self.runs.remove(&item.id) {
            let mean = self.drain.mean_service().unwrap_or(MIN_EXPIRED_RETRY_DELAY);
            run.end(RunEnd::Expired {
                retry_after_ms: as_millis_u32(mean.max(MIN_EXPIRED_RETRY_DELAY)),
            });
        }
    }

    fn item(&self, run: &Run, doc: &Document) -> QueuedRequest {
        let request = &run.order.request;
        let estimate = self.estimator.estimate(
            &request.customer,
            &request.model,
            request.prompt_tokens,
            request.max_tokens,
        );
        let arrived = self.moment(run.received_at);
        QueuedRequest {
            id: request.id.clone(),
            customer: request.customer.clone(),
            level: doc.rank(&request.rank).map_or(0, |rule| rule.level),
            weight: doc
                .customer(&request.customer)
                .map_or(1, |rule| rule.weight),
            cost_tokens: estimate.work_tokens(),
            deadline: arrived + Duration::from_millis(u64::from(run.order.deadline_ms)),
            arrived,
            preferred_engine: run.order.preferred_engine.clone(),
            is_resumed: !run.order.prior_tokens.is_empty(),
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        at.saturating_duration_since(self.origin)
    }
}
