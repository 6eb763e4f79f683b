//! Small versioned values that nodes spread by gossip in addition to membership.
//!
//! A lost or late value does no harm: the next report of the same node replaces it.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::tuning;
use crate::core::id::{CustomerId, ModelName, NodeId, VmId};
use crate::core::time::{Moment, UnixMillis};

/// Encoded size of a report without its strings, in bytes.
const REPORT_OVERHEAD: usize = 40;
/// Encoded size of one count of waiting tokens, in bytes.
const WAITING_BYTES: usize = 10;

/// State of one home's queue for one model. Used to choose among homes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeLoad {
    /// Home node.
    pub node: NodeId,
    /// Model of the queue.
    pub model: ModelName,
    /// Increases with every report of the node.
    pub sequence: u64,
    /// Requests that the home's engines run at once.
    pub slots: u32,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Tokens of queued requests, by rank level.
    pub waiting_tokens: SmallVec<[u64; 4]>,
    /// Tokens served a second, smoothed.
    pub tokens_per_second: u32,
}

impl HomeLoad {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        REPORT_OVERHEAD
            + self.node.len()
            + self.model.len()
            + WAITING_BYTES * self.waiting_tokens.len()
    }
}

/// Tokens that a customer has used since the reporting node started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerUse {
    /// Reporting node, or `region:NAME` for the sum over a region.
    pub node: NodeId,
    /// The customer.
    pub customer: CustomerId,
    /// Tokens used, prompt and answer together; never decreases for one node.
    pub tokens: u64,
    /// Accepted and unfinished requests.
    pub in_flight: u32,
    /// Increases with every report.
    pub sequence: u64,
}

impl CustomerUse {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        REPORT_OVERHEAD + self.node.len() + self.customer.len()
    }

    /// Returns whether this is the sum over a region.
    pub fn is_sum(&self) -> bool {
        self.node.starts_with(SUM_PREFIX)
    }
}

/// Prefix of the node name under which the sum over a region is reported.
const SUM_PREFIX: &str = "region:";

/// Returns the node name under which the sum over a region is reported.
pub fn region_sum_name(region: &str) -> NodeId {
    format!("{SUM_PREFIX}{region}").into()
}

/// A back end that is leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendNotice {
    /// VM that the cloud reclaims.
    pub vm: VmId,
    /// Time of the reclaim.
    pub reclaim_at: UnixMillis,
}

impl BackendNotice {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        REPORT_OVERHEAD + self.vm.len()
    }
}

/// Identifies a reported value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportKey {
    /// Load of a home for a model.
    Load(NodeId, ModelName),
    /// Use by a customer as counted by a node.
    Use(NodeId, CustomerId),
    /// Notice for a VM.
    Notice(VmId),
}

/// The latest reported values that a node knows.
#[derive(Debug, Default)]
pub struct Reports {
    loads: BTreeMap<(NodeId, ModelName), HomeLoad>,
    uses: BTreeMap<(NodeId, CustomerId), CustomerUse>,
    notices: BTreeMap<VmId, (BackendNotice, Moment)>,
    version: u64,
}

impl Reports {
    /// Stores a load. Returns its key if it is newer than the known one.
    pub fn insert_load(&mut self, load: HomeLoad) -> Option<ReportKey> {
        let key = (load.node.clone(), load.model.clone());
        let known = self.loads.get(&key);
        if known.is_some_and(|known| known.sequence >= load.sequence)
            || (known.is_none() && self.loads.len() >= tuning::MAX_REPORTS)
        {
            return None;
        }
        self.loads.insert(key.clone(), load);
        self.version += 1;
        Some(ReportKey::Load(key.0, key.1))
    }

    /// Stores a use. Returns its key if it is newer than the known one.
    pub fn insert_use(&mut self, usage: CustomerUse) -> Option<ReportKey> {
        let key = (usage.node.clone(), usage.customer.clone());
        let known = self.uses.get(&key);
        if known.is_some_and(|known| known.sequence >= usage.sequence)
            || (known.is_none() && self.uses.len() >= tuning::MAX_REPORTS)
        {
            return None;
        }
        self.uses.insert(key.clone(), usage);
        self.version += 1;
        Some(ReportKey::Use(key.0, key.1))
    }

    /// Stores a notice. The earliest reclaim time of a VM wins. Returns its key if the notice is new or
    /// has an earlier time.
    pub fn insert_notice(&mut self, notice: BackendNotice, now: Moment) -> Option<ReportKey> {
        let known = self.notices.get(&notice.vm);
        if known.is_some_and(|(known, _)| known.reclaim_at <= notice.reclaim_at)
            || (known.is_none() && self.notices.len() >= tuning::MAX_REPORTS)
        {
            return None;
        }
        let key = ReportKey::Notice(notice.vm.clone());
        self.notices.insert(notice.vm.clone(), (notice, now));
        self.version += 1;
        Some(key)
    }

    /// Returns the load of a home for a model.
    pub fn load(&self, node: &NodeId, model: &ModelName) -> Option<&HomeLoad> {
        self.loads.get(&(node.clone(), model.clone()))
    }

    /// Returns the use by a customer as counted by a node.
    pub fn usage(&self, node: &NodeId, customer: &CustomerId) -> Option<&CustomerUse> {
        self.uses.get(&(node.clone(), customer.clone()))
    }

    /// Returns the notice for a VM.
    pub fn notice(&self, vm: &VmId) -> Option<&BackendNotice> {
        self.notices.get(vm).map(|(notice, _)| notice)
    }

    /// Returns whether a value with the key is known.
    pub fn contains(&self, key: &ReportKey) -> bool {
        match key {
            ReportKey::Load(node, model) => self.load(node, model).is_some(),
            ReportKey::Use(node, customer) => self.usage(node, customer).is_some(),
            ReportKey::Notice(vm) => self.notice(vm).is_some(),
        }
    }

    /// Returns a counter that increases with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the last reported load of each home node and model.
    pub fn loads(&self) -> impl Iterator<Item = &HomeLoad> {
        self.loads.values()
    }

    /// Returns the last reported use of each customer, by reporting node or region.
    pub fn uses(&self) -> impl Iterator<Item = &CustomerUse> {
        self.uses.values()
    }

    /// Returns all notices.
    pub fn notices(&self) -> impl Iterator<Item = &BackendNotice> {
        self.notices.values().map(|(notice, _)| notice)
    }

    /// Removes all loads and uses that a node reported.
    pub fn remove_node(&mut self, node: &str) {
        self.version += 1;
        self.loads.retain(|key, _| &*key.0 != node);
        self.uses.retain(|key, _| &*key.0 != node);
    }

    /// Removes notices older than [`tuning::NOTICE_LIFETIME`].
    pub fn remove_expired_notices(&mut self, now: Moment) {
        self.notices
            .retain(|_, (_, received_at)| *received_at + tuning::NOTICE_LIFETIME > now);
    }
}
