//! Interface between a keeper and the node that it runs on.

use std::collections::BTreeMap;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::core::fleet::ModelDemand;
use crate::core::id::{ModelName, VmId};
use crate::core::membership::BackendNotice;
use crate::core::time::UnixMillis;
use crate::ops::gossip::Gossip;

/// Target time to drain queued work, in seconds. Queued tokens divided by it count as demand per second.
const DRAIN_TARGET_SECONDS: u64 = 30;

/// Services that a keeper uses of the node that it runs on.
pub trait FleetHost: Send + Sync {
    /// Returns the demand for each model in the node's region.
    fn demand(&self) -> Vec<ModelDemand>;

    /// Announces to the nodes of the region that an engine accepts no more work and stops at `at`.
    fn announce_leaving(&self, vm: VmId, at: UnixMillis) -> BoxFuture<'_, ()>;
}

impl FleetHost for Gossip {
    fn demand(&self) -> Vec<ModelDemand> {
        let reports = self.reports();
        let mut by_model: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        for load in &reports.loads {
            let sum = by_model.entry(load.model.clone());
            let sum = sum.or_insert_with(|| ModelDemand {
                model: load.model.clone(),
                tokens_per_second: [0].into_iter().collect(),
            });
            sum.add(u64::from(load.tokens_per_second), &load.waiting_tokens);
        }
        by_model.into_values().collect()
    }

    fn announce_leaving(&self, vm: VmId, at: UnixMillis) -> BoxFuture<'_, ()> {
        let notice = BackendNotice { vm, reclaim_at: at };
        async move { self.report_notice(notice).await }.boxed()
    }
}

impl ModelDemand {
    /// Adds the throughput and queued work of one home. A home reports its throughput only as a total
    /// over all ranks. The total counts for the most urgent rank with queued work, or for the most
    /// urgent rank of all if the queue is empty, so that errors favour the floor.
    fn add(&mut self, served: u64, waiting_tokens: &[u64]) {
        if self.tokens_per_second.len() < waiting_tokens.len() {
            self.tokens_per_second.resize(waiting_tokens.len(), 0);
        }
        for (sum, waiting) in self.tokens_per_second.iter_mut().zip(waiting_tokens) {
            *sum += waiting.div_ceil(DRAIN_TARGET_SECONDS);
        }
        let level = waiting_tokens.iter().position(|waiting| *waiting > 0);
        self.tokens_per_second[level.unwrap_or(0)] += served;
    }
}
