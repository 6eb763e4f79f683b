//! Schema of the operators' document.

use std::time::Duration;

use crate::util::schema::{KeySpec, SectionSpec, ValueKind};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of ranks in a document.
const MAX_RANKS: u64 = 8;
/// Maximum length of a prompt or answer in tokens.
const MAX_TOKENS: u64 = 10_000_000;
/// Maximum number of engines, slots and requests.
const MAX_COUNT: u64 = 60_000;

/// A rank, which is a priority class of requests.
pub const RANK: SectionSpec = SectionSpec {
    kind: "rank",
    is_named: true,
    keys: &[
        KeySpec::required(
            "level",
            number(0, MAX_RANKS - 1),
            "order of service; 0 is the most urgent",
        ),
        KeySpec::required(
            "first_token_target",
            time(MILLISECOND, HOUR),
            "target for the first token",
        ),
        KeySpec::required(
            "token_interval_target",
            time(MILLISECOND, MINUTE),
            "target between two tokens",
        ),
        KeySpec::required(
            "deadline",
            time(MILLISECOND, DAY),
            "longest wait before the first token",
        ),
        KeySpec::optional(
            "floor_percent",
            number(0, 100),
            "0",
            "share of service kept while more urgent work floods in",
        ),
    ],
};

/// A model that engines serve.
pub const MODEL: SectionSpec = SectionSpec {
    kind: "model",
    is_named: true,
    keys: &[
        KeySpec::required("weights", ValueKind::Text, "name in the weight store"),
        KeySpec::required(
            "slots_per_engine",
            number(1, MAX_COUNT),
            "requests that one engine runs at once",
        ),
        KeySpec::optional(
            "max_prompt_tokens",
            number(1, MAX_TOKENS),
            "32768",
            "longest prompt",
        ),
        KeySpec::optional(
            "max_answer_tokens",
            number(1, MAX_TOKENS),
            "4096",
            "longest answer",
        ),
        KeySpec::optional(
            "min_engines",
            number(0, MAX_COUNT),
            "1",
            "engines kept for urgent work",
        ),
        KeySpec::optional(
            "max_engines",
            number(1, MAX_COUNT),
            "32",
            "most engines that may be started",
        ),
    ],
};

/// A plain service.
pub const SERVICE: SectionSpec = SectionSpec {
    kind: "service",
    is_named: true,
    keys: &[
        KeySpec::required(
            "idempotent",
            ValueKind::YesNo,
            "whether a call may be sent again after it may have run",
        ),
        KeySpec::required("rank", ValueKind::Name, "rank of calls that name none"),
        KeySpec::optional(
            "timeout",
            time(MILLISECOND, HOUR),
            "10s",
            "longest time of one call",
        ),
        KeySpec::optional(
            "slots_per_backend",
            number(1, MAX_COUNT),
            "16",
            "calls that one back end runs at once",
        ),
    ],
};

/// A customer.
pub const CUSTOMER: SectionSpec = SectionSpec {
    kind: "customer",
    is_named: true,
    keys: &[
        KeySpec::optional(
            "keys",
            ValueKind::Hashes,
            "",
            "hashes of the API keys in force",
        ),
        KeySpec::optional(
            "weight",
            number(1, 1_000_000),
            "1",
            "share of service relative to other customers",
        ),
        KeySpec::required(
            "tokens_per_second",
            number(1, 1_000_000_000),
            "tokens a second, prompt and answer together",
        ),
        KeySpec::required(
            "burst_tokens",
            number(1, 4_000_000_000),
            "tokens that may be used at once after a quiet time",
        ),
        KeySpec::required(
            "max_in_flight",
            number(1, 1_000_000),
            "accepted and unfinished requests",
        ),
        KeySpec::required(
            "ranks",
            ValueKind::Names,
            "ranks that may be asked for; the first is the default",
        ),
    ],
};

/// A machine class of back-end VMs.
pub const MACHINE_CLASS: SectionSpec = SectionSpec {
    kind: "machine-class",
    is_named: true,
    keys: &[
        KeySpec::required(
            "checks_fencing",
            ValueKind::YesNo,
            "whether back ends refuse an order with an old fencing number",
        ),
        KeySpec::optional(
            "accelerators",
            number(0, 1024),
            "1",
            "accelerators in one VM",
        ),
    ],
};

/// Global rules.
pub const RULES: SectionSpec = SectionSpec {
    kind: "rules",
    is_named: false,
    keys: &[
        KeySpec::optional(
            "ledger_retention",
            time(MINUTE, Duration::from_secs(365 * 24 * 60 * 60)),
            "24h",
            "how long outcomes of non-idempotent calls are kept",
        ),
        KeySpec::optional(
            "zones",
            ValueKind::Names,
            "",
            "zones in which VMs may be started; empty for all",
        ),
        KeySpec::optional(
            "retry_percent",
            number(0, 100),
            "10",
            "most that retries may add to first attempts",
        ),
        KeySpec::optional(
            "region_link_megabits",
            number(0, 1_000_000),
            "20",
            "megabits a second for requests between regions",
        ),
        KeySpec::optional(
            "directory_lifetime",
            time(SECOND, MINUTE),
            "5s",
            "how long callers may keep a directory answer",
        ),
    ],
};

/// All section kinds, in canonical order.
pub const SECTIONS: [&SectionSpec; 6] =
    [&RULES, &RANK, &MODEL, &SERVICE, &MACHINE_CLASS, &CUSTOMER];

const fn number(min: u64, max: u64) -> ValueKind {
    ValueKind::Number { min, max }
}

const fn time(min: Duration, max: Duration) -> ValueKind {
    ValueKind::Time { min, max }
}
