//! Parsing and formatting of configuration values.

use std::net::SocketAddr;
use std::time::Duration;

/// Longest allowed name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Prefix of a written SHA-256 hash.
const HASH_PREFIX: &str = "sha256:";

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// Units of time and their length in milliseconds, longest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 24 * 60 * 60 * 1000),
    ("h", 60 * 60 * 1000),
    ("m", 60 * 1000),
    ("s", 1000),
    ("ms", 1),
];

/// Parses a duration such as `330ms`, `1.5s` or `24h`, rounded to the nearest millisecond.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = (&text[..digits], text[digits..].trim());
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    if let Ok(whole) = number.parse::<u64>() {
        return whole.checked_mul(*millis).map(Duration::from_millis);
    }
    let millis = parse_decimal(number)? * *millis as f64;
    (millis < u64::MAX as f64).then(|| Duration::from_millis(millis.round() as u64))
}

/// Parses a non-negative decimal number.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Formats a duration in the longest unit that divides it exactly, truncated to whole milliseconds.
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (unit, size) = UNITS
        .iter()
        .find(|(_, size)| millis > 0 && millis.is_multiple_of(*size))
        .unwrap_or(&("ms", 1));
    format!("{}{unit}", millis / size)
}

/// Parses `yes` or `no`.
pub fn parse_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

/// Formats a boolean as `yes` or `no`.
pub fn format_yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Returns whether the text is a valid name: letters, digits, `.`, `_` and `-`, starting with a letter or
/// digit.
pub fn is_name(text: &str) -> bool {
    let is_first = |c: char| c.is_ascii_alphanumeric();
    let is_next = |c: char| is_first(c) || matches!(c, '.' | '_' | '-');
    text.len() <= MAX_NAME_BYTES && text.starts_with(is_first) && text.chars().all(is_next)
}

/// Splits a comma-separated list into trimmed, non-empty parts.
pub fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Parses a hash written `sha256:HEX`.
pub fn parse_hash(text: &str) -> Option<Hash> {
    let mut hash = Hash::default();
    hex::decode_to_slice(text.strip_prefix(HASH_PREFIX)?, &mut hash).ok()?;
    Some(hash)
}

/// Formats a hash as `sha256:HEX`.
pub fn format_hash(hash: &Hash) -> String {
    format!("{HASH_PREFIX}{}", hex::encode(hash))
}

/// Parses an IP address and a port.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Returns whether the text is an `http` or `https` URL that is not empty after the scheme and has no
/// white space.
pub fn is_http_url(text: &str) -> bool {
    let rest = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    rest.is_some_and(|rest| !rest.is_empty() && !rest.contains(char::is_whitespace))
}
