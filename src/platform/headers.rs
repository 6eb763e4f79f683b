//! Headers of calls and answers. The stand-in services and the soak test use these names, too.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use smallvec::SmallVec;

use crate::core::gateway::cache::Part;
use crate::ops::gateway::dialect::{CallHead, ForwardMetadata, ResponseHead, RunStatement};
use crate::util::value::parse_decimal;

/// Identifies one attempt of a caller.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-jayhall-attempt-id");
/// Remaining time of a call in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-jayhall-deadline-ms");
/// Parts of the prompt as `HEX_ID:TOKENS`, separated by commas.
pub const PARTS: HeaderName = HeaderName::from_static("x-jayhall-prompt-prefix");
/// Number of tokens of the prompt and, after a comma, the upper bound for the answer.
pub const TOKENS: HeaderName = HeaderName::from_static("x-jayhall-token-counts");
/// The caller's estimate of the number of tokens of the answer.
pub const LENGTH_HINT: HeaderName = HeaderName::from_static("x-jayhall-length-hint");
/// Id of the event after which a stream resumes.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// The caller's attempt that brought the first event of the stream that a call resumes.
pub const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// A back end's signature of its answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-jayhall-response-seal");
/// The customer to whom a call is charged.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-jayhall-tenant");
/// The back end to which a call is sent. Another back end that now has its address answers with status 421.
pub const EXPECTED_BACKEND: HeaderName = HeaderName::from_static("x-jayhall-expect-instance");
/// Present if a back end did not run the call. Without it the call may have run, whatever the status.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-jayhall-not-executed");
/// Rank of a call at a back end.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-jayhall-request-priority");
/// The requested model.
pub const MODEL: HeaderName = HeaderName::from_static("x-jayhall-model");
/// The node that holds the duties, in calls to the cloud.
pub const DUTY_HOLDER: HeaderName = HeaderName::from_static("x-jayhall-duty-holder");
/// Fencing token of the node that holds the duties.
pub const FENCE: HeaderName = HeaderName::from_static("x-jayhall-fence-token");
/// Set to `1` in any answer of a back end that is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Calls a second that a back end in need takes from all nodes together.
pub const CALL_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Rejected calls a second above which a brittle back end falls over.
pub const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Status with which a back end refuses a call.
const UNAVAILABLE: u16 = 503;
/// Longest pause that a back end can ask for with `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);
/// Statuses after which callers repeat a call that may run at most once.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Least urgent priority.
const LOWEST_PRIORITY: u8 = 9;

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
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

/// Headers of callers that are not forwarded to back ends, because they address the gateway or only the gateway
/// may set them.
static GATEWAY_ONLY: [HeaderName; 10] = [
    AUTHORIZATION,
    CUSTOMER,
    EXPECTED_BACKEND,
    PRIORITY,
    HeaderName::from_static("x-jayhall-expect-version"),
    HeaderName::from_static("x-jayhall-pin-ms"),
    HeaderName::from_static("x-jayhall-hold"),
    HeaderName::from_static("x-jayhall-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(headers, name)?.trim().parse().ok()
}

/// Parses the headers of a call.
pub(super) fn call_head(headers: &HeaderMap) -> CallHead {
    CallHead {
        attempt: header_text(headers, &ATTEMPT).unwrap_or_default().into(),
        deadline: header_number::<f64>(headers, &DEADLINE)
            .and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
        key: header_text(headers, &AUTHORIZATION)
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim().into()),
        tokens: header_text(headers, &TOKENS).and_then(parse_token_counts),
        parts: header_text(headers, &PARTS)
            .map(parse_parts)
            .unwrap_or_default(),
        length_hint: header_number(headers, &LENGTH_HINT),
        last_event: header_number(headers, &LAST_EVENT),
        resumes: header_text(headers, &RESUMES).map(|value| value.trim().into()),
    }
}

fn parse_token_counts(text: &str) -> Option<(u32, u32)> {
    let (prompt, answer) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

fn parse_parts(text: &str) -> SmallVec<[Part; 4]> {
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

/// Returns the headers with which a call is forwarded to a back end.
pub(super) fn forward_head(headers: &HeaderMap, send: &ForwardMetadata<'_>) -> HeaderMap {
    let mut head = node_head(headers, send.deadline, send.last_event);
    for name in &GATEWAY_ONLY {
        head.remove(name);
    }
    head.insert(PRIORITY, u16::from(send.rank.min(LOWEST_PRIORITY)).into());
    insert_text(&mut head, EXPECTED_BACKEND, send.backend);
    if let Some(customer) = send.customer {
        insert_text(&mut head, CUSTOMER, customer);
    }
    head
}

/// Returns the headers of a call that another node forwards.
pub(super) fn node_head(
    headers: &HeaderMap,
    deadline: Duration,
    last_event: Option<u64>,
) -> HeaderMap {
    let mut head = without_hop_by_hop(headers);
    head.remove(CONTENT_LENGTH);
    let deadline_ms = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
    head.insert(DEADLINE, deadline_ms.max(1).into());
    if let Some(event) = last_event {
        head.insert(LAST_EVENT, event.into());
    }
    head
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(e) => tracing::warn!(header = %name, error = %e, "header omitted: invalid value"),
    }
}

/// Copies the headers without hop-by-hop headers, including those listed in `Connection`.
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

/// Parses the headers of a back end's answer.
pub(super) fn response_head(status: u16, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        attempt: header_text(headers, &ATTEMPT).map(Into::into),
        run_statement: run_statement(status, headers),
        is_signed: headers.contains_key(&SIGNATURE),
        idle_timeout: header_text(headers, &KEEP_ALIVE).and_then(parse_keep_alive_timeout),
        is_leaving: header_text(headers, &LEAVING).is_some_and(|value| value.trim() == "1"),
        call_limit: header_text(headers, &CALL_LIMIT).and_then(parse_rate),
        bearable_rejections: header_text(headers, &BRITTLE).and_then(parse_rate),
        pause_calls_for: match status {
            UNAVAILABLE => header_text(headers, &RETRY_AFTER).and_then(parse_retry_after),
            _ => None,
        },
    }
}

fn run_statement(status: u16, headers: &HeaderMap) -> RunStatement {
    if headers.contains_key(&NOT_RUN) {
        return RunStatement::NotRun;
    }
    match NOT_RUN_STATUSES.contains(&status) {
        true => RunStatement::ImpliedByStatus,
        false => RunStatement::None,
    }
}

/// Parses `Retry-After` as a number of seconds with an optional fraction. The platform does not use dates.
fn parse_retry_after(text: &str) -> Option<Duration> {
    match parse_decimal(text.trim()) {
        Some(seconds) => {
            let longest = MAX_RETRY_AFTER.as_secs_f64();
            Some(Duration::from_secs_f64(seconds.min(longest)))
        }
        None => {
            tracing::warn!(
                value = text,
                "ignored a back end's Retry-After header that is not a number of seconds"
            );
            None
        }
    }
}

/// Parses a number of calls a second, with an optional fraction.
fn parse_rate(text: &str) -> Option<f64> {
    let rate = parse_decimal(text.trim());
    if rate.is_none() {
        tracing::warn!(
            value = text,
            "ignored a back end's limit on calls that is not a number"
        );
    }
    rate
}

fn parse_keep_alive_timeout(text: &str) -> Option<Duration> {
    text.split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs)
}

/// Returns the headers with which an answer is forwarded to the caller.
pub(super) fn response_for_caller(headers: HeaderMap) -> HeaderMap {
    without_hop_by_hop(&headers)
}

/// Formats the value of `Retry-After` as seconds with two decimals.
pub(super) fn retry_after(after: Duration) -> HeaderValue {
    let seconds = format!("{:.2}", after.as_secs_f64().max(0.01));
    HeaderValue::from_str(&seconds).expect("a decimal number is a valid header value")
}
