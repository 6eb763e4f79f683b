//! Reports that keepers exchange through the store: the demand of their region and the starts that the
//! cloud refused to them.
//!
//! Every keeper plans the whole fleet, but loads are gossiped only within a region, and only the keeper
//! of a zone sees the refusals there. Each keeper writes its report under its lease and reads the
//! reports of the others, so that the number of store calls grows with zones and not with nodes or
//! requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::fleet::{Market, ModelDemand, Supply};
use crate::core::id::{MachineClass, ModelName, RegionId, ZoneId};
use crate::sources::store::{
    KeyRange, LeaseId, Op, OpResult, Result, Store, Transaction, TransactionReply,
};

/// Prefix of the keys of the reports.
const REPORT_PREFIX: &str = "fleet/report/";

#[derive(Debug, Serialize, Deserialize)]
struct ReportWire {
    zone: ZoneId,
    region: RegionId,
    models: Vec<ModelWire>,
    refused: Vec<RefusedWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ModelWire {
    model: ModelName,
    tokens_per_second: Vec<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RefusedWire {
    zone: ZoneId,
    class: MachineClass,
    is_reclaimable: bool,
    left_ms: u64,
}

/// A supply whose starts were refused, and the remaining time of its backoff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RefusedSupply {
    pub(super) supply: Supply,
    pub(super) remaining: Duration,
}

/// Report of one keeper to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeeperReport {
    pub(super) zone: ZoneId,
    /// Region of the keeper's node.
    pub(super) region: RegionId,
    /// Demand in that region.
    pub(super) models: Vec<ModelDemand>,
    pub(super) refused: Vec<RefusedSupply>,
}

impl From<&KeeperReport> for ReportWire {
    fn from(report: &KeeperReport) -> Self {
        let models = report.models.iter().map(|demand| ModelWire {
            model: demand.model.clone(),
            tokens_per_second: demand.tokens_per_second.to_vec(),
        });
        let refused = report.refused.iter().map(|refused| RefusedWire {
            zone: refused.supply.zone.clone(),
            class: refused.supply.class.clone(),
            is_reclaimable: refused.supply.market == Market::Reclaimable,
            left_ms: refused.remaining.as_millis() as u64,
        });
        Self {
            zone: report.zone.clone(),
            region: report.region.clone(),
            models: models.collect(),
            refused: refused.collect(),
        }
    }
}

impl From<ReportWire> for KeeperReport {
    fn from(wire: ReportWire) -> Self {
        let models = wire.models.into_iter().map(|model| ModelDemand {
            model: model.model,
            tokens_per_second: model.tokens_per_second.into(),
        });
        let refused = wire.refused.into_iter().map(|refused| RefusedSupply {
            supply: Supply {
                zone: refused.zone,
                class: refused.class,
                market: match refused.is_reclaimable {
                    true => Market::Reclaimable,
                    false => Market::OnDemand,
                },
            },
            remaining: Duration::from_millis(refused.left_ms),
        });
        Self {
            zone: wire.zone,
            region: wire.region,
            models: models.collect(),
            refused: refused.collect(),
        }
    }
}

/// Writes this keeper's report and reads those of the other zones, in one transaction.
pub(super) async fn exchange(
    store: &dyn Store,
    lease: LeaseId,
    own_report: &KeeperReport,
) -> Result<Vec<KeeperReport>> {
    let value = serde_json::to_vec(&ReportWire::from(own_report)).unwrap_or_default();
    let exchange = Transaction {
        then: vec![
            Op::Put {
                key: format!("{REPORT_PREFIX}{}", own_report.zone).into(),
                value: value.into(),
                lease: Some(lease),
            },
            Op::Get(KeyRange::Prefix(REPORT_PREFIX.into())),
        ],
        ..Transaction::default()
    };
    let mut reports = store.transact(exchange).await.map(parse_reports)?;
    reports.retain(|report| report.zone != own_report.zone);
    Ok(reports)
}

fn parse_reports(reply: TransactionReply) -> Vec<KeeperReport> {
    let results = reply.results.into_iter();
    let found = results.filter_map(|result| match result {
        OpResult::Got(entries) => Some(entries),
        OpResult::Put | OpResult::Deleted(_) => None,
    });
    let entries = found.flatten();
    let wires = entries.filter_map(|kv| serde_json::from_slice::<ReportWire>(&kv.value).ok());
    wires.map(KeeperReport::from).collect()
}

/// Sums the demand of all regions. This node's own demand stands for its region; if several keepers of
/// another region have reported, the last report counts.
pub(super) fn total_demand(own_report: KeeperReport, others: &[KeeperReport]) -> Vec<ModelDemand> {
    let mut regions: BTreeMap<RegionId, Vec<ModelDemand>> = BTreeMap::new();
    for demand in others {
        regions.insert(demand.region.clone(), demand.models.clone());
    }
    regions.insert(own_report.region, own_report.models);
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
