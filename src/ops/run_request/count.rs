//! Request counters and histograms by customer and rank.

use std::time::Duration;

use crate::core::id::TokenOffset;
use crate::core::request::Completion;
use crate::ops::requests::Entry;
use crate::util::time::unix_now;

/// Records the time to the first token by customer and rank.
pub(super) fn first_token(entry: &Entry) {
    let request = entry.request();
    let waited = Duration::from_millis(unix_now().saturating_sub(request.accepted_at));
    metrics::histogram!(
        "jayhall_first_token_seconds",
        "customer" => request.customer.to_string(),
        "rank" => request.rank.to_string()
    )
    .record(waited);
}

/// Counts the prompt, cached and answer tokens of a completed request.
pub(super) fn tokens(entry: &Entry, completion: &Completion, total: TokenOffset) {
    let request = entry.request();
    let count = |kind: &'static str, tokens: u32| {
        metrics::counter!(
            "jayhall_tokens_total",
            "customer" => request.customer.to_string(),
            "rank" => request.rank.to_string(),
            "kind" => kind
        )
        .increment(u64::from(tokens));
    };
    count("prompt", completion.prompt_tokens);
    count("cached", completion.cached_tokens);
    count("answer", total);
}
