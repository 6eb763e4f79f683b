//! Layout of a test fleet.

/// An availability zone with its numbers of VMs.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Name of the zone.
    pub zone: &'static str,
    /// Region of the zone.
    pub region: &'static str,
    /// Number of entry VMs.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of back ends per plain service.
    pub services: usize,
}

/// A back-end VM in the platform's list.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the VM.
    pub vm: String,
    /// Zone of the VM.
    pub zone: &'static str,
    /// Region of the VM.
    pub region: &'static str,
    /// `engine` or `service`.
    pub kind: &'static str,
    /// Names of the models or services that the VM serves.
    pub serves: Vec<String>,
}

/// Layout of a test fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Configuration document of the operators.
    pub document: String,
    /// Name of the model served by the engines.
    pub model: &'static str,
    /// Plain services; each has its own back ends.
    pub services: Vec<&'static str>,
    /// Command-line options of the engine stand-ins.
    pub engine_args: Vec<String>,
}

impl Layout {
    /// Returns the back-end VMs of all zones.
    pub fn backends(&self) -> Vec<Backend> {
        let mut backends = Vec::new();
        for zone in &self.zones {
            for i in 0..zone.engines {
                backends.push(Backend {
                    vm: format!("engine-{}-{}", zone.zone, i + 1),
                    zone: zone.zone,
                    region: zone.region,
                    kind: "engine",
                    serves: vec![self.model.to_owned()],
                });
            }
            for service in &self.services {
                for i in 0..zone.services {
                    backends.push(Backend {
                        vm: format!("{service}-{}-{}", zone.zone, i + 1),
                        zone: zone.zone,
                        region: zone.region,
                        kind: "service",
                        serves: vec![(*service).to_owned()],
                    });
                }
            }
        }
        backends
    }
}

/// Returns the API key of a customer in the document of [`association`].
pub(crate) fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// API key of the operators.
pub(crate) const OPERATOR_KEY: &str = "key-of-operators";

fn hash_of(key: &str) -> String {
    use sha2::{Digest, Sha256};
    format!("sha256:{}", hex::encode(Sha256::digest(key.as_bytes())))
}

pub(crate) fn operator_hash() -> String {
    hash_of(OPERATOR_KEY)
}

/// Returns the layout of a small fleet with two regions, three zones, three ranks and five customers.
pub fn association() -> Layout {
    let zone = |zone, region, nodes, engines, services| Zone {
        zone,
        region,
        nodes,
        engines,
        services,
    };
    let customers = [
        "bekele",
        "hawassa-hoops",
        "selam",
        "grand-hotel",
        "kiln-club",
    ];
    let mut document = String::from(DOCUMENT);
    for (i, customer) in customers.iter().enumerate() {
        let hash = hash_of(&key_of(customer));
        let weight = if i == 0 { 4 } else { 1 };
        document.push_str(&format!(
            "\n[customer {customer}]\nkeys = {hash}\nweight = {weight}\ntokens_per_second = 20000\n\
             burst_tokens = 200000\nmax_in_flight = 400\nranks = quick, urgent, bulk\n"
        ));
    }
    Layout {
        zones: vec![
            zone("addis-1", "addis", 3, 2, 1),
            zone("addis-2", "addis", 2, 2, 1),
            zone("hawassa-1", "hawassa", 2, 2, 0),
        ],
        document,
        model: "bucket-assistant",
        services: vec!["kiln", "catalogue"],
        engine_args: Vec::new(),
    }
}

const DOCUMENT: &str = "\
[rank urgent]
level = 0
first_token_target = 330ms
token_interval_target = 55ms
deadline = 5s
floor_percent = 0

[rank quick]
level = 1
first_token_target = 1s
token_interval_target = 80ms
deadline = 20s
floor_percent = 20

[rank bulk]
level = 2
first_token_target = 10s
token_interval_target = 200ms
deadline = 120s
floor_percent = 10

[model bucket-assistant]
weights = bucket-assistant-7b
slots_per_engine = 8
max_prompt_tokens = 8000
max_answer_tokens = 1000
min_engines = 2
max_engines = 20

[service kiln]
idempotent = no
rank = urgent
timeout = 5s
slots_per_backend = 16

[service catalogue]
idempotent = yes
rank = quick
timeout = 2s
slots_per_backend = 32

[machine-class small]
checks_fencing = yes
accelerators = 1

[rules]
ledger_retention = 24h
retry_percent = 10
region_link_megabits = 20
directory_lifetime = 5s
";

/// Returns the smallest layout for failure tests: two zones in one region and one in another, with enough
/// nodes and engines to place replicas.
pub fn small() -> Layout {
    let mut layout = association();
    for zone in &mut layout.zones {
        zone.nodes = if zone.zone == "hawassa-1" { 1 } else { 2 };
        zone.engines = 1;
    }
    layout
}
