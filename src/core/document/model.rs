//! The validated form of the operators' document.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::{
    CustomerId, MachineClass, ModelName, RankLevel, RankName, ServiceName, ZoneId,
};

/// SHA-256 of a caller's API key. Keys themselves are stored nowhere.
pub type KeyHash = [u8; 32];

/// One accepted document. Every name that one rule uses is defined by another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Ranks of work, most urgent first.
    pub ranks: Vec<RankRule>,
    /// Models that engines serve.
    pub models: Vec<ModelRule>,
    /// Plain services.
    pub services: Vec<ServiceRule>,
    /// Customers.
    pub customers: Vec<CustomerRule>,
    /// Classes of back-end VM.
    pub machine_classes: Vec<MachineClassRule>,
    /// Rules that bind all of them.
    pub rules: Rules,
}

/// A rank of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankRule {
    /// Name used by customers and callers.
    pub name: RankName,
    /// Order of service; 0 is the most urgent.
    pub level: RankLevel,
    /// Target for the first token.
    pub first_token_target: Duration,
    /// Target between two tokens.
    pub token_interval_target: Duration,
    /// Longest wait before the first token; a request that cannot meet it is refused at arrival.
    pub deadline: Duration,
    /// Share of service in percent that the rank keeps while more urgent work floods in.
    pub floor_percent: u8,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRule {
    /// Name that callers ask for.
    pub name: ModelName,
    /// Name in the weight store.
    pub weights: Box<str>,
    /// Requests that one engine runs at once.
    pub slots_per_engine: u16,
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u32,
    /// Longest answer in tokens.
    pub max_answer_tokens: u32,
    /// Engines that the fleet keeps for urgent work, on demand where reclaimable ones are refused.
    pub min_engines: u16,
    /// Most engines that the fleet may start.
    pub max_engines: u16,
}

/// A plain service, reached by path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name in the path.
    pub name: ServiceName,
    /// Whether a call may be sent again after it may have run.
    pub is_idempotent: bool,
    /// Rank of calls that name none.
    pub rank: RankName,
    /// Longest time that one call may take.
    pub timeout: Duration,
    /// Calls that one back end runs at once.
    pub slots_per_backend: u16,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name in records, metrics and bills.
    pub name: CustomerId,
    /// Hashes of the API keys in force.
    pub key_hashes: SmallVec<[KeyHash; 2]>,
    /// Share of service relative to other customers.
    pub weight: u32,
    /// Tokens a second over all nodes, prompt and answer together.
    pub tokens_per_second: u32,
    /// Tokens that may be used at once after a quiet time.
    pub burst_tokens: u32,
    /// Accepted and unfinished requests over all nodes.
    pub max_in_flight: u32,
    /// Ranks that the customer may ask for; the first one is the default.
    pub ranks: SmallVec<[RankName; 3]>,
}

/// A class of back-end VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineClassRule {
    /// Name in the cloud's price list.
    pub name: MachineClass,
    /// Whether back ends of the class refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Accelerators in one VM.
    pub accelerators: u16,
}

/// Rules that bind services, customers and ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How long outcomes of non-idempotent calls are kept.
    pub ledger_retention: Duration,
    /// Zones in which VMs may be started; empty for all.
    pub zones: SmallVec<[ZoneId; 6]>,
    /// Most that retries may add to first attempts, in percent.
    pub retry_percent: u8,
    /// Megabits a second that requests may use on the link between regions.
    pub region_link_megabits: u32,
    /// How long callers may keep a directory answer.
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
    /// Returns the customer whose key has the hash, if the key is in force.
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
