//! Headers of calls and answers. Stand-ins and the soak use these names too.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use smallvec::SmallVec;

use crate::core::gateway::cache::Part;
use crate::ops::gateway::dialect::{CallHead, ForwardMetadata, ResponseHead};
use crate::util::value::parse_decimal;

/// Names an attempt of a caller.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-jayhall-attempt-id");
/// Milliseconds that are left.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-jayhall-deadline-ms");
/// Parts of the prompt as `HEX_ID:TOKENS`, with commas between them.
pub const PARTS: HeaderName = HeaderName::from_static("x-jayhall-prompt-prefix");
/// Tokens of the prompt and, behind a comma, of the answer at most.
pub const TOKENS: HeaderName = HeaderName::from_static("x-jayhall-token-counts");
/// The caller's estimate of the tokens of the answer.
pub const LENGTH_HINT: HeaderName = HeaderName::from_static("x-jayhall-length-hint");
/// Event behind which a stream goes on.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// A back end's signature of its answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-jayhall-response-seal");
/// The customer that pays.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-jayhall-tenant");
/// The back end that is to serve a call.
pub const EXPECTED_BACKEND: HeaderName = HeaderName::from_static("x-jayhall-expect-instance");
/// Says that a back end did not run a call.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-jayhall-not-executed");
/// Rank of a call at a back end.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-jayhall-request-priority");
/// The model that is to answer.
pub const MODEL: HeaderName = HeaderName::from_static("x-jayhall-model");
/// The node that makes the call of a duty.
pub const DUTY_HOLDER: HeaderName = HeaderName::from_static("x-jayhall-duty-holder");
/// Fencing token of a duty's holder.
pub const FENCE: HeaderName = HeaderName::from_static("x-jayhall-fence-token");
/// Says in any answer that the back end is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Status of a back end that turns a call away.
const UNAVAILABLE: u16 = 503;
/// Longest time for which a back end can ask to be left alone.
const LONGEST_STAY_AWAY: Duration = Duration::from_secs(3600);
/// Status of a back end other than the one that was named.
const MISDIRECTED: u16 = 421;
/// Least urgent priority.
const LAST_PRIORITY: u8 = 9;

/// Headers that concern one connection.
static HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Headers of a call that only the gateway may set.
static GATEWAY_ONLY: [HeaderName; 11] = [
    AUTHORIZATION,
    CUSTOMER,
    EXPECTED_BACKEND,
    DEADLINE,
    PRIORITY,
    HeaderName::from_static("x-jayhall-expect-version"),
    HeaderName::from_static("x-jayhall-pin-ms"),
    HeaderName::from_static("x-jayhall-hold"),
    HeaderName::from_static("x-jayhall-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}

/// Reads the head of a call.
pub(super) fn call_head(headers: &HeaderMap) -> CallHead {
    CallHead {
        attempt: text(headers, &ATTEMPT).unwrap_or_default().into(),
        deadline: number::<f64>(headers, &DEADLINE)
            .and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
        key: text(headers, &AUTHORIZATION)
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim().into()),
        tokens: text(headers, &TOKENS).and_then(token_counts),
        parts: text(headers, &PARTS).map(parts).unwrap_or_default(),
        length_hint: number(headers, &LENGTH_HINT),
        last_event: number(headers, &LAST_EVENT),
    }
}

fn token_counts(text: &str) -> Option<(u32, u32)> {
    let (prompt, answer) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

fn parts(text: &str) -> SmallVec<[Part; 4]> {
    text.split(',')
        .map_while(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some(Part {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect()
}

/// Returns the head of a call as a back end gets it.
pub(super) fn forward_head(headers: &HeaderMap, send: &ForwardMetadata<'_>) -> HeaderMap {
    let mut head = without_hop_by_hop(headers);
    for name in &GATEWAY_ONLY {
        head.remove(name);
    }
    head.remove(CONTENT_LENGTH);
    let deadline_ms = u64::try_from(send.deadline.as_millis()).unwrap_or(u64::MAX);
    head.insert(DEADLINE, deadline_ms.max(1).into());
    head.insert(PRIORITY, u16::from(send.rank.min(LAST_PRIORITY)).into());
    insert_text(&mut head, EXPECTED_BACKEND, send.backend);
    if let Some(customer) = send.customer {
        insert_text(&mut head, CUSTOMER, customer);
    }
    if let Some(event) = send.last_event {
        head.insert(LAST_EVENT, event.into());
    }
    head
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(e) => tracing::warn!(header = %name, error = %e, "a name does not fit into a header"),
    }
}

/// Copies headers but those that concern one connection, also those that `Connection` names.
fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut head = headers.clone();
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        head.remove(name);
    }
    head
}

/// Reads the head of a back end's answer.
pub(super) fn response_head(status: u16, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        attempt: text(headers, &ATTEMPT).map(Into::into),
        not_run: headers.contains_key(&NOT_RUN) || status == MISDIRECTED,
        is_signed: headers.contains_key(&SIGNATURE),
        idle_timeout: text(headers, &KEEP_ALIVE).and_then(keep_alive_timeout),
        is_leaving: text(headers, &LEAVING).is_some_and(|value| value.trim() == "1"),
        pause_calls_for: match status {
            UNAVAILABLE => text(headers, &RETRY_AFTER).and_then(seconds),
            _ => None,
        },
    }
}

/// Reads a number of seconds, which may have a fraction. Dates are not used on this platform.
fn seconds(text: &str) -> Option<Duration> {
    match parse_decimal(text.trim()) {
        Some(seconds) => {
            let longest = LONGEST_STAY_AWAY.as_secs_f64();
            Some(Duration::from_secs_f64(seconds.min(longest)))
        }
        None => {
            tracing::warn!(
                value = text,
                "Retry-After of a back end is not a number of seconds; it is ignored"
            );
            None
        }
    }
}

fn keep_alive_timeout(text: &str) -> Option<Duration> {
    text.split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs)
}

/// Returns the head of an answer as the caller gets it.
pub(super) fn response_for_caller(headers: HeaderMap) -> HeaderMap {
    without_hop_by_hop(&headers)
}

/// Returns the value of `Retry-After`: seconds with a fraction.
pub(super) fn retry_after(after: Duration) -> HeaderValue {
    let seconds = format!("{:.2}", after.as_secs_f64().max(0.01));
    HeaderValue::from_str(&seconds).expect("digits and a point fit into a header")
}
