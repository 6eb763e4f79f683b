//! Demand of other regions, told through the store by the keepers.
//!
//! Loads are gossiped within a region only. Each keeper writes its region's demand under its own lease
//! and reads the others', so that the calls grow with zones and not with nodes or requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::fleet::ModelDemand;
use crate::core::id::{ModelName, RegionId};
use crate::sources::store::{
    KeyRange, LeaseId, Op, OpResult, Result, Store, Transaction, TransactionReply,
};

/// Start of the keys under which demand is told.
const DEMAND_PREFIX: &str = "fleet/demand/";

#[derive(Debug, Serialize, Deserialize)]
struct RegionWire {
    region: RegionId,
    models: Vec<ModelWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ModelWire {
    model: ModelName,
    tokens_per_second: Vec<u64>,
}

/// Demand of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RegionDemand {
    pub(super) region: RegionId,
    pub(super) models: Vec<ModelDemand>,
}

impl From<&RegionDemand> for RegionWire {
    fn from(demand: &RegionDemand) -> Self {
        let models = demand.models.iter().map(|demand| ModelWire {
            model: demand.model.clone(),
            tokens_per_second: demand.tokens_per_second.to_vec(),
        });
        Self {
            region: demand.region.clone(),
            models: models.collect(),
        }
    }
}

impl From<RegionWire> for RegionDemand {
    fn from(wire: RegionWire) -> Self {
        let models = wire.models.into_iter().map(|model| ModelDemand {
            model: model.model,
            tokens_per_second: model.tokens_per_second.into(),
        });
        Self {
            region: wire.region,
            models: models.collect(),
        }
    }
}

/// Tells a zone's demand and returns what the keepers of all zones told, in one call.
pub(super) async fn exchange(
    store: &dyn Store,
    zone: &str,
    lease: LeaseId,
    own: &RegionDemand,
) -> Result<Vec<RegionDemand>> {
    let value = serde_json::to_vec(&RegionWire::from(own)).unwrap_or_default();
    let exchange = Transaction {
        then: vec![
            Op::Put {
                key: format!("{DEMAND_PREFIX}{zone}").into(),
                value: value.into(),
                lease: Some(lease),
            },
            Op::Get(KeyRange::Prefix(DEMAND_PREFIX.into())),
        ],
        ..Transaction::default()
    };
    store.transact(exchange).await.map(told)
}

fn told(reply: TransactionReply) -> Vec<RegionDemand> {
    let results = reply.results.into_iter();
    let found = results.filter_map(|result| match result {
        OpResult::Got(entries) => Some(entries),
        OpResult::Put | OpResult::Deleted(_) => None,
    });
    let entries = found.flatten();
    let wires = entries.filter_map(|kv| serde_json::from_slice::<RegionWire>(&kv.value).ok());
    wires.map(RegionDemand::from).collect()
}

/// Adds up the demand of a region, known at first hand, and of the others. Where several keepers of one
/// region told, the last one counts.
pub(super) fn total(own: RegionDemand, told: &[RegionDemand]) -> Vec<ModelDemand> {
    let mut regions: BTreeMap<RegionId, Vec<ModelDemand>> = BTreeMap::new();
    for demand in told {
        regions.insert(demand.region.clone(), demand.models.clone());
    }
    regions.insert(own.region, own.models);
    let mut total: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
    for demand in regions.into_values().flatten() {
        let sum = total.entry(demand.model.clone());
        sum.and_modify(|sum| sum.merge(&demand)).or_insert(demand);
    }
    total.into_values().collect()
}

impl ModelDemand {
    fn merge(&mut self, other: &Self) {
        let levels = self.tokens_per_second.len();
        let levels = levels.max(other.tokens_per_second.len());
        self.tokens_per_second.resize(levels, 0);
        let sums = self.tokens_per_second.iter_mut();
        for (sum, more) in sums.zip(&other.tokens_per_second) {
            *sum += more;
        }
    }
}
