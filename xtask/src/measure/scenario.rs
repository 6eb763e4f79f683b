//! What is asked in a scenario, and what goes wrong.

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// Rank of work.
    pub(crate) rank: &'static str,
    /// Words of the prompt.
    pub(crate) prompt_words: usize,
    /// Tokens of the answer.
    pub(crate) answer_tokens: u32,
    /// Requests a second over all customers.
    pub(crate) per_second: f64,
    /// Customer who asks; all in turn where `None`.
    pub(crate) customer: Option<&'static str>,
}

/// What goes wrong in the middle of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Incident {
    /// Nothing.
    None,
    /// Two engines are taken back.
    EngineReclaim,
    /// A zone's worth of VMs is taken back.
    ZoneLoss,
    /// The store is down.
    StoreOutage,
    /// An entry VM is taken back.
    EntryReclaim,
}

/// What is asked, and what goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) what: &'static str,
    pub(crate) kinds: &'static [Kind],
    pub(crate) incident: Incident,
}

const fn kind(
    rank: &'static str,
    prompt_words: usize,
    answer_tokens: u32,
    per_second: f64,
) -> Kind {
    Kind {
        rank,
        prompt_words,
        answer_tokens,
        per_second,
        customer: None,
    }
}

/// Questions, quotes and contracts at about half of what the engines can do.
const USUAL: &[Kind] = &[
    kind("urgent", 40, 40, 8.0),
    kind("quick", 120, 80, 4.0),
    kind("bulk", 600, 150, 1.0),
];

const FLOOD_LOW: &[Kind] = &[
    kind("urgent", 40, 40, 8.0),
    kind("quick", 120, 80, 4.0),
    kind("bulk", 600, 150, 20.0),
];

const FLOOD_URGENT: &[Kind] = &[
    kind("urgent", 40, 40, 80.0),
    kind("quick", 120, 80, 4.0),
    kind("bulk", 600, 150, 1.0),
];

const LARGE_CALLER: &[Kind] = &[
    kind("quick", 120, 80, 6.0),
    Kind {
        customer: Some("grand-hotel"),
        ..kind("quick", 120, 80, 40.0)
    },
];

const fn scenario(
    name: &'static str,
    what: &'static str,
    kinds: &'static [Kind],
    incident: Incident,
) -> Scenario {
    Scenario {
        name,
        what,
        kinds,
        incident,
    }
}

/// All scenarios.
pub(crate) const SCENARIOS: &[Scenario] = &[
    scenario("steady", "the usual mix", USUAL, Incident::None),
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
        "one customer asks 30 times what each other one does",
        LARGE_CALLER,
        Incident::None,
    ),
    scenario(
        "engine-reclaim",
        "two engines are taken back",
        USUAL,
        Incident::EngineReclaim,
    ),
    scenario(
        "zone-loss",
        "a zone is taken back",
        USUAL,
        Incident::ZoneLoss,
    ),
    scenario(
        "store-outage",
        "the store is down",
        USUAL,
        Incident::StoreOutage,
    ),
    scenario(
        "entry-replace",
        "an entry VM is taken back",
        USUAL,
        Incident::EntryReclaim,
    ),
];

/// Returns the options of the engine stand-ins.
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
