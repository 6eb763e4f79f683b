//! The parsed and validated operators' document.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::{
    CustomerId, MachineClass, ModelName, RankLevel, RankName, ServiceName, ZoneId,
};

/// SHA-256 of a caller's API key. The keys themselves are never stored.
pub type KeyHash = [u8; 32];

/// A valid document. Every name that a rule refers to is defined in the document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Ranks, most urgent first.
    pub ranks: Vec<RankRule>,
    /// Models that engines serve.
    pub models: Vec<ModelRule>,
    /// Plain services.
    pub services: Vec<ServiceRule>,
    /// Customers.
    pub customers: Vec<CustomerRule>,
    /// Machine classes of back-end VMs.
    pub machine_classes: Vec<MachineClassRule>,
    /// Global rules.
    pub rules: Rules,
}

/// A rank, which is a priority class of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankRule {
    /// Name used by customers and callers.
    pub name: RankName,
    /// Priority; 0 is the most urgent.
    pub level: RankLevel,
    /// Target for the time to the first token.
    pub first_token_target: Duration,
    /// Target for the time between two tokens.
    pub token_interval_target: Duration,
    /// Maximum wait for the first token; a request that cannot meet it is refused on arrival.
    pub deadline: Duration,
    /// Guaranteed share of service under overload by more urgent ranks, in percent.
    pub floor_percent: u8,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRule {
    /// Name used in requests.
    pub name: ModelName,
    /// Name in the weight store.
    pub weights: Box<str>,
    /// Maximum number of concurrent requests of one engine.
    pub slots_per_engine: u16,
    /// Maximum prompt length in tokens.
    pub max_prompt_tokens: u32,
    /// Maximum answer length in tokens.
    pub max_answer_tokens: u32,
    /// Minimum number of engines for urgent work; on-demand VMs replace refused reclaimable ones.
    pub min_engines: u16,
    /// Maximum number of engines.
    pub max_engines: u16,
}

/// A plain service, addressed by path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name in the path.
    pub name: ServiceName,
    /// Whether a call may be retried after it may have run.
    pub is_idempotent: bool,
    /// Default rank of calls.
    pub rank: RankName,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Maximum number of concurrent calls of one back end.
    pub slots_per_backend: u16,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name in records, metrics and bills.
    pub name: CustomerId,
    /// Hashes of the valid API keys.
    pub key_hashes: SmallVec<[KeyHash; 2]>,
    /// Relative weight in fair queueing among customers.
    pub weight: u32,
    /// Rate limit in tokens per second over all nodes, prompt and answer together.
    pub tokens_per_second: u32,
    /// Burst size of the rate limit in tokens.
    pub burst_tokens: u32,
    /// Maximum number of accepted and unfinished requests over all nodes.
    pub max_in_flight: u32,
    /// Ranks that the customer may use; the first one is the default.
    pub ranks: SmallVec<[RankName; 3]>,
}

/// A machine class of back-end VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineClassRule {
    /// Name in the cloud's price list.
    pub name: MachineClass,
    /// Whether back ends of the class reject an order with an old fencing token.
    pub checks_fencing: bool,
    /// Number of accelerators in one VM.
    pub accelerators: u16,
}

/// Global rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Retention time of the outcomes of non-idempotent calls.
    pub ledger_retention: Duration,
    /// Zones in which VMs may be started; empty for all zones.
    pub zones: SmallVec<[ZoneId; 6]>,
    /// Retry budget in percent of the first attempts.
    pub retry_percent: u8,
    /// Bandwidth of the link between regions that requests may use, in megabits per second.
    pub region_link_megabits: u32,
    /// Time to live of directory answers in the callers' caches.
    pub directory_lifetime: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            ledger_retention: Duration::from_secs(24 * 60 * 60),
            zones: SmallVec::new(),
            retry_percent: 10,
            region_link_megabits: 20,
            directory_lifetime: Duration::from_secs(5),
        }
    }
}

impl Document {
    /// Returns the customer with a valid API key of this hash. Compares in constant time.
    pub fn customer_by_key(&self, hash: &KeyHash) -> Option<&CustomerRule> {
        use subtle::ConstantTimeEq;
        self.customers
            .iter()
            .find(|rule| rule.key_hashes.iter().any(|h| bool::from(h.ct_eq(hash))))
    }

    /// Returns the rule of a rank.
    pub fn rank(&self, name: &str) -> Option<&RankRule> {
        self.ranks.iter().find(|rule| &*rule.name == name)
    }

    /// Returns the rule of a model.
    pub fn model(&self, name: &str) -> Option<&ModelRule> {
        self.models.iter().find(|rule| &*rule.name == name)
    }

    /// Returns the rule of a plain service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|rule| &*rule.name == name)
    }

    /// Returns the rule of a customer.
    pub fn customer(&self, name: &str) -> Option<&CustomerRule> {
        self.customers.iter().find(|rule| &*rule.name == name)
    }

    /// Returns the rule of a class of back-end VM.
    pub fn machine_class(&self, name: &str) -> Option<&MachineClassRule> {
        self.machine_classes.iter().find(|rule| &*rule.name == name)
    }
}
