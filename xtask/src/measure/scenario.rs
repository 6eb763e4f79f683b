//! Load scenarios: their request mix and the incident in them.

/// One class of requests in a scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass {
    /// Rank of the requests.
    pub(crate) rank: &'static str,
    /// Number of words in the prompt.
    pub(crate) prompt_words: usize,
    /// Number of tokens in the answer.
    pub(crate) answer_tokens: u32,
    /// Requests per second over all customers.
    pub(crate) per_second: f64,
    /// Customer that sends the requests; `None` for all customers in round-robin order.
    pub(crate) customer: Option<&'static str>,
}

/// Fault that is injected during a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Incident {
    /// No fault.
    None,
    /// The cloud reclaims two engines.
    EngineReclaim,
    /// The cloud reclaims all VMs of one zone.
    ZoneLoss,
    /// The store stops answering.
    StoreOutage,
    /// The cloud reclaims one entry VM.
    EntryReclaim,
}

/// A request mix with an optional fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) description: &'static str,
    pub(crate) classes: &'static [RequestClass],
    pub(crate) incident: Incident,
}

const fn request_class(
    rank: &'static str,
    prompt_words: usize,
    answer_tokens: u32,
    per_second: f64,
) -> RequestClass {
    RequestClass {
        rank,
        prompt_words,
        answer_tokens,
        per_second,
        customer: None,
    }
}

/// Usual mix of short, medium and long requests, at about half of the capacity of the engines.
const BASELINE_MIX: &[RequestClass] = &[
    request_class("urgent", 40, 40, 8.0),
    request_class("quick", 120, 80, 4.0),
    request_class("bulk", 600, 150, 1.0),
];

const FLOOD_LOW: &[RequestClass] = &[
    request_class("urgent", 40, 40, 8.0),
    request_class("quick", 120, 80, 4.0),
    request_class("bulk", 600, 150, 20.0),
];

const FLOOD_URGENT: &[RequestClass] = &[
    request_class("urgent", 40, 40, 80.0),
    request_class("quick", 120, 80, 4.0),
    request_class("bulk", 600, 150, 1.0),
];

const LARGE_CALLER: &[RequestClass] = &[
    request_class("quick", 120, 80, 6.0),
    RequestClass {
        customer: Some("grand-hotel"),
        ..request_class("quick", 120, 80, 40.0)
    },
];

const fn scenario(
    name: &'static str,
    description: &'static str,
    classes: &'static [RequestClass],
    incident: Incident,
) -> Scenario {
    Scenario {
        name,
        description,
        classes,
        incident,
    }
}

pub(crate) const SCENARIOS: &[Scenario] = &[
    scenario("steady", "the usual mix", BASELINE_MIX, Incident::None),
    scenario(
        "flood-low",
        "20 times the usual bulk work",
        FLOOD_LOW,
        Incident::None,
    ),
    scenario(
        "flood-urgent",
        "10 times the usual urgent work",
        FLOOD_URGENT,
        Incident::None,
    ),
    scenario(
        "large-caller",
        "one customer sends about 30 times as many requests as each other one",
        LARGE_CALLER,
        Incident::None,
    ),
    scenario(
        "engine-reclaim",
        "two engines are reclaimed",
        BASELINE_MIX,
        Incident::EngineReclaim,
    ),
    scenario(
        "zone-loss",
        "all VMs of a zone are reclaimed",
        BASELINE_MIX,
        Incident::ZoneLoss,
    ),
    scenario(
        "store-outage",
        "the store is down",
        BASELINE_MIX,
        Incident::StoreOutage,
    ),
    scenario(
        "entry-replace",
        "an entry VM is reclaimed",
        BASELINE_MIX,
        Incident::EntryReclaim,
    ),
];

/// Returns the command-line options of the engine stand-ins.
pub(crate) fn engine_args() -> Vec<String> {
    [
        "--slots=8",
        "--decode-ms=20",
        "--decode-slope-ms=1",
        "--prefill-tokens-per-second=8000",
    ]
    .map(str::to_owned)
    .to_vec()
}
